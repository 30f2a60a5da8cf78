package entry

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatyard/internal/fleet"
)

// keeperModel is an instance whose store may have lost configurations, beside another
// one.
type keeperModel struct {
	own, newest uint64
	restored    bool
	known       bool
	reachable   bool
	served      bool
	fetches     int
}

func (m *keeperModel) keeper() *configKeeper {
	return &configKeeper{
		version:       func() uint64 { return m.own },
		newest:        func() (uint64, string) { return m.newest, "peer" },
		maybeRestored: func() (bool, bool) { return m.restored, m.known },
		release:       func() { m.served = true },
		fetch: func(context.Context, string) error {
			m.fetches++
			if !m.reachable {
				return errUnreadable
			}
			m.own = max(m.own, m.newest)
			return nil
		},
		log: quietLog(), startedAt: now,
	}
}

// The store was restored and lost the newest configuration. An instance that starts
// beside one that serves with it never serves with an older one.
func TestStartingInstanceTakesTheNewestConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &keeperModel{restored: true, reachable: rapid.Bool().Draw(t, "reachable")}
		k := m.keeper()
		heardAt := rapid.IntRange(0, int(startupWait/configCheckInterval)-1).Draw(t, "heard at")
		readAt := rapid.IntRange(0, 20).Draw(t, "store read at")
		for step := range 40 {
			if step >= heardAt {
				m.newest = 9
			}
			if step >= readAt {
				m.known, m.own = true, max(m.own, 7)
			}
			k.check(t.Context(), now.Add(time.Duration(step)*configCheckInterval))
			if m.served && m.own < 9 {
				t.Fatalf("step %d: the instance serves with version %d, want 9", step, m.own)
			}
		}
		if m.served != m.reachable {
			t.Fatalf("served %v, want %v", m.served, m.reachable)
		}
	})
}

// Without a restore an instance serves with the first configuration that it reads, and
// alone it serves after startupWait.
func TestStartingInstanceDoesNotWaitForOthersWithoutNeed(t *testing.T) {
	m := &keeperModel{known: true, own: 3}
	m.keeper().check(t.Context(), now)
	if !m.served {
		t.Error("the instance does not serve although the store was never restored")
	}
	m = &keeperModel{known: true, own: 3, restored: true}
	k := m.keeper()
	k.check(t.Context(), now.Add(startupWait-time.Millisecond))
	before := m.served
	k.check(t.Context(), now.Add(startupWait))
	if before || !m.served {
		t.Errorf("served %v before startupWait and %v after it, want false and true", before, m.served)
	}
}

// An instance that is cut off from the store reads the configuration from another
// instance, but not while the store may still deliver it.
func TestInstanceWithoutStoreReadsTheConfigurationFromAnother(t *testing.T) {
	m := &keeperModel{known: true, own: 3, newest: 3, reachable: true}
	k := m.keeper()
	k.check(t.Context(), now)
	m.newest = 4
	k.check(t.Context(), now)
	k.check(t.Context(), now.Add(configLag-time.Millisecond))
	if m.fetches != 0 {
		t.Errorf("%d reads within configLag, want none", m.fetches)
	}
	k.check(t.Context(), now.Add(configLag))
	if m.own != 4 {
		t.Errorf("version %d after configLag, want 4", m.own)
	}
}

// Pattern: a third of the instances do not reach the store, and the one that they read the
// configuration from does not answer them all in time. Each asks again ever more seldom.
func TestFailedReadsOfAConfigurationAreSpacedOut(t *testing.T) {
	m := &keeperModel{known: true, own: 3, newest: 4}
	k := m.keeper()
	for step := range int(5 * time.Second / configCheckInterval) {
		k.check(t.Context(), now.Add(time.Duration(step)*configCheckInterval))
	}
	if m.fetches < 4 || m.fetches > 9 {
		t.Errorf("%d reads in the 4 s after configLag, want 4 to 9", m.fetches)
	}
	m.reachable = true
	k.check(t.Context(), now.Add(5*time.Second+maxConfigRetry))
	if m.own != 4 {
		t.Errorf("version %d once the instance is reachable, want 4", m.own)
	}
}

// A configuration of many routes takes little bandwidth between instances, also between
// those of releases that do not compress it.
func TestConfigurationIsCompressedBetweenInstances(t *testing.T) {
	large := []byte(strings.Repeat(`{"host":"a.example","prefix":"/b/","service":"c","timeout_ms":3000},`, 2000))
	for name, compresses := range map[string]bool{"compressed": true, "earlier release": false} {
		t.Run(name, func(t *testing.T) {
			from := &Instance{Options: Options{Log: quietLog()}, snapshots: newSnapshotPublisher(quietLog())}
			from.snapshots.setConfig(&fleet.Config{Version: 7}, large)
			sent := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !compresses {
					r.Header.Del("Accept-Encoding")
				}
				recorder := httptest.NewRecorder()
				from.serveConfig(recorder, r)
				sent = recorder.Body.Len()
				maps.Copy(w.Header(), recorder.Header())
				_, _ = w.Write(recorder.Body.Bytes())
			}))
			defer server.Close()
			to := &Instance{Options: Options{Log: quietLog()}, snapshots: newSnapshotPublisher(quietLog())}
			to.DecodeConfig = func([]byte) (*fleet.Config, error) { return &fleet.Config{Version: 7}, nil }
			if err := to.fetchConfig(t.Context(), server.Listener.Addr().String()); err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(to.snapshots.encodedConfig(), large) {
				t.Errorf("%d bytes arrived, want the %d of the configuration", len(to.snapshots.encodedConfig()), len(large))
			}
			if compresses && sent > len(large)/8 {
				t.Errorf("%d bytes sent for a configuration of %d, want at most an eighth", sent, len(large))
			}
		})
	}
}
