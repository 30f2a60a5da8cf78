package serve

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/rollup"
)

func servers(n int) []*fleet.Server {
	list := make([]*fleet.Server, n)
	for i := range list {
		list[i] = &fleet.Server{Server: machine.Server{ID: machine.ID(fmt.Sprintf("s%d", i))}, Lifecycle: machine.Serving, Slots: 12}
	}
	return list
}

func noSuspects(machine.ID) bool { return false }

// Many instances choose by the same stale report. If each of them took the least
// loaded server, that server would get far more than its share of the requests.
func TestManyInstancesDoNotHerdOnStaleReports(t *testing.T) {
	const instances, requests = 71, 2000
	list := servers(57)
	random := rand.New(rand.NewPCG(1, 1))
	reported := make(map[machine.ID]int)
	for _, s := range list {
		reported[s.ID] = random.IntN(10)
	}
	arrivals := make(map[machine.ID]int)
	for range requests {
		p := &placement{
			servers: list, isSuspected: noSuspects, seed: random.Uint64(), sample: sampleSize(instances),
			predict: func(id machine.ID, _ int) forecast.Estimate {
				return forecast.Estimate{Work: rollup.Work{Active: reported[id]}}
			},
		}
		c, ok := choose(p)
		if !ok {
			t.Fatal("choose found no server")
		}
		arrivals[c.server.ID]++
	}
	mean := requests / len(list)
	for id, n := range arrivals {
		if n > 5*mean {
			t.Errorf("%s got %d of %d requests, want at most five times the mean of %d", id, n, requests, mean)
		}
	}
}

// With few instances, each choice compares all servers and finds the least loaded one.
func TestFewInstancesCompareAllServers(t *testing.T) {
	list := servers(10)
	for seed := range uint64(50) {
		p := &placement{
			servers: list, isSuspected: noSuspects, seed: seed, sample: sampleSize(7),
			predict: func(id machine.ID, _ int) forecast.Estimate {
				if id == "s7" {
					return forecast.Estimate{}
				}
				return forecast.Estimate{Work: rollup.Work{Active: 6}}
			},
		}
		if c, _ := choose(p); c.server.ID != "s7" {
			t.Fatalf("seed %d: chose %s, want the idle server s7", seed, c.server.ID)
		}
	}
}

// Requests that share a prompt prefix go to the same affinity server, also when it is not
// in the random sample, unless its queue is long.
func TestSharedPrefixGoesToItsAffinityServer(t *testing.T) {
	list := servers(57)
	prompt := func(last uint64) *forecast.Prompt {
		return &forecast.Prompt{Tokens: 12_000, Parts: []forecast.Part{{ID: 1, Tokens: 512}, {ID: 2, Tokens: 4870}, {ID: last, Tokens: 6600}}}
	}
	predictor := forecast.NewPredictor()
	now := time.Unix(1_700_000_000, 0)
	place := func(seed uint64) machine.ID {
		p := &placement{
			servers: list, isSuspected: noSuspects, seed: seed, sample: sampleSize(71), prompt: prompt(seed),
			predict: func(id machine.ID, assumed int) forecast.Estimate {
				return predictor.Predict("p", id, prompt(seed), assumed, now)
			},
		}
		c, _ := choose(p)
		return c.server.ID
	}
	affinity := place(100)
	for seed := range uint64(50) {
		if got := place(seed + 101); got != affinity {
			t.Fatalf("seed %d: chose %s, want the affinity server %s", seed, got, affinity)
		}
	}
	for range 20 {
		predictor.Begin("p", affinity, prompt(7), 0, now)
	}
	if got := place(7); got == affinity {
		t.Error("chose the affinity server although its queue is long")
	}
}

