package platform_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"kumquatyard/internal/platform"
	"kumquatyard/internal/standin"
)

// TestUnresponsiveConnectionsCostOneTimeout makes all idle connections of a
// client's pool unresponsive. Only the first call may time out; the second must
// use a new connection.
func TestUnresponsiveConnectionsCostOneTimeout(t *testing.T) {
	const (
		parallel    = 8
		callTimeout = 200 * time.Millisecond
	)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	kv := standin.NewKV(standin.KVOptions{Seed: 1})
	var serving sync.WaitGroup
	serving.Go(func() { _ = kv.Serve(listener) })
	defer serving.Wait()
	defer kv.Close()
	kv.ChangeFaults(func(f *standin.Faults) { f.LatencyMS = 20 })
	client := platform.NewKVClient(listener.Addr().String(), time.Minute)
	get := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := client.Get(ctx, "key")
		return err
	}
	var calls sync.WaitGroup
	for range parallel {
		calls.Go(func() { _ = get(time.Minute) })
	}
	calls.Wait()
	kv.ChangeFaults(func(f *standin.Faults) { f.Silent = true })
	if err := get(callTimeout); err == nil {
		t.Error("call over an unresponsive connection succeeded, want a timeout")
	}
	if err := get(5 * time.Second); err != nil {
		t.Errorf("call after the timeout failed: %v", err)
	}
}
