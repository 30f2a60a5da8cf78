// Package configuration proves with the product's processes that an accepted
// configuration is in force at every gateway within seconds and never reverts.
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
	// inForce is the bound on the time from acceptance until a change is in force.
	inForce    = 6 * time.Second
	probeEvery = 20 * time.Millisecond
	document   = "rules/probe"
)

func TestMain(m *testing.M) { os.Exit(processes.Run(m)) }

// probe asks one gateway which version of the probe workspace is in force.
// Each version has an API key of its own and no other.
type probe struct {
	url    string
	client http.Client

	mu      sync.Mutex
	held    int
	reverts []string
}

func keyOf(version int) string { return fmt.Sprintf("probe-key-%d", version) }

func bodyOf(version int) []byte {
	return fmt.Appendf(nil, "name: probe\napi_key_sha256: [\"%x\"]\n", sha256.Sum256([]byte(keyOf(version))))
}

// accepts reports whether the gateway serves a caller with a version's key.
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

// look tries the keys of the last versions one after the other.
func (p *probe) look(last int) {
	for version := max(1, last-2); version <= last; version++ {
		if !p.accepts(version) {
			continue
		}
		p.mu.Lock()
		if version < p.held {
			p.reverts = append(p.reverts, fmt.Sprintf("%s took the key of version %d after that of %d", p.url, version, p.held))
		}
		p.held = max(p.held, version)
		p.mu.Unlock()
	}
}

func (p *probe) holds() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// run is a fleet whose gateways are probed all the time.
type run struct {
	*processes.Fleet
	t      *testing.T
	probes []*probe

	mu   sync.Mutex
	last int
}

func (r *run) version() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

// change makes the next version, which must be accepted.
func (r *run) change() {
	r.t.Helper()
	last := r.version()
	change := config.Change{
		ID: fmt.Sprint("probe-", last+1), BaseHashes: map[string]config.Hash{},
		Puts: map[string][]byte{document: bodyOf(last + 1)},
	}
	if last > 0 {
		change.BaseHashes[document] = config.HashOf(bodyOf(last))
	}
	r.mu.Lock()
	r.last = last + 1
	r.mu.Unlock()
	r.Apply(change)
}

// await waits until the gateways with these indices hold the last version.
func (r *run) await(what string, gateways ...int) {
	r.t.Helper()
	start, last := time.Now(), r.version()
	for _, i := range gateways {
		for r.probes[i].holds() < last {
			if time.Since(start) > inForce {
				r.t.Fatalf("%s: gateway %d holds version %d of %d after %v", what, i, r.probes[i].holds(), last, inForce)
			}
			time.Sleep(probeEvery)
		}
	}
	r.t.Logf("%s: in force after %v", what, time.Since(start).Round(time.Millisecond))
}

func (r *run) faults(change func(f *standin.Faults)) { r.KV.ChangeFaults(change) }

// start runs a fleet and probes it until the returned function is called.
func start(t *testing.T) (*run, func()) {
	r := &run{Fleet: processes.Start(t, processes.Options{Entries: 3, Engines: 1, Services: 1}), t: t}
	done := make(chan struct{})
	var probing conc.WaitGroup
	for _, e := range r.Entries {
		p := &probe{url: e.URL, client: http.Client{Timeout: time.Second}}
		r.probes = append(r.probes, p)
		probing.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(probeEvery):
					p.look(r.version())
				}
			}
		})
	}
	return r, sync.OnceFunc(func() {
		close(done)
		probing.Wait()
	})
}

func (r *run) reverts() []string {
	var all []string
	for _, p := range r.probes {
		p.mu.Lock()
		all = append(all, p.reverts...)
		p.mu.Unlock()
	}
	return all
}

func TestAcceptedIsInForceAndNeverReverts(t *testing.T) {
	r, stop := start(t)
	defer stop()
	r.underFaults()
	for _, revert := range r.reverts() {
		t.Error(revert)
	}
}

// TestProbeSeesAReversal keeps the proof honest: an operator who puts an old
// version's document back is seen.
func TestProbeSeesAReversal(t *testing.T) {
	r, stop := start(t)
	defer stop()
	r.change()
	r.change()
	r.await("calm", 0, 1, 2)
	r.Apply(config.Change{
		ID: "reversal", Puts: map[string][]byte{document: bodyOf(1)},
		BaseHashes: map[string]config.Hash{document: config.HashOf(bodyOf(2))},
	})
	for deadline := time.Now().Add(inForce); len(r.reverts()) == 0; time.Sleep(probeEvery) {
		if time.Now().After(deadline) {
			t.Fatal("the reversal was not seen")
		}
	}
}

// underFaults changes the configuration under one fault after the other.
func (r *run) underFaults() {
	r.change()
	r.await("calm", 0, 1, 2)

	r.Entries[0].Agent.Freeze()
	r.change()
	r.await("an agent frozen, the others", 1, 2)
	r.Entries[0].Agent.Thaw()
	r.await("the agent that was frozen", 0)

	r.faults(func(f *standin.Faults) { f.Silent = true })
	r.change()
	r.await("all connections to the key-value service silent", 0, 1, 2)

	r.Entries[1].Agent.Kill()
	r.Entries[1].Gateway.Kill()
	r.change()
	r.await("an entry instance lost, the others", 0, 2)
	r.faults(func(f *standin.Faults) { f.Down = true })
	r.Entries[1].Agent.Start()
	r.Entries[1].Gateway.Start()
	r.AwaitReady(r.Entries[1].Gateway)
	r.await("started while the key-value service is down", 1)

	r.faults(func(f *standin.Faults) { f.Down, f.LoseAnswers = false, 0.5 })
	r.change()
	r.await("half of the answers lost", 0, 1, 2)
}
