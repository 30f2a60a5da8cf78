package rollout

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/rollup"
)

const (
	// exposedShare is the part of Bounds.Share that is used. The rest is for the time after
	// the switch, in which a version may still turn out bad.
	exposedShare = 0.5
	// slackShare is the part of Bounds.Slack that the instances use together. Instances that
	// restart use their parts again.
	slackShare = 0.4
	// maxBadAnswers is the number of bad answers, of 50 that Bounds.Rollback counts from, after
	// which no more requests are exposed, whatever the judgment.
	maxBadAnswers = 35
	// sumTimeout is the time without a sum after which an instance exposes no requests: it
	// would not hear that others have seen bad answers.
	sumTimeout = time.Second
	// rampTime is the time in which the share of the requests that go to the new version grows
	// to all of them after the switch.
	rampTime = 800 * time.Millisecond
	// recentTime is half the time that Cell.Recent covers.
	recentTime = 1500 * time.Millisecond
	// finalTime is how long after the end of a roll-out servers of the version that lost may
	// still be there.
	finalTime = 10 * time.Second
	// maxServerCells bounds the new servers whose answers are counted one by one.
	maxServerCells = 12
)

// counter counts the answers of one cell.
type counter struct {
	total, previous, current Counts
}

// roll is what an instance knows of one order. It is safe for concurrent use.
type roll struct {
	bounds Bounds
	log    *logrus.Entry

	mu    sync.Mutex
	order Order
	// beganAt is when the first instance saw the order, as far as this one knows.
	beganAt time.Time
	phase   Phase
	// phaseAt is when the phase began here.
	phaseAt time.Time
	// final is the final state, once it is known, since finalAt.
	final   State
	finalAt time.Time
	// written is the state that the store's status of the order has.
	written State
	// verdict is that which stopped the roll-out, or the last one.
	verdict Verdict

	// sent counts the requests that this instance sent to the pool under the order, and exposed
	// those among them, or about to be, that go to the new version before the switch.
	sent, exposed int
	counters      map[cellKey]*counter
	recentSince   time.Time
	// cells are those of the last sum over all instances, received at sumAt, and mostBad the
	// most bad answers of the new version that any sum had.
	cells        []Cell
	sumAt        time.Time
	sumInstances int
	mostBad      int
	judgedAt     time.Time

	// focus are the new servers that get the exposed requests.
	focus map[machine.ID]bool
	// oldServers and newServers are the numbers of usable servers of the versions, and oldKnown that
	// of all other versions.
	oldServers, newServers, oldKnown, newKnown int
	instances                                  int
}

func newRoll(o Order, b Bounds, log *logrus.Entry, now time.Time) *roll {
	return &roll{order: o, bounds: b, log: log, beganAt: now, phaseAt: now, recentSince: now, counters: make(map[cellKey]*counter), instances: 1}
}

// fields returns the log fields of the roll-out.
func (r *roll) fields(event string, now time.Time) logrus.Fields {
	return logrus.Fields{
		"event": event, "pool": r.order.Pool, "to": r.order.Version, "order": r.order.Revision.Number, "era": r.order.Revision.Era,
		"duration_ms": r.order.Duration.Milliseconds(), "age_ms": now.Sub(r.beganAt).Milliseconds(), "phase": r.phase, "state": r.written,
		"sent": r.sent, "exposed": r.exposed, "new_servers": r.newServers, "answers": answers(r.cells), "old_servers": r.oldServers,
	}
}

// verdictFields returns the counts that decided.
func verdictFields(v Verdict) logrus.Fields {
	return logrus.Fields{
		"reason": v.Reason, "route_key": v.Route, "recent": v.Recent, "new_answers": v.New.Answers, "new_bad": v.New.Bad,
		"old_answers": v.Old.Answers, "old_bad": v.Old.Bad, "probability": v.Probability, "outliers": len(v.Outliers),
	}
}

// advance moves the roll-out to a later phase. It is called with mu held.
func (r *roll) advance(p Phase, why string, now time.Time) {
	if p <= r.phase || r.final == Reverted {
		return
	}
	r.phase, r.phaseAt = p, now
	r.log.WithFields(r.fields("rollout_phase", now)).WithFields(verdictFields(r.verdict)).Info(why)
}

