// Package reclaim proves that accepted requests survive announced reclaims.
package reclaim

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
	tokens  = 200
)

func startFleet(t *testing.T, routing string) *processes.Fleet {
	return processes.Start(t, processes.Options{
		Entries: 3, Engines: 6, Services: 3, Routing: routing,
		Engine: standin.EngineOptions{TokenTime: 10 * time.Millisecond},
	})
}

func finish(t *testing.T, f *processes.Fleet, l *processes.Load) {
	t.Helper()
	l.Stop()
	if n := l.BrokenConnections(); n != 0 {
		t.Errorf("%d connections broke in the middle of an answer", n)
	}
	t.Logf("%d whole answers, %d tokens recomputed", l.Answers(), f.RecomputedTokens())
}

// TestZoneReclaimed takes a zone's servers back at once.
func TestZoneReclaimed(t *testing.T) {
	f := startFleet(t, "")
	l := f.StartLoad(callers, tokens)
	time.Sleep(time.Second)
	f.Reclaim(f.Zone(0), 2*time.Second)
	time.Sleep(3 * time.Second)
	finish(t, f, l)
}

// TestSecondWave takes a second zone back during the first wave, while the
// first zone's agent dies in the middle of it.
func TestSecondWave(t *testing.T) {
	f := startFleet(t, "")
	l := f.StartLoad(callers, tokens)
	time.Sleep(time.Second)
	f.Reclaim(f.Zone(0), 2*time.Second)
	time.Sleep(300 * time.Millisecond)
	f.Entries[0].Agent.Kill()
	time.Sleep(300 * time.Millisecond)
	f.Reclaim(f.Zone(1), 1500*time.Millisecond)
	time.Sleep(3 * time.Second)
	finish(t, f, l)
}

// TestEntryReclaimedInWave stops an entry instance in the middle of a wave.
func TestEntryReclaimedInWave(t *testing.T) {
	f := startFleet(t, "")
	l := f.StartLoad(callers, tokens)
	time.Sleep(time.Second)
	f.Reclaim(f.Zone(1), 2*time.Second)
	for _, p := range []*processes.Process{f.Entries[1].Gateway, f.Entries[1].Agent} {
		if code := p.Terminate(); code != 0 {
			t.Errorf("%s exits with %d:\n%s", p.Name, code, p.Log())
		}
	}
	time.Sleep(time.Second)
	finish(t, f, l)
}

// TestEvacuationSaves compares the tokens recomputed by the planned evacuation
// of a zone with those recomputed when requests are left to break off.
func TestEvacuationSaves(t *testing.T) {
	planned := recomputedInWave(t, "evacuation: planned")
	none := recomputedInWave(t, "evacuation: none")
	t.Logf("tokens recomputed: %d planned, %d without", planned, none)
	if 2*planned > none {
		t.Errorf("the plan recomputes %d tokens, more than half of the %d without it", planned, none)
	}
}

// recomputedInWave reclaims a zone while long prompts are being answered, with
// too little notice for most answers to end in place.
func recomputedInWave(t *testing.T, routing string) uint64 {
	const promptBytes, answerTokens = 8 << 10, 500
	f := startFleet(t, routing)
	l := f.StartLongLoad(callers, answerTokens, promptBytes)
	for f.RunningRequests() < callers {
		time.Sleep(10 * time.Millisecond)
	}
	f.Reclaim(f.Zone(0), 2*time.Second)
	time.Sleep(2 * time.Second)
	finish(t, f, l)
	return f.RecomputedTokens()
}
