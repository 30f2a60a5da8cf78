package rollout

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/store"
	pb "kumquatyard/proto/kumquat/v1"
)

func quiet() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

var testBounds = Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}

// snapshotOf returns a snapshot with servers of both versions.
func snapshotOf(oldServers, newServers int) *fleet.Snapshot {
	var list []*fleet.Server
	for i := range oldServers + newServers {
		version := "v1"
		if i >= oldServers {
			version = "v2"
		}
		list = append(list, &fleet.Server{Server: machine.Server{ID: machine.ID(fmt.Sprintf("s%d", i)), Pool: "p"}, Version: version, Lifecycle: machine.Serving})
	}
	return &fleet.Snapshot{Servers: map[string][]*fleet.Server{"p": list}}
}

var testOrder = Order{Pool: "p", Version: "v2", Duration: 6 * time.Second, Revision: store.Revision{Era: 1, Number: 10}}

// trackerAt returns a tracker that has learned of testOrder.
func trackerAt(snapshot *fleet.Snapshot, instances int, now time.Time) *Tracker {
	t := New(Options{Bounds: testBounds, Log: quiet()})
	t.setOrder(testOrder, now)
	t.Maintain(snapshot, instances, now)
	return t
}

// send sends one request with a draw and returns the server, nil if there was none.
func send(t *Tracker, servers []*fleet.Server, draw float64, random *rand.Rand, now time.Time) *fleet.Server {
	p := t.Begin("p", draw, now)
	defer p.End()
	for {
		var allowed []*fleet.Server
		for _, s := range servers {
			if p.Allows(s) {
				allowed = append(allowed, s)
			}
		}
		if len(allowed) > 0 {
			if s := allowed[random.IntN(len(allowed))]; p.Take(s, now) {
				return s
			}
			continue
		}
		if !p.FallBack() {
			return nil
		}
	}
}

// sumOf sums messages as the exchange does.
func sumOf(messages []*pb.RolloutState) []*pb.RolloutState {
	sum := &pb.RolloutState{Order: testOrder.key()}
	var cells []*pb.RolloutCell
	for _, m := range messages {
		sum.AgeMs, sum.Phase, sum.Instances = max(sum.AgeMs, m.GetAgeMs()), max(sum.GetPhase(), m.GetPhase()), sum.GetInstances()+1
		cells = append(cells, m.GetCells()...)
	}
	sum.Cells = cells
	return []*pb.RolloutState{sum}
}

// Whatever instances hear of each other, join and are killed, the new version gets no more than its
// share of all requests.
func TestExposureIsBounded(t *testing.T) {
	for _, instances := range []int{6, 60, 300} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
				lateness := rapid.IntRange(0, 10).Draw(rt, "lateness of sums, steps")
				joins := rapid.IntRange(0, instances).Draw(rt, "joins")
				killAt := rapid.IntRange(5, 25).Draw(rt, "half killed at")
				restarts := rapid.Bool().Draw(rt, "killed ones start again")
				drawScale := rapid.Float64Range(0, 1).Draw(rt, "scale of the draws")
				perStep := rapid.IntRange(10, 60).Draw(rt, "requests a step")
				snapshot := snapshotOf(20, 20)
				servers := snapshot.Servers["p"]
				now := time.Unix(1000, 0)
				var running []*Tracker
				for range instances {
					running = append(running, trackerAt(snapshot, instances, now))
				}
				all, exposed := 0, 0
				for step := range 30 {
					now = now.Add(200 * time.Millisecond)
					if step == killAt {
						killed := len(running) / 2
						running = running[killed:]
						for range killed {
							if restarts {
								running = append(running, trackerAt(snapshot, len(running), now))
							}
						}
					}
					if joins > 0 && step%2 == 0 {
						running = append(running, trackerAt(snapshot, len(running)+1, now))
						joins--
					}
					if step%(lateness+1) == 0 {
						var messages []*pb.RolloutState
						for _, tracker := range running {
							messages = append(messages, tracker.Messages(now)...)
						}
						for _, tracker := range running {
							tracker.Apply(sumOf(messages), now)
						}
					}
					for range perStep {
						s := send(running[random.IntN(len(running))], servers, drawScale*random.Float64(), random, now)
						if s == nil {
							rt.Fatal("a request found no server")
						}
						all++
						if s.Version == "v2" {
							exposed++
						}
					}
					if most := testBounds.Share*float64(all) + testBounds.Slack; float64(exposed) > most {
						rt.Fatalf("step %d: the new version got %d of %d requests, allowed %.1f", step, exposed, all, most)
					}
				}
			})
		})
	}
}

