package fairshare

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/rollup"
)

func group(workspace uint32, rank int) rollup.GroupKey {
	return rollup.GroupKey{Workspace: workspace, Rank: rank}
}

func TestDivide(t *testing.T) {
	for name, tt := range map[string]struct {
		room    float64
		offered map[rollup.GroupKey]float64
		weights map[uint32]float64
		want    map[rollup.GroupKey]float64
	}{
		"room for all":             {10, map[rollup.GroupKey]float64{group(1, 0): 4, group(2, 0): 6}, nil, map[rollup.GroupKey]float64{group(1, 0): 4, group(2, 0): 6}},
		"the larger one gives way": {10, map[rollup.GroupKey]float64{group(1, 0): 2, group(2, 0): 20}, nil, map[rollup.GroupKey]float64{group(1, 0): 2, group(2, 0): 8}},
		"by weight":                {9, map[rollup.GroupKey]float64{group(1, 0): 9, group(2, 0): 9}, map[uint32]float64{1: 1, 2: 2}, map[rollup.GroupKey]float64{group(1, 0): 3, group(2, 0): 6}},
		"unused room is passed on": {9, map[rollup.GroupKey]float64{group(1, 0): 1, group(2, 0): 6, group(3, 0): 6}, nil, map[rollup.GroupKey]float64{group(1, 0): 1, group(2, 0): 4, group(3, 0): 4}},
		"ranks first":              {6, map[rollup.GroupKey]float64{group(1, 0): 4, group(1, 1): 4}, nil, map[rollup.GroupKey]float64{group(1, 0): 4, group(1, 1): 2}},
		"floor of the last rank":   {4, map[rollup.GroupKey]float64{group(1, 0): 7, group(1, 1): 10}, nil, map[rollup.GroupKey]float64{group(1, 0): 2.8, group(1, 1): 1.2}},
		"no room":                  {0, map[rollup.GroupKey]float64{group(1, 0): 1}, nil, map[rollup.GroupKey]float64{group(1, 0): 0}},
	} {
		got := Divide(tt.room, tt.offered, tt.weights)
		for key, want := range tt.want {
			if math.Abs(got[key].Granted-want) > 0.01 {
				t.Errorf("%s: %v gets %.3f, want %.3f", name, key, got[key].Granted, want)
			}
		}
	}
}

// Whatever is asked for: the shares fill the room, a workspace is cut only for one that gets no
// more for its weight, a less urgent rank has no greater part than a more urgent one, and
// nobody has less than the floor.
func TestDivideIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offered, weights, total := make(map[rollup.GroupKey]float64), make(map[uint32]float64), 0.0
		for w := range rapid.Uint32Range(1, 20).Draw(t, "workspaces") {
			weights[w] = rapid.Float64Range(0.1, 100).Draw(t, "weight")
			for rank := range rapid.IntRange(1, 4).Draw(t, "ranks") {
				work := rapid.Float64Range(0.01, 1000).Draw(t, "work")
				offered[group(w, rank)] = work
				total += work
			}
		}
		room := total * rapid.Float64Range(0.01, 1.5).Draw(t, "room")
		shares := Divide(room, offered, weights)
		sum := 0.0
		asked, granted := make(map[uint32]float64), make(map[uint32]float64)
		for key, s := range shares {
			if s.Granted > s.Offered*(1+1e-9) || s.Offered != offered[key] {
				t.Fatalf("%v gets %v of %v", key, s, offered[key])
			}
			sum += s.Granted
			asked[key.Workspace] += s.Offered
			granted[key.Workspace] += s.Granted
			if before, ok := shares[group(key.Workspace, key.Rank-1)]; ok && s.Part() > before.Part()+1e-6 {
				t.Fatalf("%v has the part %.4f, the more urgent rank %.4f", key, s.Part(), before.Part())
			}
			if first := shares[group(key.Workspace, 0)]; s.Part() < floorPart*first.Part()-1e-6 {
				t.Fatalf("%v has the part %.4f, the most urgent rank %.4f", key, s.Part(), first.Part())
			}
		}
		if want := min(room, total); math.Abs(sum-want) > 1e-3*want {
			t.Fatalf("%.4f is granted of a room of %.4f for %.4f", sum, room, total)
		}
		for a := range asked {
			if granted[a] < floorPart*min(room/total, 1)*asked[a]*(1-1e-6) {
				t.Fatalf("workspace %d gets %.4f of %.4f, below its floor", a, granted[a], asked[a])
			}
			for b := range asked {
				isCut := granted[a] < asked[a]*(1-1e-3)
				overFloor := granted[b] > floorPart*min(room/total, 1)*asked[b]*(1+1e-3)
				if isCut && overFloor && granted[a]/weights[a] < granted[b]/weights[b]*(1-1e-3) {
					t.Fatalf("workspace %d is cut to %.4f for its weight while %d has %.4f", a, granted[a]/weights[a], b, granted[b]/weights[b])
				}
			}
		}
	})
}