// A request waits at its affinity server as long as the queue there is shorter than three
// times the prefill time of the shared prefix: computing the prefix elsewhere would
// keep another server from its requests, and later requests would compute it again.
func TestRequestWaitsForAShortQueueAtItsAffinityServer(t *testing.T) {
	const rate = 80_000
	list := servers(20)
	prompt := &forecast.Prompt{Tokens: 12_000, Parts: []forecast.Part{{ID: 1, Tokens: 512}, {ID: 2, Tokens: 4870}, {ID: 3, Tokens: 6618}}}
	shared := time.Duration(float64(prompt.SharedTokens()) / rate * float64(time.Second))
	place := func(queue time.Duration) (machine.ID, machine.ID) {
		p := &placement{servers: list, isSuspected: noSuspects, seed: 1, sample: len(list), prompt: prompt}
		affinity := p.affinityServer(false).ID
		p.predict = func(id machine.ID, _ int) forecast.Estimate {
			e := forecast.Estimate{TokensPerSecond: rate, FirstToken: 2 * shared}
			if id == affinity {
				e.Cached, e.FirstToken = prompt.SharedTokens(), shared+queue
			}
			return e
		}
		c, _ := choose(p)
		return c.server.ID, affinity
	}
	if got, affinity := place(shared * 28 / 10); got != affinity {
		t.Errorf("queue of 2.8 times the prefill time of the prefix: chose %s, want the affinity server %s", got, affinity)
	}
	if got, affinity := place(shared * 33 / 10); got == affinity {
		t.Error("queue of 3.3 times the prefill time of the prefix: chose the affinity server, want another")
	}
}

// Engines have 3 to 10 of 16 slots in use and queues of up to a tenth of a second.
// Long prompts with a latency target far above these waits go to their affinity servers;
// they spread once the queue there comes near the target (bounded-load hashing:
// Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads", 2018).
func TestWaitsFarBelowTheTargetDoNotScatterSharedPrefixes(t *testing.T) {
	const rate, requests, target = 157_000, 1000, 500 * time.Millisecond
	list := servers(18)
	for _, s := range list {
		s.Slots = 16
	}
	random := rand.New(rand.NewPCG(3, 3))
	atAffinity := func(queued func(affinity bool) int) (n int) {
		for range requests {
			prompt := &forecast.Prompt{Tokens: 12_000, Parts: []forecast.Part{{ID: 1, Tokens: 512}, {ID: random.Uint64(), Tokens: 4870}, {ID: 3, Tokens: 6618}}}
			p := &placement{servers: list, isSuspected: noSuspects, seed: random.Uint64(), sample: len(list), prompt: prompt, target: target}
			affinity := p.affinityServer(false).ID
			p.predict = func(id machine.ID, assumed int) forecast.Estimate {
				tokens := queued(id == affinity) + prompt.Tokens - assumed
				e := forecast.Estimate{TokensPerSecond: rate, Cached: assumed, Work: rollup.Work{Active: 3 + random.IntN(8)}}
				e.FirstToken = 26*time.Millisecond + e.PrefillTime(tokens)
				return e
			}
			if c, _ := choose(p); c.server.ID == affinity {
				n++
			}
		}
		return n
	}
	few := func(bool) int { return random.IntN(16_000) }
	if n := atAffinity(few); n < requests*7/10 {
		t.Errorf("%d of %d prompts went to their affinity server, want at least seven in ten", n, requests)
	}
	long := func(affinity bool) int {
		if affinity {
			return int(rate * target.Seconds())
		}
		return few(affinity)
	}
	if n := atAffinity(long); n > 0 {
		t.Errorf("%d of %d prompts went to an affinity server whose queue takes as long as the target, want none", n, requests)
	}
}

// Few instances may use a server with a limit of its rate: where servers are sampled, it is
// always among those that are compared.
func TestSampleHasTheServersWithALimit(t *testing.T) {
	var servers []*fleet.Server
	for n := range 200 {
		servers = append(servers, &fleet.Server{Server: machine.Server{ID: machine.ID(fmt.Sprint("s", n)), Pool: "p"}, Lifecycle: machine.Serving})
	}
	limited := servers[150]
	for seed := range uint64(20) {
		p := &placement{seed: seed, sample: 3, isLimited: func(s *fleet.Server) bool { return s == limited }}
		sample := p.sampleServers(slices.Clone(servers), nil)
		if !slices.Contains(sample, limited) || len(sample) > 4 {
			t.Fatalf("seed %d: %d servers are compared, with the limited one: %v; want 3 and that one", seed, len(sample), slices.Contains(sample, limited))
		}
	}
}
