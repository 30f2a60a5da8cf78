package soak

import (
	"encoding/json"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kumquatyard/platform/standin"
)

// A version is rolled out while instances are killed, also the holder of the duties: good ones are
// completed, bad ones reverted, before the deadline; bad ones get no more than their share.
func TestRollouts(t *testing.T) {
	failing := func(rate float64) standin.ServerFaults { return standin.ServerFaults{ErrorRate: rate} }
	tests := []struct {
		name    string
		service string
		faults  standin.ServerFaults
		after   time.Duration
		want    string
	}{
		{"good", "order", standin.ServerFaults{}, 0, "completed"},
		{"fails 30 %", "lookup", failing(0.3), 0, "reverted"},
		{"fails 50 % later", "lookup", failing(0.5), 4 * time.Second, "reverted"},
		{"slow", "order", standin.ServerFaults{Delay: 40 * time.Millisecond}, 0, "reverted"},
	}
	for n, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &rollOut{t: t, options: Options{Seed: uint64(300 + n), Instances: 5, Callers: 40, Binary: binary}, service: tt.service, faults: tt.faults, after: tt.after}
			r.play(tt.want)
		})
	}
}

const (
	rolledVersion   = "v9"
	rolloutDuration = 14 * time.Second
	// lastKill is how long before the deadline the last instance is killed: if it holds the duties, another
	// one does so leaseMS later at the earliest.
	lastKill = 4500 * time.Millisecond
	// afterRevert is how long the requests go on after a roll-out was reverted.
	afterRevert = 4 * time.Second
)

// rollOut plays one roll-out.
type rollOut struct {
	t       *testing.T
	options Options
	service string
	// faults are those of the new version, from a time after the order on.
	faults standin.ServerFaults
	after  time.Duration

	fleet *fleet
	added []*server
}

func (r *rollOut) play(want string) {
	f, rec := newFleet(r.t, r.options), &recorder{}
	r.fleet = f
	c := startFleet(r.t, f, rec, r.options, r.t.Logf)
	var ids atomic.Int64
	done := make(chan struct{})
	var callers sync.WaitGroup
	for n := range r.options.Callers {
		callers.Go(func() { newCaller(f, rec, &ids, r.options.Seed+uint64(n)+1).run(done) })
	}
	time.Sleep(3 * time.Second)
	orderedAt := time.Now()
	order, err := json.Marshal(map[string]any{"service": r.service, "to": rolledVersion, "duration_s": rolloutDuration.Seconds()})
	if err != nil {
		r.t.Fatal(err)
	}
	f.store.Put("op/rollout/"+r.service, order)
	time.Sleep(500 * time.Millisecond)
	for range serversPerService {
		r.added = append(r.added, f.addServerOf(r.service, func() string { return rolledVersion }))
	}
	time.AfterFunc(r.after, func() {
		for _, s := range r.added {
			s.SetFaults(r.faults)
		}
	})
	state := r.await(c, orderedAt)
	r.t.Logf("status %q after %v", state, time.Since(orderedAt))
	if state == "reverted" {
		time.Sleep(afterRevert)
	} else {
		time.Sleep(time.Until(orderedAt.Add(rolloutDuration)))
	}
	close(done)
	callers.Wait()
	if state != want {
		r.t.Errorf("the roll-out is %q at the deadline, want %q", state, want)
		r.logRollout()
	}
	r.checkExposure(orderedAt, want)
	time.Sleep(deadline)
	checkOutcomes(f, rec)
	report(r.t, f, rec, nil)
}

// await kills instances in turn until the status is final or the deadline has passed, and carries the
// end of the roll-out out.
func (r *rollOut) await(c *chaos, orderedAt time.Time) string {
	killed := time.Now()
	for time.Since(orderedAt) < rolloutDuration {
		switch state := r.state(); state {
		case "completed":
			for _, s := range r.fleet.serverList() {
				if s.Service == r.service && s.Version != rolledVersion {
					s.Unregister()
					s.Stop()
				}
			}
			return state
		case "reverted":
			time.AfterFunc(2*time.Second, func() {
				for _, s := range r.added {
					s.Drain()
				}
			})
			return state
		}
		if time.Since(killed) > 2500*time.Millisecond && time.Since(orderedAt) < rolloutDuration-lastKill {
			killed = time.Now()
			c.kill(600 * time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return "not final at the deadline: " + r.state()
}

// logRollout logs what the instances logged of the roll-out.
func (r *rollOut) logRollout() {
	for _, i := range r.fleet.instances {
		data, err := os.ReadFile(i.logFile)
		if err != nil {
			r.t.Error(err)
		}
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, "event=rollout_") {
				r.t.Log(i.name, line)
			}
		}
	}
}

func (r *rollOut) state() string {
	var status struct{ State, To string }
	value := r.fleet.store.Value("status/rollout/" + r.service)
	if err := json.Unmarshal(value, &status); err != nil || status.To != rolledVersion {
		return string(value)
	}
	return status.State
}

// checkExposure checks what the new version got until the deadline.
func (r *rollOut) checkExposure(orderedAt time.Time, want string) {
	isNew := make(map[string]bool)
	for _, s := range r.added {
		isNew[s.ID] = true
	}
	all, exposed := 0, 0
	var last time.Time
	for _, s := range r.fleet.serverList() {
		if s.Service != r.service {
			continue
		}
		for _, a := range s.Arrivals() {
			if a.At.Before(orderedAt) || a.At.After(orderedAt.Add(rolloutDuration)) || !strings.HasPrefix(a.Path, "/"+r.service+"/") {
				continue
			}
			all++
			if isNew[s.ID] {
				exposed++
				last = a.At
			}
		}
	}
	r.t.Logf("the new version got %d of %d requests, the last one %v after the order", exposed, all, last.Sub(orderedAt))
	if exposed < 5 {
		r.t.Errorf("the new version got %d requests, too few to judge it", exposed)
	}
	if most := exposureShare*float64(all) + exposureSlack; want == "reverted" && float64(exposed) > most {
		r.t.Errorf("a bad version got %d of %d requests, allowed %.0f", exposed, all, most)
	}
}
