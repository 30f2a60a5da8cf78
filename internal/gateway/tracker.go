package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"kumquatyard/internal/machine"
	"kumquatyard/internal/outlier"
	"kumquatyard/internal/route"
	pb "kumquatyard/proto/kumquat/v1"
)

// serverTrack is what this gateway itself sees of one server.
type serverTrack struct {
	inFlight  *route.InFlight
	successes atomic.Uint64
	failures  atomic.Uint64
	mu        sync.Mutex
	samples   []outlier.Sample
	// prefixes were computed by the server for this gateway, whose cache
	// events are still on their way.
	prefixes [][]uint64
	// leavingIncarnation is set when the server itself refused as leaving.
	leavingIncarnation atomic.Uint64
	// probedAt is when the server last confirmed that it serves, in Unix
	// nanoseconds.
	probedAt atomic.Int64
}

// maxSamples bounds the samples that wait for the next look for outliers.
const maxSamples = 256

// observe records how a request to the server ended. Latency is for one unit
// of work: a token, or a call of a plain service.
func (t *serverTrack) observe(sample outlier.Sample) {
	if sample.Failed {
		t.failures.Add(1)
	} else {
		t.successes.Add(1)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.samples) < maxSamples {
		t.samples = append(t.samples, sample)
	}
}

func (t *serverTrack) takeSamples() []outlier.Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.samples
	t.samples = nil
	return taken
}

// maxPrefixes bounds the prefixes that wait for the next routing view.
const maxPrefixes = 64

// computed records that the server holds a prefix in its cache now.
func (t *serverTrack) computed(prefix []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.prefixes) < maxPrefixes {
		t.prefixes = append(t.prefixes, prefix)
	}
}

func (t *serverTrack) takePrefixes() [][]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.prefixes
	t.prefixes = nil
	return taken
}

// tracker holds a serverTrack for each server ever used.
type tracker struct{ servers sync.Map }

func (t *tracker) server(id machine.ID) *serverTrack {
	if found, ok := t.servers.Load(id); ok {
		return found.(*serverTrack)
	}
	made, _ := t.servers.LoadOrStore(id, &serverTrack{inFlight: new(route.InFlight)})
	return made.(*serverTrack)
}

// succeeded records an answer of the server.
func (t *tracker) succeeded(id machine.ID, latency time.Duration) {
	t.server(id).observe(outlier.Sample{Server: id, Latency: latency})
}

// failed records that the server did not answer as it should.
func (t *tracker) failed(id machine.ID) {
	t.server(id).observe(outlier.Sample{Server: id, Failed: true})
}

// drainSamples hands the collected samples to observe.
func (t *tracker) drainSamples(observe func(outlier.Sample)) {
	t.servers.Range(func(_, value any) bool {
		for _, s := range value.(*serverTrack).takeSamples() {
			observe(s)
		}
		return true
	})
}

// sawLeaving records that the server refused work because it is leaving.
func (t *tracker) sawLeaving(id machine.ID, incarnation uint64) {
	t.server(id).leavingIncarnation.Store(incarnation)
}

// override moves states forward to leaving where the server itself said so.
func (t *tracker) override(states map[machine.ID]machine.State) {
	for id, s := range states {
		if seen := t.server(id).leavingIncarnation.Load(); seen != 0 && seen == s.Incarnation {
			s.Lifecycle = max(s.Lifecycle, machine.Leaving)
			states[id] = s
		}
	}
}

// report returns what the agent should know of the servers.
func (t *tracker) report(gateway string) *pb.GatewayReport {
	r := &pb.GatewayReport{Gateway: gateway}
	t.servers.Range(func(key, value any) bool {
		track := value.(*serverTrack)
		inFlight := track.inFlight.Requests()
		r.InFlight += uint32(inFlight)
		r.Samples = append(r.Samples, &pb.ServerSample{
			Id:        string(key.(machine.ID)),
			InFlight:  uint32(inFlight),
			Successes: uint32(track.successes.Load()),
			Failures:  uint32(track.failures.Load()),
			Leaving:   track.leavingIncarnation.Load() != 0,
		})
		return true
	})
	return r
}
