package link

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/sirupsen/logrus"

	"kumquatyard/internal/contract"
	pb "kumquatyard/proto/kumquat/v1"
)

func discardLogger() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

func settingsFor(dir, name string) Settings {
	return Settings{
		CertFile: filepath.Join(dir, name+".pem"),
		KeyFile:  filepath.Join(dir, name+"-key.pem"),
		CAFile:   filepath.Join(dir, "ca.pem"),
	}
}

func writeKeys(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := WriteDevelopmentKeys(dir, []string{"agent", "gateway"}, time.Now()); err != nil {
		t.Fatal(err)
	}
	return dir
}

// serve starts a server and returns its address.
func serve(t *testing.T, s Settings, h Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- ServeListener(ctx, listener, s, h, discardLogger()) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("ServeListener = %v", err)
		}
	})
	return listener.Addr().String()
}

func newPool(t *testing.T, s Settings) *Pool {
	t.Helper()
	pool, err := NewPool(s, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Close)
	return pool
}

func status() *pb.Request { return &pb.Request{Body: &pb.Request_Status{Status: &pb.StatusRequest{}}} }

func replyWithPeerName(ctx context.Context, from string, _ *pb.Request) (*pb.Response, error) {
	return &pb.Response{Body: &pb.Response_Status{Status: &pb.StatusReply{Self: &pb.Peer{Id: from}}}}, ctx.Err()
}

func TestCallCarriesAnswersAndErrors(t *testing.T) {
	keys := writeKeys(t)
	refusal := &contract.Error{
		Kind: contract.KindOverloaded, Verdict: contract.NotRun, Message: "full: try later", RetryAfter: time.Second,
	}
	tests := []struct {
		name    string
		handler HandlerFunc
		want    error
	}{
		{"answer", replyWithPeerName, nil},
		{"typed error", func(context.Context, string, *pb.Request) (*pb.Response, error) { return nil, refusal }, refusal},
		{"plain error", func(context.Context, string, *pb.Request) (*pb.Response, error) { return nil, errors.New("x") }, &contract.Error{
			Kind: contract.KindUnavailable, Verdict: contract.MayHaveRun, Message: "x",
		}},
		{"panic", func(context.Context, string, *pb.Request) (*pb.Response, error) { panic("x") }, &contract.Error{
			Kind: contract.KindUnavailable, Verdict: contract.MayHaveRun, Message: "handler failed",
		}},
		{"not handled", func(context.Context, string, *pb.Request) (*pb.Response, error) { return nil, nil }, &contract.Error{
			Kind: contract.KindInvalid, Verdict: contract.NotRun, Message: "request not handled here",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address := serve(t, settingsFor(keys, "agent"), tt.handler)
			pool := newPool(t, settingsFor(keys, "gateway"))
			resp, err := pool.Call(context.Background(), address, status())
			if diff := cmp.Diff(tt.want, err, cmpopts.EquateErrors()); tt.want == nil && diff != "" {
				t.Fatal(diff)
			}
			if tt.want == nil {
				if got := resp.GetStatus().GetSelf().GetId(); got != "gateway" {
					t.Errorf("handler saw peer %q, want gateway", got)
				}
				return
			}
			if diff := cmp.Diff(tt.want, err); diff != "" {
				t.Errorf("Call error differs (-want +got):\n%s", diff)
			}
		})
	}
}

func TestUnsentCallIsNotRun(t *testing.T) {
	keys, others := writeKeys(t), writeKeys(t)
	var handled atomic.Int32
	count := func(ctx context.Context, from string, req *pb.Request) (*pb.Response, error) {
		handled.Add(1)
		return replyWithPeerName(ctx, from, req)
	}
	address := serve(t, settingsFor(keys, "agent"), HandlerFunc(count))
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	tests := []struct {
		name    string
		address string
		keys    string
		req     *pb.Request
	}{
		{"connection refused", closed.Addr().String(), keys, status()},
		{"peer of another CA", address, others, status()},
		{"message too long", address, keys, &pb.Request{Body: &pb.Request_Claim{
			Claim: &pb.ClaimRequest{Key: make([]byte, MaxFrameBytes+1)},
		}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			pool := newPool(t, settingsFor(tt.keys, "gateway"))
			_, err := pool.Call(context.Background(), tt.address, tt.req)
			if got := contract.VerdictOf(err); err == nil || got != contract.NotRun {
				t.Errorf("Call error = %v with verdict %v, want not_run", err, got)
			}
		})
	}
	if n := handled.Load(); n != 0 {
		t.Errorf("handler ran %d times, want 0", n)
	}
}

