// Package link carries requests between the processes of kumquatyard over yamux
// sessions with mutual TLS. A stream carries one protobuf request and its
// response at a time and is reused for later requests.
package link

import (
	"context"

	pb "kumquatyard/proto/kumquat/v1"
)

// Handler answers requests that arrive from a peer. The peer receives an error of
// type *contract.Error with its verdict.
type Handler interface {
	Handle(ctx context.Context, from string, req *pb.Request) (*pb.Response, error)
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc func(ctx context.Context, from string, req *pb.Request) (*pb.Response, error)

// Handle implements Handler.
func (f HandlerFunc) Handle(ctx context.Context, from string, req *pb.Request) (*pb.Response, error) {
	return f(ctx, from, req)
}

// Caller sends a request to the process at address and returns its response.
// Errors are of type *contract.Error. Errors of the link itself have the verdict
// NotRun if no byte was sent, and MayHaveRun otherwise.
type Caller interface {
	Call(ctx context.Context, address string, req *pb.Request) (*pb.Response, error)
}

// Settings are the link keys of a process's settings file.
type Settings struct {
	// Listen is host:port with an IP address as the host.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	// CertFile, KeyFile and CAFile are PEM files. They are reloaded when they
	// change.
	CertFile string `yaml:"cert_file" validate:"required"`
	KeyFile  string `yaml:"key_file" validate:"required"`
	CAFile   string `yaml:"ca_file" validate:"required"`
	// Traffic, if not nil, counts the bytes of the process's links.
	Traffic *Traffic `yaml:"-" validate:"-"`
}
