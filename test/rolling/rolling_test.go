// Package rolling proves that planned stops of every process, one after
// another and under load, lose no accepted request.
package rolling

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"kumquatyard/internal/standin"
	"kumquatyard/test/processes"
)

func TestMain(m *testing.M) {
	code := m.Run()
	processes.Cleanup()
	os.Exit(code)
}

const (
	callers = 12
	tokens  = 80
)

// load keeps callers streaming until stop; every answer has to be whole.
type load struct {
	stopped atomic.Bool
	answers atomic.Int64
	breaks  atomic.Int64
	wg      conc.WaitGroup
}

func startLoad(t *testing.T, f *processes.Fleet) *load {
	l := &load{}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range callers {
		l.wg.Go(func() {
			c := f.NewCaller(i)
			for n := 0; !l.stopped.Load() && ctx.Err() == nil; n++ {
				if err := c.Chat(ctx, fmt.Sprintf("caller %d request %d", i, n), tokens); err != nil && ctx.Err() == nil {
					t.Errorf("caller %d request %d: %v", i, n, err)
				}
				l.answers.Add(1)
			}
			l.breaks.Add(int64(c.Breaks))
		})
	}
	return l
}

func (l *load) stop(t *testing.T, f *processes.Fleet) {
	l.stopped.Store(true)
	l.wg.Wait()
	var recomputed uint64
	for _, e := range f.Engines {
		recomputed += e.Counts().TokensRecomputed
	}
	if recomputed != 0 {
		t.Errorf("%d tokens were recomputed although no engine was lost", recomputed)
	}
	t.Logf("%d whole answers, %d connections broke, %d tokens recomputed", l.answers.Load(), l.breaks.Load(), recomputed)
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
	l := startLoad(t, f)
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
	l.stop(t, f)
	if n := l.breaks.Load(); n != 0 {
		t.Errorf("%d connections broke in the middle of an answer", n)
	}
}

// TestEntryLoss kills each gateway in turn while callers stream answers, which
// they resume at the others.
func TestEntryLoss(t *testing.T) {
	f := startFleet(t)
	l := startLoad(t, f)
	for _, e := range f.Entries {
		time.Sleep(300 * time.Millisecond)
		e.Gateway.Kill()
		e.Gateway.Start()
		f.AwaitReady(e.Gateway)
	}
	l.stop(t, f)
	if l.breaks.Load() == 0 {
		t.Error("no connection broke; the test lost no answer to resume")
	}
}

// TestAgentsFrozen freezes every agent: gateways go on serving on their last
// picture and ask the servers themselves.
func TestAgentsFrozen(t *testing.T) {
	f := startFleet(t)
	l := startLoad(t, f)
	for _, e := range f.Entries {
		e.Agent.Freeze()
	}
	time.Sleep(4 * time.Second)
	before := l.answers.Load()
	time.Sleep(time.Second)
	if l.answers.Load() == before {
		t.Error("no answer came while the agents were frozen")
	}
	for _, e := range f.Entries {
		e.Agent.Thaw()
	}
	l.stop(t, f)
	if n := l.breaks.Load(); n != 0 {
		t.Errorf("%d connections broke in the middle of an answer", n)
	}
}
