package connlimit

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// reason is why a connection was closed or refused.
type reason string

const (
	reasonRefused      reason = "no_place"
	reasonNoPlace      reason = "gave_way_place"
	reasonNoHeadMemory reason = "gave_way_head_memory"
	reasonNoBodyMemory reason = "gave_way_body_memory"
	reasonHeadRefused  reason = "no_head_memory"
	reasonBodyRefused  reason = "no_body_memory"
	reasonHeadTooLong  reason = "head_too_long"
	reasonRecycled     reason = "recycled"
	reasonSlowHead     reason = "slow_head"
	reasonStalledBody  reason = "stalled_body"
	reasonUnread       reason = "answer_not_read"
	reasonIdle         reason = "idle"
)

// reasonOf returns why a connection is closed whose time in a phase is over.
func reasonOf(p Phase) reason {
	switch p {
	case ReadingHead:
		return reasonSlowHead
	case ReadingBody:
		return reasonStalledBody
	case WritingAnswer:
		return reasonUnread
	default:
		return reasonIdle
	}
}

// reportInterval is the shortest time between two log lines of a door.
const reportInterval = 10 * time.Second

// reports counts what a door closes and refuses, and logs it now and then.
type reports struct {
	door string
	out  *logrus.Entry

	mu     sync.Mutex
	counts map[reason]int
	logged time.Time
}

func (r *reports) init(door string, out *logrus.Entry) {
	r.door, r.out, r.counts = door, out, make(map[reason]int)
}

func (r *reports) count(why reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf("kumquat_connections_limited_total{door=%q,reason=%q}", r.door, string(why))).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[why]++
}

// log writes one line if something happened since the last one. Idle connections that end are
// no event.
func (r *reports) log(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.counts, reasonIdle)
	if len(r.counts) == 0 || now.Sub(r.logged) < reportInterval {
		return
	}
	fields := logrus.Fields{"event": "connections_limited", "door": r.door}
	for why, n := range r.counts {
		fields[string(why)] = n
	}
	r.out.WithFields(fields).Warn("connections were closed or refused because of the limits of this door")
	clear(r.counts)
	r.logged = now
}

var registration sync.Mutex

// registerDoor exports the number of a door's connections; the last door of a name counts.
func registerDoor(d *Door) {
	name := fmt.Sprintf("kumquat_connections_open{door=%q}", d.settings.Name)
	registration.Lock()
	defer registration.Unlock()
	metrics.UnregisterMetric(name)
	metrics.NewGauge(name, func() float64 { return float64(d.count()) })
}
