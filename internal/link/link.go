// Package link carries requests between the processes of kumquatyard: yamux
// sessions over mutual TLS. A stream carries one protobuf request and its
// response at a time and is used again for the next.
package link

import (
	"context"

	pb "kumquatyard/proto/kumquat/v1"
)

// Handler answers requests that arrive from a peer. An error of type
// *contract.Error travels to the peer with its verdict.
type Handler interface {
	Handle(ctx context.Context, from string, req *pb.Request) (*pb.Response, error)
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc func(ctx context.Context, from string, req *pb.Request) (*pb.Response, error)

// Handle implements Handler.
func (f HandlerFunc) Handle(ctx context.Context, from string, req *pb.Request) (*pb.Response, error) {
	return f(ctx, from, req)
}

// Caller sends a request to the process at address. Errors are
// *contract.Error: NotRun when no byte was sent, MayHaveRun otherwise.
type Caller interface {
	Call(ctx context.Context, address string, req *pb.Request) (*pb.Response, error)
}

// Settings are the link keys of a process's settings file.
type Settings struct {
	// Listen is host:port by IP number.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	// CertFile, KeyFile and CAFile are PEM files, read again when they change.
	CertFile string `yaml:"cert_file" validate:"required"`
	KeyFile  string `yaml:"key_file" validate:"required"`
	CAFile   string `yaml:"ca_file" validate:"required"`
	// Traffic counts the bytes of the process's links when it is set.
	Traffic *Traffic `yaml:"-" validate:"-"`
}
