// Package quarantine decides which parts of prompts are not sent to servers any more,
// because servers end when they begin to answer on them.
//
// A server that ends takes all requests with it that it was working on, so an end speaks
// against each part of their prompts that had not been answered; the last part of a prompt
// is its request's own and never counts. An answer on a part speaks for it again. The ends
// that a quarantined part explains do not count against others. What an instance sees it
// tells the others, so that all judge by the same evidence.
package quarantine

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

const (
	// lossRetention is how long a loss speaks against a part that is not quarantined.
	lossRetention = 15 * time.Second
	// quarantineTime is how long a part stays quarantined after its last loss.
	quarantineTime = 10 * time.Minute
	// judgeInterval is the least time between two judgments, which bounds their cost while
	// many requests are lost at once.
	judgeInterval = 10 * time.Millisecond
	// maxParts bounds the parts that are tracked.
	maxParts = 128
)

var quarantinedTotal = metrics.NewCounter("kumquat_parts_quarantined_total")

// Loss is the end of a server, not announced, before it had answered a request.
type Loss struct {
	// Server identifies the server's incarnation, and Request the request.
	Server, Request string
	// Parts are the shared parts of the request's prompt.
	Parts []uint64
	// Begun is set if the server had begun the answer.
	Begun bool
}

// Tracker keeps the evidence. It is safe for concurrent use; the questions that each
// request asks read an immutable view.
type Tracker struct {
	log *logrus.Entry

	mu      sync.Mutex
	parts   map[uint64]*evidence
	answers answers
	// changed is set while the judgment does not cover the latest evidence, and dueAt is
	// when it has to be renewed in any case.
	changed    bool
	judgedAt   time.Time
	dueAt      time.Time
	settleTime time.Duration
	view       atomic.Pointer[view]
}

// view is an immutable copy of the judgment.
type view struct {
	tracked   map[uint64]bool
	suspected map[uint64]bool
	// quarantined holds when each quarantine ends if no further server ends.
	quarantined map[uint64]time.Time
}

// New returns a Tracker that logs changes of its judgment.
func New(log *logrus.Entry) *Tracker {
	t := &Tracker{log: log, parts: make(map[uint64]*evidence), answers: newAnswers()}
	t.view.Store(&view{})
	return t
}

// SetSettleTime sets the time in which an answer at one instance becomes known at all
// others.
func (t *Tracker) SetSettleTime(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settleTime = d
}

// Quarantined reports whether one of the parts is quarantined, which one, and for how
// long.
func (t *Tracker) Quarantined(parts []uint64, now time.Time) (part uint64, left time.Duration, ok bool) {
	v := t.view.Load()
	if len(v.quarantined) == 0 {
		return 0, 0, false
	}
	for _, id := range parts {
		if until, found := v.quarantined[id]; found {
			return id, max(until.Sub(now), 0), true
		}
	}
	return 0, 0, false
}

// Suspected reports whether servers ended at several moments under one of the parts, so
// that a request with it should not be repeated at another server.
func (t *Tracker) Suspected(parts []uint64) bool {
	v := t.view.Load()
	for _, id := range parts {
		if _, quarantined := v.quarantined[id]; quarantined || v.suspected[id] {
			return true
		}
	}
	return false
}

// RecordLoss records the end of a server.
func (t *Tracker) RecordLoss(l Loss, now time.Time) {
	key := lossKey{hash(l.Server), hash(l.Request)}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range l.Parts {
		t.addLoss(id, key, loss{now, l.Begun}, now)
	}
	t.update(now)
}

// hash returns the hash by which messages identify an incarnation or a request.
func hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// addLoss adds a loss of a part, unless it is known.
func (t *Tracker) addLoss(id uint64, key lossKey, l loss, now time.Time) {
	e := t.track(id)
	known, ok := e.losses[key]
	if ok && (known.begun || !l.begun) {
		return
	}
	if l.at.After(e.lastLossAt) {
		e.lastLossAt = l.at
	}
	if ok {
		l.at = known.at
	} else if !e.makeRoom(l.at) {
		return
	}
	e.losses[key] = l
	e.changedAt, t.changed = now, true
}

