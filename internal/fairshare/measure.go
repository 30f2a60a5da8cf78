package fairshare

import (
	"maps"
	"slices"
	"time"
)

const (
	// A pool is short when at least pressedOn of the work that is asked for finds no spare room
	// while it exceeds shortLoad of the nominal room. Queues at less load are due to an uneven
	// spread, which refusals do not mend. The pool is no longer short once the work has been
	// below calmLoad, or what finds no spare room below pressedOff of it, for calmTime.
	shortLoad  = 0.7
	pressedOn  = 0.1
	pressedOff = 0.03
	calmLoad   = 0.6
	calmTime   = time.Second
	// pressedCut is the part of the work that found no spare room by which the room is
	// reduced, so that queues get shorter.
	pressedCut = 0.5
	// minRoom bounds the measured room from below, as a fraction of the nominal room.
	minRoom = 0.4
	// widespread is the fraction of the instances for which a pool has to be nearly short:
	// one instance alone sees few requests.
	widespread = 0.1
)

// measure is what is known of a pool's room, over all instances that report it. Work is in
// tokens per second.
type measure struct {
	// offered is the work that was asked for, pressed what of it was asked for while servers
	// had no spare room, and served the work of the requests whose answers began.
	offered, pressed, served float64
	// nominal is the work that the usable servers process by their learned speed.
	nominal float64
	// servers is the number of usable servers, and meanServers its mean over the time in
	// which the work was measured.
	servers, meanServers float64
}

// pressure returns the part of the work that found no spare room.
func (m measure) pressure() float64 {
	if m.offered <= 0 {
		return 0
	}
	return min(m.pressed/m.offered, 1)
}

// room returns the work that the servers can take. Servers that left since the measurement,
// or announced that they will, no longer count.
func (m measure) room() float64 {
	room := m.served * (1 - pressedCut*m.pressure())
	if m.servers < m.meanServers {
		room *= m.servers / m.meanServers
	}
	return min(max(room, minRoom*m.nominal), m.nominal)
}

// shortness says whether a pool is short of room, with hysteresis.
type shortness struct {
	short     bool
	calmSince time.Time
}

// update records the load, as a fraction of the nominal room, and the pressure, and reports
// whether the pool is short.
func (s *shortness) update(load, pressure float64, now time.Time) bool {
	calm := load < calmLoad || pressure < pressedOff
	switch {
	case load > shortLoad && pressure >= pressedOn:
		s.short, s.calmSince = true, time.Time{}
	case !calm:
		s.calmSince = time.Time{}
	case s.calmSince.IsZero():
		s.calmSince = now
	case now.Sub(s.calmSince) >= calmTime:
		s.short = false
	}
	return s.short
}

// maxRetryAfter bounds the time after which a caller may retry, before jitter.
const maxRetryAfter = 4 * time.Second

// retryAfter returns the time in which a share works off what exceeds it in a slot.
func retryAfter(s Share) time.Duration {
	if s.Granted <= 0 {
		return maxRetryAfter
	}
	excess := max(s.Offered-s.Granted, 0) / s.Granted
	return min(time.Duration(excess*float64(slot)), maxRetryAfter)
}

func sortedRanks(ranks map[int]float64) []int { return slices.Sorted(maps.Keys(ranks)) }
