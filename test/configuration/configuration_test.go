// Package configuration tests, with gateways and agents as processes, that every
// gateway applies an accepted configuration within seconds and never reverts to an
// older one.
package configuration

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"kumquatyard/internal/config"
	"kumquatyard/internal/standin"
	"kumquatyard/test/processes"
)

const (
	// applyTimeout bounds the time from acceptance of a change until the gateways
	// have applied it.
	applyTimeout  = 6 * time.Second
	probeInterval = 20 * time.Millisecond
	document      = "rules/probe"
)

func TestMain(m *testing.M) { os.Exit(processes.Run(m)) }

// probe polls one gateway for the version of the probe workspace that it applies.
// Each version has one API key, which is unique to it.
type probe struct {
	url    string
	client http.Client

	mu     sync.Mutex
	latest int
	// reverts describes each key accepted after that of a later version.
	reverts []string
}

func keyOf(version int) string { return fmt.Sprintf("probe-key-%d", version) }

func bodyOf(version int) []byte {
	return fmt.Appendf(nil, "name: probe\napi_key_sha256: [\"%x\"]\n", sha256.Sum256([]byte(keyOf(version))))
}

// accepts reports whether the gateway accepts the API key of a version.
func (p *probe) accepts(version int) bool {
	req, err := http.NewRequest(http.MethodGet, p.url+"/lookups/probe", nil)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+keyOf(version))
	resp, err := p.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// poll tries the keys of the last three versions in ascending order. It updates
// latest and records reverts.
func (p *probe) poll(last int) {
	for version := max(1, last-2); version <= last; version++ {
		if !p.accepts(version) {
			continue
		}
		p.mu.Lock()
		if version < p.latest {
			p.reverts = append(p.reverts, fmt.Sprintf("%s accepted the key of version %d after that of version %d", p.url, version, p.latest))
		}
		p.latest = max(p.latest, version)
		p.mu.Unlock()
	}
}

// latestVersion returns the latest version whose key the gateway has accepted.
func (p *probe) latestVersion() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest
}

// probedFleet is a fleet whose gateways are probed continuously.
type probedFleet struct {
	*processes.Fleet
	t      *testing.T
	probes []*probe

	mu          sync.Mutex
	lastVersion int
}

// version returns the last version that was applied or is being applied.
func (pf *probedFleet) version() int {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	return pf.lastVersion
}

// applyNext applies the next version of the probe workspace. It ends the test if
// the change is not accepted.
func (pf *probedFleet) applyNext() {
	pf.t.Helper()
	last := pf.version()
	change := config.Change{
		ID: fmt.Sprint("probe-", last+1), BaseHashes: map[string]config.Hash{},
		Puts: map[string][]byte{document: bodyOf(last + 1)},
	}
	if last > 0 {
		change.BaseHashes[document] = config.HashOf(bodyOf(last))
	}
	pf.mu.Lock()
	pf.lastVersion = last + 1
	pf.mu.Unlock()
	pf.Apply(change)
}

// awaitApplied waits until the gateways with these indices have applied the last
// version. It ends the test after applyTimeout. Messages start with what.
func (pf *probedFleet) awaitApplied(what string, gateways ...int) {
	pf.t.Helper()
	start, last := time.Now(), pf.version()
	for _, i := range gateways {
		for pf.probes[i].latestVersion() < last {
			if time.Since(start) > applyTimeout {
				pf.t.Fatalf("%s: gateway %d has version %d, want %d, after %v", what, i, pf.probes[i].latestVersion(), last, applyTimeout)
			}
			time.Sleep(probeInterval)
		}
	}
	pf.t.Logf("%s: applied after %v", what, time.Since(start).Round(time.Millisecond))
}

// changeFaults changes the faults of the key-value service.
func (pf *probedFleet) changeFaults(change func(f *standin.Faults)) { pf.KV.ChangeFaults(change) }

// start starts a fleet and probes it until the returned function is called.
func start(t *testing.T) (*probedFleet, func()) {
	pf := &probedFleet{Fleet: processes.Start(t, processes.Options{Entries: 3, Engines: 1, Services: 1}), t: t}
	done := make(chan struct{})
	var probing conc.WaitGroup
	for _, e := range pf.Entries {
		p := &probe{url: e.URL, client: http.Client{Timeout: time.Second}}
		pf.probes = append(pf.probes, p)
		probing.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(probeInterval):
					p.poll(pf.version())
				}
			}
		})
	}
	return pf, sync.OnceFunc(func() {
		close(done)
		probing.Wait()
	})
}

// reverts returns the reverts that the probes recorded.
func (pf *probedFleet) reverts() []string {
	var all []string
	for _, p := range pf.probes {
		p.mu.Lock()
		all = append(all, p.reverts...)
		p.mu.Unlock()
	}
	return all
}

func TestAcceptedChangeAppliesAndNeverReverts(t *testing.T) {
	pf, stop := start(t)
	defer stop()
	pf.applyUnderFaults()
	for _, revert := range pf.reverts() {
		t.Error(revert)
	}
}

// TestProbeDetectsRevert checks that the probes can detect a revert: a change that
// restores the document of version 1 must be recorded as one.
func TestProbeDetectsRevert(t *testing.T) {
	pf, stop := start(t)
	defer stop()
	pf.applyNext()
	pf.applyNext()
	pf.awaitApplied("all gateways without faults", 0, 1, 2)
	pf.Apply(config.Change{
		ID: "reversal", Puts: map[string][]byte{document: bodyOf(1)},
		BaseHashes: map[string]config.Hash{document: config.HashOf(bodyOf(2))},
	})
	for deadline := time.Now().Add(applyTimeout); len(pf.reverts()) == 0; time.Sleep(probeInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("no probe recorded the revert within %v", applyTimeout)
		}
	}
}

// applyUnderFaults applies a change under each of several faults.
func (pf *probedFleet) applyUnderFaults() {
	pf.applyNext()
	pf.awaitApplied("all gateways without faults", 0, 1, 2)

	pf.Entries[0].Agent.Freeze()
	pf.applyNext()
	pf.awaitApplied("other gateways while agent 0 is frozen", 1, 2)
	pf.Entries[0].Agent.Thaw()
	pf.awaitApplied("gateway 0 after its agent continued", 0)

	pf.changeFaults(func(f *standin.Faults) { f.Silent = true })
	pf.applyNext()
	pf.awaitApplied("all gateways while the open connections to the key-value service are silent", 0, 1, 2)

	pf.Entries[1].Agent.Kill()
	pf.Entries[1].Gateway.Kill()
	pf.applyNext()
	pf.awaitApplied("other gateways while entry instance 1 is down", 0, 2)
	pf.changeFaults(func(f *standin.Faults) { f.Down = true })
	pf.Entries[1].Agent.Start()
	pf.Entries[1].Gateway.Start()
	pf.AwaitReady(pf.Entries[1].Gateway)
	pf.awaitApplied("gateway 1 started while the key-value service is down", 1)

	pf.changeFaults(func(f *standin.Faults) { f.Down, f.LoseAnswers = false, 0.5 })
	pf.applyNext()
	pf.awaitApplied("all gateways while half of the key-value responses are lost", 0, 1, 2)
}