// isBinding reports whether the roll-out still restricts which servers requests go to.
func (r *roll) isBinding(now time.Time) bool {
	switch {
	case r.final == Completed:
		return now.Sub(r.finalAt) < finalTime
	case r.final == Reverted:
		return r.oldKnown > 0 || now.Sub(r.finalAt) < finalTime
	default:
		return true
	}
}

// isFresh reports whether the other instances' counts are known.
func (r *roll) isFresh(now time.Time) bool { return now.Sub(r.sumAt) < sumTimeout }

// budget returns the number of requests that this instance may have exposed.
func (r *roll) budget() float64 {
	return exposedShare*r.bounds.Share*float64(r.sent) + slackShare*r.bounds.Slack/float64(max(r.instances, 1))
}

// expose decides by a draw whether a request goes to the new version, and reserves its place in
// the budget. It is called with mu held.
func (r *roll) expose(draw float64, now time.Time) (exposed, reserved bool) {
	switch r.phase {
	case Finished:
		return true, false
	case Switching:
		return r.isFresh(now) && draw < float64(now.Sub(r.phaseAt))/float64(rampTime), false
	case Exposing:
		if draw >= exposureDraw(r.bounds) || !r.mayExpose(now) {
			return false, false
		}
		r.exposed++
		return true, true
	default:
		return false, false
	}
}

// exposureDraw is the draw below which a request is exposed while the budget allows it.
func exposureDraw(b Bounds) float64 { return 1.5 * exposedShare * b.Share }

// mayExpose reports whether one more request may be exposed before the switch.
func (r *roll) mayExpose(now time.Time) bool {
	return r.phase == Exposing && r.isFresh(now) && len(r.focus) > 0 && r.mostBad < maxBadAnswers && float64(r.exposed+1) <= r.budget()
}

// record counts an answer of a server.
func (r *roll) record(route string, s *fleet.Server, failed bool, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.final != None {
		return
	}
	key := cellKey{route: rollup.Key(route), target: s.Version == r.order.Version}
	if key.target && r.focus[s.ID] {
		key.server = rollup.Key(string(s.ID))
	}
	c := r.counters[key]
	if c == nil {
		c = &counter{}
		r.counters[key] = c
	}
	countAnswer(r.order.Pool, route, key.target, failed)
	c.total.add(failed, latency)
	c.current.add(failed, latency)
}

// rotate ends the recent answers that are too old.
func (r *roll) rotate(now time.Time) {
	if now.Sub(r.recentSince) < recentTime {
		return
	}
	r.recentSince = now
	for _, c := range r.counters {
		c.previous, c.current = c.current, Counts{}
	}
}

// ownCells returns this instance's counts.
func (r *roll) ownCells() []Cell {
	cells := make([]Cell, 0, len(r.counters))
	for key, c := range r.counters {
		cell := Cell{cellKey: key, Total: c.total, Recent: c.previous}
		cell.Recent.Add(&c.current)
		cells = append(cells, cell)
	}
	return cells
}

// judge judges counts and stops the roll-out if they show that the new version is bad. share is the
// part of the false alarms that the judgment may have.
func (r *roll) judge(cells []Cell, share float64, whose string, now time.Time) {
	if r.phase >= Stopped {
		return
	}
	v := Judge(cells, share)
	if v.Bad || !r.verdict.Bad {
		r.verdict = v
	}
	if v.Bad {
		r.advance(Stopped, "the new version is worse than the old one by the answers of "+whose+"; it gets no more requests", now)
	}
}

// badAnswers returns the number of failures of the new version, without those of servers that are
// much worse than the others.
func badAnswers(cells []Cell, outliers []uint32) int {
	n := 0
	for i := range cells {
		if c := &cells[i]; c.target && !slices.Contains(outliers, c.server) {
			n += c.Total.Failed
		}
	}
	return n
}

// answers returns the number of answers of the new version.
func answers(cells []Cell) int {
	n := 0
	for i := range cells {
		if cells[i].target {
			n += cells[i].Total.Answers
		}
	}
	return n
}
