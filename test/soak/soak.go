package soak

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Options are what a soak is run with.
type Options struct {
	Seed      uint64
	Duration  time.Duration
	Instances int
	Callers   int
	// Binary is the path of kumquat-entry.
	Binary string
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// Run runs a soak and reports each broken promise as an error of the test.
func Run(t testing.TB, o Options) {
	t.Helper()
	f := newFleet(t, o.Binary, o.Instances)
	r := &record{}
	var lines []string
	var mu sync.Mutex
	begun := time.Now()
	c := &chaos{f: f, record: r, random: newRandom(o.Seed), version: 1, logf: func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		lines = append(lines, line(time.Since(begun), format, args...))
	}}
	c.write()
	for _, i := range f.instances {
		c.start(i)
	}
	awaitReady(t, f)

	var ids atomic.Int64
	done, faultsDone := make(chan struct{}), make(chan struct{})
	var callers, faults sync.WaitGroup
	for n := range o.Callers {
		callers.Go(func() { newCaller(f, r, &ids, o.Seed+uint64(n)+1).run(done) })
	}
	faults.Go(func() { c.run(faultsDone) })
	time.Sleep(o.Duration)
	close(faultsDone)
	faults.Wait()
	time.Sleep(settleTime)
	judgeCalm(f, c, r, &ids)
	close(done)
	callers.Wait()
	time.Sleep(deadline)
	judge(f, r)
	t.Logf("seed %d: %d requests, %d runs, %d windows of usage", o.Seed, len(r.outcomes), len(f.runs.All()), f.duties.Windows())
	if f.duties.Windows() == 0 && o.Duration > 3*windowS*time.Second {
		r.breach("no window of usage was reported")
	}
	report(t, f, r, lines)
}