// A server that announces that it leaves does not count from the next update on, before less
// work is served.
func TestAnnouncedReclaimCutsTheRoomAtOnce(t *testing.T) {
	m := measure{offered: 100, served: 90, nominal: 180, servers: 9, meanServers: 9}
	before := m.room()
	m.servers, m.nominal = 6, 120
	if got, want := m.room(), before*2/3; got > want*1.01 {
		t.Errorf("the room is %.1f after a third of the servers announced that they leave, want %.1f", got, want)
	}
}

func TestShortnessHasHysteresis(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	var s shortness
	for _, tt := range []struct {
		at, load, pressure float64
		want               bool
	}{
		{0, 0.5, 0.5, false}, // queues, but of an uneven spread
		{1, 0.9, 0.05, false},
		{2, 0.9, 0.2, true},
		{3, 0.9, 0.05, true},
		{4, 0.9, 0.01, true},
		{4.5, 0.9, 0.05, true}, // calm for too short a time
		{5, 0.9, 0.01, true},
		{6, 0.9, 0.01, false},
	} {
		if got := s.update(tt.load, tt.pressure, at(tt.at)); got != tt.want {
			t.Errorf("at %.1f s, load %.2f, pressure %.2f: short %v, want %v", tt.at, tt.load, tt.pressure, got, tt.want)
		}
	}
}

// The part of requests that are inside a share converges to the share, also if each of 300
// instances sees one of them.
func TestPartIsTheSameAtAnyNumberOfInstances(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, instances := range []int{1, 6, 300, 3000} {
		const requests = 3000
		inside := 0
		for range instances {
			s := &poolShares{credits: make(map[creditKey]float64)}
			for range requests / instances {
				if s.draw(creditKey{}, 0.4, random.Float64) {
					inside++
				}
			}
		}
		if part := float64(inside) / requests; part < 0.35 || part > 0.45 {
			t.Errorf("%d instances: %.3f of the requests are inside a share of 0.4", instances, part)
		}
	}
}

// A failure: the other instances' sums stop. There are no shares then; the pool counts as not
// short, and nothing is refused here.
func TestNoSharesWithoutSums(t *testing.T) {
	config := fleet.NewConfig(1, nil, []*fleet.Pool{{Name: "p"}}, nil, fleet.Limits{})
	tracker := New(Options{
		Instances: func() int { return 6 }, Log: quiet, Rate: func(string) float64 { return 10 },
		Demand: func(string, time.Time) float64 { return 400 },
	})
	snapshot := &fleet.Snapshot{Config: config, Servers: newSimulation(scenario{instances: 1, workspaces: 1}, 1).snapshot(0).Servers}
	request := Request{Pool: "p", Workspace: "w", Route: "r", Tokens: 100, Pressed: true}
	refused := func(from, to time.Duration, heard bool) int {
		n := 0
		for at := from; at < to; at += 250 * time.Millisecond {
			now := start.Add(at)
			if heard {
				others := rollup.Rooms{rollup.Key("p"): {Near: 5, Pressed: 1000, Served: 100, Offered: map[rollup.GroupKey]float64{request.group(): 1000}}}
				tracker.RecordOthers(others, now)
			}
			for range 4 {
				if tracker.Decide(request).Refused {
					n++
				}
				tracker.Record(request, now)
			}
			tracker.Update(snapshot, now)
		}
		return n
	}
	if n := refused(0, 3*time.Second, true); n == 0 {
		t.Error("nothing is refused while the pool is short")
	}
	refused(3*time.Second, 7*time.Second, false)
	if n := refused(7*time.Second, 10*time.Second, false); n > 0 {
		t.Errorf("%d requests are refused although no sums arrive", n)
	}
}

func TestRetryAfterFollowsTheShare(t *testing.T) {
	for _, tt := range []struct {
		share Share
		want  time.Duration
	}{{Share{15, 10}, slot / 2}, {Share{20, 10}, slot}, {Share{100, 1}, maxRetryAfter}, {Share{1, 0}, maxRetryAfter}} {
		if got := retryAfter(tt.share); got != tt.want {
			t.Errorf("%v: retry after %v, want %v", tt.share, got, tt.want)
		}
	}
}
