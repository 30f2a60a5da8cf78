package upstream

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"kumquatyard/internal/contract"
)

// Load: requests move from one server to another while the process has descriptors for few
// connections. An idle connection of another server gives way; one in use does not.
func TestMaxOpenOfAllServers(t *testing.T) {
	hold, arrived := make(chan struct{}), make(chan struct{}, 1)
	first, second := serve(t, echo), serve(t, func(conn net.Conn, r *http.Request, n int) bool {
		if r.Header.Get("Hold") != "" {
			arrived <- struct{}{}
			<-hold
		}
		return echo(conn, r, n)
	})
	settings := DefaultSettings
	settings.MaxOpen = 1
	p := NewPool(settings)
	mustGet(t, p, call(first.address, "1", nil), "of 1")
	mustGet(t, p, call(second.address, "2", nil), "of 2")
	if n := p.ConnectionCount(first.address); n != 0 {
		t.Errorf("%d connections to the first server, want its idle one to give way", n)
	}
	held := call(second.address, "3", nil)
	held.Header.Set("Hold", "1")
	done := make(chan error, 1)
	go func() {
		_, err := get(t, p, held)
		done <- err
	}()
	select {
	case <-arrived:
	case <-time.After(5 * time.Second):
		t.Fatal("the request did not arrive")
	}
	_, err := get(t, p, call(first.address, "4", nil))
	if !errors.Is(err, ErrConnectionLimit) || contract.VerdictOf(err) != contract.NotRun {
		t.Errorf("error %v while all connections are in use, want ErrConnectionLimit with verdict not_run", err)
	}
	close(hold)
	if err := <-done; err != nil {
		t.Error(err)
	}
	mustGet(t, p, call(first.address, "5", nil), "of 5")
}