// The new version gets about as many requests per server as the old one, at the same servers from all
// instances.
func TestExposedRequestsAreConcentrated(t *testing.T) {
	snapshot := snapshotOf(90, 90)
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	perServer := make(map[machine.ID]int)
	newOnes := make(map[machine.ID]bool)
	total := 0
	for range 10 {
		tracker := trackerAt(snapshot, 10, now)
		tracker.Apply(sumOf(tracker.Messages(now)), now)
		for range 4000 {
			s := send(tracker, snapshot.Servers["p"], random.Float64(), random, now)
			perServer[s.ID]++
			total++
			if s.Version == "v2" {
				newOnes[s.ID] = true
			}
		}
	}
	exposed := 0
	for id := range newOnes {
		exposed += perServer[id]
	}
	perNew, perOld := float64(exposed)/float64(len(newOnes)), float64(total-exposed)/90
	t.Logf("%d of %d requests at %d new servers: %.0f each, %.0f at an old one", exposed, total, len(newOnes), perNew, perOld)
	if len(newOnes) > 5 || perNew < 0.7*perOld || perNew > 1.5*perOld {
		t.Errorf("%d new servers got %.0f requests each, want about %.0f at most 5", len(newOnes), perNew, perOld)
	}
}

// An instance that hears no sums for a second sends nothing to the new version, and one that hears of
// many bad answers neither.
func TestExposureStops(t *testing.T) {
	snapshot := snapshotOf(10, 10)
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	countNew := func(tracker *Tracker, now time.Time) (n int) {
		for range 2000 {
			if send(tracker, snapshot.Servers["p"], random.Float64(), random, now).Version == "v2" {
				n++
			}
		}
		return n
	}
	tracker := trackerAt(snapshot, 6, now)
	if n := countNew(tracker, now); n > 0 {
		t.Errorf("before the first sum, %d requests were exposed", n)
	}
	tracker.Apply(sumOf(tracker.Messages(now)), now)
	if n := countNew(tracker, now); n == 0 {
		t.Error("no request was exposed")
	}
	if n := countNew(tracker, now.Add(sumTimeout)); n > 0 {
		t.Errorf("a second after the last sum, %d requests were exposed", n)
	}
	later := now.Add(2 * time.Second)
	bad := &pb.RolloutState{Order: testOrder.key(), Cells: encodeCells([]Cell{
		{cellKey: cellKey{1, false, 0}, Total: Counts{Answers: 1000, Failed: 500}},
		{cellKey: cellKey{1, true, 5}, Total: Counts{Answers: 70, Failed: maxBadAnswers}},
	})}
	tracker.Apply([]*pb.RolloutState{bad}, later)
	if n := countNew(tracker, later); n > 0 {
		t.Errorf("after %d bad answers that no test decides on, %d requests were exposed", maxBadAnswers, n)
	}
}

// A request that the new version failed goes to the old one.
func TestRetryGoesToTheOldVersion(t *testing.T) {
	snapshot := snapshotOf(10, 10)
	now := time.Unix(1000, 0)
	tracker := trackerAt(snapshot, 1, now)
	tracker.Apply(sumOf(tracker.Messages(now)), now)
	p := tracker.Begin("p", 0, now)
	for _, s := range snapshot.Servers["p"] {
		if p.Allows(s) {
			if !p.Take(s, now) || s.Version != "v2" {
				t.Fatalf("the request was not exposed: %v", s)
			}
			break
		}
	}
	for _, s := range snapshot.Servers["p"] {
		if got := p.Allows(s); got != (s.Version == "v1") {
			t.Errorf("retry may go to %s of %s: %t", s.ID, s.Version, got)
		}
	}
}

// A stream goes on at the version that began it, but not at a stopped one.
func TestStreamsKeepToTheirVersion(t *testing.T) {
	snapshot := snapshotOf(2, 2)
	now := time.Unix(1000, 0)
	for phase, wantNew := range map[Phase]bool{Exposing: true, Switching: true, Stopped: false, Finished: true} {
		tracker := trackerAt(snapshot, 1, now)
		tracker.rolls["p"].phase = phase
		for _, s := range snapshot.Servers["p"] {
			if got, want := tracker.AllowsContinuation(s), s.Version == "v1" || wantNew; got != want {
				t.Errorf("%v: a stream of %s may go on: %t, want %t", phase, s.Version, got, want)
			}
		}
	}
}
