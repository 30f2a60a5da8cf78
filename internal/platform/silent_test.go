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

// TestSilenceCostsOneTimeout lets a pool of idle connections go silent: the
// first call finds out, the second uses a new connection.
func TestSilenceCostsOneTimeout(t *testing.T) {
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
		t.Error("a silent connection answered")
	}
	if err := get(5 * time.Second); err != nil {
		t.Errorf("the call after the timeout: %v", err)
	}
}
