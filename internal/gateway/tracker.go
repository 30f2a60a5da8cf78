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

// serverStats holds this gateway's own observations of one server.
type serverStats struct {
	inFlight  *route.InFlight
	successes atomic.Uint64
	failures  atomic.Uint64
	mu        sync.Mutex
	samples   []outlier.Sample
	// prefixes are those that the server computed for this gateway since the
	// last routing view; their cache events may not have arrived yet.
	prefixes [][]uint64
	// leavingIncarnation is the incarnation in which the server itself reported
	// that it is leaving or otherwise not serving, or 0.
	leavingIncarnation atomic.Uint64
	// probedAt is when the server last confirmed that it serves, in Unix
	// nanoseconds.
	probedAt atomic.Int64
}

// maxSamples bounds the samples kept until the next run of outlier detection.
const maxSamples = 256

// observe records the outcome of a request to the server. The latency is that of
// one unit of work: a token, or a call of a plain service.
func (s *serverStats) observe(sample outlier.Sample) {
	if sample.Failed {
		s.failures.Add(1)
	} else {
		s.successes.Add(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) < maxSamples {
		s.samples = append(s.samples, sample)
	}
}

func (s *serverStats) takeSamples() []outlier.Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.samples
	s.samples = nil
	return taken
}

// maxPrefixes bounds the prefixes kept until the next routing view.
const maxPrefixes = 64

// recordPrefix records that the server's cache now holds a prefix.
func (s *serverStats) recordPrefix(prefix []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.prefixes) < maxPrefixes {
		s.prefixes = append(s.prefixes, prefix)
	}
}

func (s *serverStats) takePrefixes() [][]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.prefixes
	s.prefixes = nil
	return taken
}

// tracker holds the serverStats of each server that was ever looked up.
type tracker struct{ servers sync.Map }

func (t *tracker) server(id machine.ID) *serverStats {
	if found, ok := t.servers.Load(id); ok {
		return found.(*serverStats)
	}
	created, _ := t.servers.LoadOrStore(id, &serverStats{inFlight: new(route.InFlight)})
	return created.(*serverStats)
}

// succeeded records a successful unit of work of the server.
func (t *tracker) succeeded(id machine.ID, latency time.Duration) {
	t.server(id).observe(outlier.Sample{Server: id, Latency: latency})
}

// failed records a failed request to the server.
func (t *tracker) failed(id machine.ID) {
	t.server(id).observe(outlier.Sample{Server: id, Failed: true})
}

// drainSamples removes the collected samples and passes each to observe.
func (t *tracker) drainSamples(observe func(outlier.Sample)) {
	t.servers.Range(func(_, value any) bool {
		for _, s := range value.(*serverStats).takeSamples() {
			observe(s)
		}
		return true
	})
}

// markLeaving records that the server itself reported that it is leaving or
// otherwise not serving. It counts as leaving for the rest of the incarnation.
func (t *tracker) markLeaving(id machine.ID, incarnation uint64) {
	t.server(id).leavingIncarnation.Store(incarnation)
}

// applyLeaving advances states to leaving for servers that reported it
// themselves in the same incarnation.
func (t *tracker) applyLeaving(states map[machine.ID]machine.State) {
	for id, s := range states {
		if seen := t.server(id).leavingIncarnation.Load(); seen != 0 && seen == s.Incarnation {
			s.Lifecycle = max(s.Lifecycle, machine.Leaving)
			states[id] = s
		}
	}
}

// report returns the gateway's observations of all servers, for the agent.
func (t *tracker) report(gateway string) *pb.GatewayReport {
	r := &pb.GatewayReport{Gateway: gateway}
	t.servers.Range(func(key, value any) bool {
		stats := value.(*serverStats)
		inFlight := stats.inFlight.Requests()
		r.InFlight += uint32(inFlight)
		r.Samples = append(r.Samples, &pb.ServerSample{
			Id:        string(key.(machine.ID)),
			InFlight:  uint32(inFlight),
			Successes: uint32(stats.successes.Load()),
			Failures:  uint32(stats.failures.Load()),
			Leaving:   stats.leavingIncarnation.Load() != 0,
		})
		return true
	})
	return r
}
