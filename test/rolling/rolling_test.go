// Package rolling proves that planned stops of every process, one after
// another and under load, lose no accepted request.
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

// finish ends the load and checks that nothing was computed twice.
func finish(t *testing.T, f *processes.Fleet, l *processes.Load) {
	t.Helper()
	l.Stop()
	if n := f.RecomputedTokens(); n != 0 {
		t.Errorf("%d tokens were recomputed although no engine was lost", n)
	}
	t.Logf("%d whole answers, %d connections broke", l.Answers(), l.BrokenConnections())
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

// TestRollingRestart stops and starts each gateway and each agent in turn
// while callers stream answers. No connection breaks in the middle of one.
func TestRollingRestart(t *testing.T) {
	f := startFleet(t)
	l := f.StartLoad(callers, tokens)
	for _, e := range f.Entries {
		for _, p := range []*processes.Process{e.Gateway, e.Agent} {
			if code := p.Terminate(); code != 0 {
				t.Errorf("%s exits with %d:\n%s", p.Name, code, p.Log())
			}
			p.Start()
			f.AwaitReady(p)
		}
		f.AwaitReady(e.Gateway)
	}
	finish(t, f, l)
	if n := l.BrokenConnections(); n != 0 {
		t.Errorf("%d connections broke in the middle of an answer", n)
	}
}

// TestEntryLoss kills each gateway in turn while callers stream answers, which
// they resume at the others.
func TestEntryLoss(t *testing.T) {
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
		t.Error("no connection broke; the test lost no answer to resume")
	}
}

// TestAgentsFrozen freezes every agent: gateways go on serving on their last
// picture and ask the servers themselves.
func TestAgentsFrozen(t *testing.T) {
	f := startFleet(t)
	l := f.StartLoad(callers, tokens)
	for _, e := range f.Entries {
		e.Agent.Freeze()
	}
	time.Sleep(4 * time.Second)
	before := l.Answers()
	time.Sleep(time.Second)
	if l.Answers() == before {
		t.Error("no answer came while the agents were frozen")
	}
	for _, e := range f.Entries {
		e.Agent.Thaw()
	}
	finish(t, f, l)
	if n := l.BrokenConnections(); n != 0 {
		t.Errorf("%d connections broke in the middle of an answer", n)
	}
}