// track returns the evidence on a part, and drops that on another one if there are too
// many.
func (t *Tracker) track(id uint64) *evidence {
	if e := t.parts[id]; e != nil {
		return e
	}
	if len(t.parts) >= maxParts {
		t.dropOldestPart()
	}
	e := &evidence{losses: make(map[lossKey]loss), answeredAt: t.answers.last(id)}
	t.parts[id] = e
	return e
}

// dropOldestPart drops the part that is not quarantined and whose last loss is the oldest.
func (t *Tracker) dropOldestPart() {
	var oldest uint64
	var at time.Time
	found := false
	for id, e := range t.parts {
		last := e.lastLossAt
		if !e.quarantined && (!found || last.Before(at)) {
			oldest, at, found = id, last, true
		}
	}
	if found {
		delete(t.parts, oldest)
	}
}

// RecordAnswer records that a server answered a request with the parts.
func (t *Tracker) RecordAnswer(parts []uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range parts {
		t.answers.add(id, now)
		t.addAnswer(id, now, now)
	}
	t.update(now)
}

// answerStep is by how much a later answer must exceed the known one to count as news.
const answerStep = 500 * time.Millisecond

// addAnswer records an answer on a part if it is news: it clears losses, or is much later
// than the known one.
func (t *Tracker) addAnswer(id uint64, at, now time.Time) {
	e := t.parts[id]
	if e == nil || !at.After(e.answeredAt) {
		return
	}
	clears := e.lastLossAt.After(e.answeredAt)
	if !clears && at.Sub(e.answeredAt) < answerStep {
		return
	}
	e.answeredAt, e.changedAt = at, now
	t.changed = t.changed || clears
}

// Expire drops old evidence. It is called several times a second.
func (t *Tracker) Expire(now time.Time) {
	if len(t.view.Load().tracked) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.parts {
		if e.quarantined && now.Sub(e.lastLossAt) < quarantineTime {
			continue
		}
		before := len(e.losses)
		maps.DeleteFunc(e.losses, func(_ lossKey, l loss) bool { return now.Sub(l.at) >= lossRetention })
		if len(e.losses) == 0 {
			delete(t.parts, id)
		}
		t.changed = t.changed || len(e.losses) < before
	}
	t.update(now)
}

// update judges the parts by the evidence, if that has changed, and publishes the judgment.
// It is called with mu held.
func (t *Tracker) update(now time.Time) {
	isDue := !t.dueAt.IsZero() && !now.Before(t.dueAt)
	if !t.changed && !isDue || now.Sub(t.judgedAt) < judgeInterval {
		return
	}
	j := evaluate(t.parts, t.settleTime, now)
	t.changed, t.judgedAt, t.dueAt = false, now, j.dueAt
	quarantined := j.quarantined
	v := &view{tracked: make(map[uint64]bool, len(t.parts)), suspected: j.suspected, quarantined: make(map[uint64]time.Time, len(quarantined))}
	for id, e := range t.parts {
		v.tracked[id] = true
		if quarantined[id] {
			v.quarantined[id] = e.lastLossAt.Add(quarantineTime)
		}
		if quarantined[id] != e.quarantined {
			e.quarantined, e.changedAt = quarantined[id], now
			t.logChange(id, e, now)
		}
	}
	t.logDropped(v.quarantined)
	t.view.Store(v)
}

// logChange logs that a part is quarantined or not any more.
func (t *Tracker) logChange(id uint64, e *evidence, now time.Time) {
	count := e.count(nil)
	entry := t.log.WithFields(logrus.Fields{
		"part": FormatPart(id), "moments": count.moments, "begun_moments": count.begunMoments, "requests": count.requests,
		"last_loss_age_ms": now.Sub(e.lastLossAt).Milliseconds(),
	})
	if e.quarantined {
		quarantinedTotal.Inc()
		entry.WithField("event", "part_quarantined").Warn("servers end when they begin to answer on a part of prompts; requests with it are refused")
		return
	}
	entry.WithField("event", "part_released").Info("the part of prompts is no longer held responsible for ended servers")
}

// logDropped logs the quarantines that ended because their evidence expired.
func (t *Tracker) logDropped(quarantined map[uint64]time.Time) {
	for id := range t.view.Load().quarantined {
		if _, ok := quarantined[id]; !ok && t.parts[id] == nil {
			t.log.WithFields(logrus.Fields{"event": "part_released", "part": FormatPart(id)}).Info("no server has ended under the part of prompts for long; requests with it are sent again")
		}
	}
}
