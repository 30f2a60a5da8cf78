package platform

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"kumquatyard/internal/contract"
)

// closingServer starts a server that reads a request from each connection and
// closes it without an answer. It counts the requests.
func closingServer(t *testing.T) (address string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests = new(atomic.Int64)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				requests.Add(1)
			}
			_ = conn.Close()
		}
	}()
	return l.Addr().String(), requests
}

func TestCallsAreNeverRepeated(t *testing.T) {
	address, requests := closingServer(t)
	kv := NewKVClient(address, time.Second)
	for name, send := range map[string]func(context.Context) error{
		"get":     func(ctx context.Context) error { _, err := kv.Get(ctx, "k"); return err },
		"list":    func(ctx context.Context) error { _, err := kv.List(ctx, "k"); return err },
		"swap":    func(ctx context.Context) error { _, _, err := kv.CompareAndSwap(ctx, "k", nil, 0); return err },
		"delete":  func(ctx context.Context) error { _, err := kv.Delete(ctx, "k", 1); return err },
		"watch":   func(ctx context.Context) error { _, err := kv.Watch(ctx, "k", 1, time.Second); return err },
		"session": func(ctx context.Context) error { _, err := kv.CreateSession(ctx, "s", time.Second); return err },
		"acquire": func(ctx context.Context) error { _, err := kv.Acquire(ctx, "k", nil, "s"); return err },
		"start": func(ctx context.Context) error {
			_, err := NewCloud(address, time.Second).Start(ctx, StartRequest{})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			before := requests.Load()
			err := send(t.Context())
			if err == nil || contract.VerdictOf(err) != contract.MayHaveRun {
				t.Errorf("error = %v, want one with verdict MayHaveRun", err)
			}
			if n := requests.Load() - before; n != 1 {
				t.Errorf("the call was sent %d times, want once", n)
			}
		})
	}
}

func TestUnsentCallsHaveVerdictNotRun(t *testing.T) {
	address, requests := closingServer(t)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err := NewKVClient(address, time.Second).CompareAndSwap(canceled, "k", nil, 0)
	if contract.VerdictOf(err) != contract.NotRun || requests.Load() != 0 {
		t.Errorf("call with a canceled context: error %v, %d requests, want verdict NotRun and no request", err, requests.Load())
	}
}