func TestUnresponsiveSessionIsReplaced(t *testing.T) {
	keys := writeKeys(t)
	block := make(chan struct{})
	handler := func(ctx context.Context, from string, req *pb.Request) (*pb.Response, error) {
		if req.GetDrain() != nil {
			select {
			case <-block:
			case <-ctx.Done():
			}
		}
		return replyWithPeerName(ctx, from, req)
	}
	proxy := newTCPProxy(t, serve(t, settingsFor(keys, "agent"), HandlerFunc(handler)))
	pool := newPool(t, settingsFor(keys, "gateway"))
	if _, err := pool.Call(context.Background(), proxy.address(), status()); err != nil {
		t.Fatal(err)
	}
	waiting := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_, err := pool.Call(ctx, proxy.address(), &pb.Request{Body: &pb.Request_Drain{Drain: &pb.DrainRequest{}}})
		waiting <- err
	}()
	proxy.dropOpenConnections()
	// The waiting call's context lasts a minute: only the loss of the session
	// can end it earlier.
	select {
	case err := <-waiting:
		if got := contract.VerdictOf(err); err == nil || got == contract.Ran {
			t.Errorf("waiting call ended with %v, want an error whose verdict is not ran", err)
		}
	case <-time.After(8 * time.Second):
		t.Fatal("call on an unresponsive session still waits after 8 s")
	}
	if _, err := pool.Call(context.Background(), proxy.address(), status()); err != nil {
		t.Errorf("call after the loss of the session = %v", err)
	}
	close(block)
}

func TestChangedCertificatesAreReloaded(t *testing.T) {
	keys := writeKeys(t)
	address := serve(t, settingsFor(keys, "agent"), HandlerFunc(replyWithPeerName))
	old := newPool(t, settingsFor(keys, "gateway"))
	if _, err := old.Call(context.Background(), address, status()); err != nil {
		t.Fatal(err)
	}
	if err := WriteDevelopmentKeys(keys, []string{"agent", "gateway", "gateway-two"}, time.Now()); err != nil {
		t.Fatal(err)
	}
	later := time.Now().Add(time.Second)
	for _, name := range []string{"ca.pem", "agent.pem", "agent-key.pem"} {
		if err := os.Chtimes(filepath.Join(keys, name), later, later); err != nil {
			t.Fatal(err)
		}
	}
	rotated := newPool(t, settingsFor(keys, "gateway-two"))
	resp, err := rotated.Call(context.Background(), address, status())
	if err != nil {
		t.Fatalf("call with rotated certificates = %v", err)
	}
	if got := resp.GetStatus().GetSelf().GetId(); got != "gateway-two" {
		t.Errorf("peer = %q, want gateway-two", got)
	}
	if _, err := old.Call(context.Background(), address, status()); err != nil {
		t.Errorf("call on the open session after rotation = %v", err)
	}
}

func TestCallPropagatesTraceContextAndTimeout(t *testing.T) {
	keys := writeKeys(t)
	seen := make(chan *pb.Request, 1)
	address := serve(t, settingsFor(keys, "agent"), HandlerFunc(func(ctx context.Context, from string, req *pb.Request) (*pb.Response, error) {
		seen <- req
		return replyWithPeerName(ctx, from, req)
	}))
	ctx, cancel := context.WithTimeout(sampledContext(t), 3*time.Second)
	defer cancel()
	if _, err := newPool(t, settingsFor(keys, "gateway")).Call(ctx, address, status()); err != nil {
		t.Fatal(err)
	}
	req := <-seen
	if !strings.Contains(req.GetTraceParent(), "0102030405060708090a0b0c0d0e0f10") {
		t.Errorf("trace_parent = %q, want the caller's trace id in it", req.GetTraceParent())
	}
	if ms := req.GetTimeoutMs(); ms == 0 || ms > 3000 {
		t.Errorf("timeout_ms = %d, want 1..3000", ms)
	}
}
