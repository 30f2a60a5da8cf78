// Package rolling tests that no accepted request is lost when the gateways and
// agents are restarted, killed or frozen under load.
package rolling

import (
	"os"
	"testing"
	"time"

	"kumquatyard/internal/standin"
	"kumquatyard/test/processes"
)

func TestMain(m *testing.M) { os.Exit(processes.Run(m)) }

const (
	callers = 12
	tokens  = 80
)

// finish stops the load and checks that no tokens were recomputed.
func finish(t *testing.T, f *processes.Fleet, l *processes.Load) {
	t.Helper()
	l.Stop()
	if n := f.RecomputedTokens(); n != 0 {
		t.Errorf("%d tokens were recomputed, want none because no engine was lost", n)
	}
	t.Logf("%d answers, %d connections broken", l.Answers(), l.BrokenConnections())
	if t.Failed() {
		for _, e := range f.Entries {
			t.Log(e.Gateway.Log())
		}
	}
}

func startFleet(t *testing.T) *processes.Fleet {
	return processes.Start(t, processes.Options{
		Entries: 3, Engines: 3, Services: 1, Engine: standin.EngineOptions{TokenTime: 5 * time.Millisecond},
	})
}

// TestRollingRestart restarts each gateway and each agent in turn while callers
// stream answers, and checks that no connection breaks before the end of one.
func TestRollingRestart(t *testing.T) {
	f := startFleet(t)
	l := f.StartLoad(callers, tokens)
	for _, e := range f.Entries {
		for _, p := range []*processes.Process{e.Gateway, e.Agent} {
			if code := p.Terminate(); code != 0 {
				t.Errorf("%s exited with code %d, want 0:\n%s", p.Name, code, p.Log())
			}
			p.Start()
			f.AwaitReady(p)
		}
		f.AwaitReady(e.Gateway)
	}
	finish(t, f, l)
	if n := l.BrokenConnections(); n != 0 {
		t.Errorf("%d connections broke before the end of an answer, want none", n)
	}
}

// TestGatewayLoss kills each gateway in turn while callers stream answers. The
// callers must be able to resume them at the other gateways.
func TestGatewayLoss(t *testing.T) {
	f := startFleet(t)
	l := f.StartLoad(callers, tokens)
	for _, e := range f.Entries {
		time.Sleep(300 * time.Millisecond)
		e.Gateway.Kill()
		e.Gateway.Start()
		f.AwaitReady(e.Gateway)
	}
	finish(t, f, l)
	if l.BrokenConnections() == 0 {
		t.Error("no connection broke before the end of an answer, so no answer was resumed")
	}
}

// TestAllAgentsFrozen freezes every agent. Gateways must continue to serve from
// their last view and query the servers' state themselves.
func TestAllAgentsFrozen(t *testing.T) {
	f := startFleet(t)
	l := f.StartLoad(callers, tokens)
	for _, e := range f.Entries {
		e.Agent.Freeze()
	}
	time.Sleep(4 * time.Second)
	before := l.Answers()
	time.Sleep(time.Second)
	if l.Answers() == before {
		t.Error("no answer completed within 1 s while the agents were frozen")
	}
	for _, e := range f.Entries {
		e.Agent.Thaw()
	}
	finish(t, f, l)
	if n := l.BrokenConnections(); n != 0 {
		t.Errorf("%d connections broke before the end of an answer, want none", n)
	}
}
