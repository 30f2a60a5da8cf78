package quarantine

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// judgment is what follows from the evidence on parts or on requests.
type judgment struct {
	quarantined, suspected map[uint64]bool
	// dueAt is when the evidence has to be judged again although nothing was added; zero if
	// it need not be.
	dueAt time.Time
}

// setDue sets when the evidence has to be judged again, at the latest.
func (j *judgment) setDue(at time.Time) {
	if j.dueAt.IsZero() || at.Before(j.dueAt) {
		j.dueAt = at
	}
}

// update judges by the evidence, if that has changed, and publishes the judgment. It is
// called with mu held.
func (t *Tracker) update(now time.Time) {
	isDue := !t.dueAt.IsZero() && !now.Before(t.dueAt)
	if !t.changed && !isDue {
		return
	}
	if since := now.Sub(t.judgedAt); since < judgeInterval {
		t.deferJudgment(judgeInterval - since)
		return
	}
	t.isDeferred = false
	requests := evaluateRequests(t.requests.evidence, nil, t.settleTime, now)
	parts := evaluateParts(t.parts.evidence, requests.conclusive, t.settleTime, now)
	if len(parts.quarantined) > 0 {
		requests = evaluateRequests(t.requests.evidence, parts.explained, t.settleTime, now)
	}
	if !requests.dueAt.IsZero() {
		parts.setDue(requests.dueAt)
	}
	t.changed, t.judgedAt, t.dueAt = false, now, parts.dueAt
	t.logParts(parts, now)
	before := t.view.Load()
	v := &view{
		isTracking:         len(t.parts.evidence)+len(t.requests.evidence) > 0,
		isTrackingRequests: len(t.requests.evidence) > 0,
		parts:              t.apply(partKind, t.parts, parts.judgment, &before.parts, now),
		requests:           t.apply(requestKind, t.requests, requests.judgment, &before.requests, now),
		waiting:            requests.waiting,
		onTrial:            requests.onTrial,
		ends:               requests.ends,
	}
	t.view.Store(v)
}

// deferJudgment has Judge called after a time, unless it will be.
func (t *Tracker) deferJudgment(after time.Duration) {
	if t.isDeferred || t.judgeAfter == nil {
		return
	}
	t.isDeferred = true
	t.judgeAfter(after)
}

// Judge judges the evidence that came too shortly after the last judgment.
func (t *Tracker) Judge(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isDeferred = false
	t.update(now)
}

// kind is what a judgment is about, for the log.
type kind struct {
	// key is the log's key of a subject.
	key                   string
	quarantined, released string
	total                 *metrics.Counter
}

var (
	partKind = kind{
		"part", "servers end when they begin to answer on a part of prompts; requests with it are refused",
		"the part of prompts is no longer held responsible for ended servers; requests with it are sent again", quarantinedTotal,
	}
	requestKind = kind{
		"identity", "servers end when they run a request that comes again; it is refused",
		"the request is no longer held responsible for ended servers; it is sent again", quarantinedRequestsTotal,
	}
)

// apply applies a judgment to the evidence, logs what has changed, and returns the verdicts.
func (t *Tracker) apply(k kind, s *subjects, j judgment, before *verdicts, now time.Time) verdicts {
	v := verdicts{suspected: j.suspected, quarantined: make(map[uint64]time.Time, len(j.quarantined))}
	for id, e := range s.evidence {
		if j.quarantined[id] {
			v.quarantined[id] = e.lastLossAt.Add(quarantineTime)
		}
		if j.quarantined[id] != e.quarantined {
			e.quarantined = j.quarantined[id]
			e.recordChange(now)
		}
	}
	for id := range v.quarantined {
		if _, known := before.quarantined[id]; !known {
			k.total.Inc()
			t.logQuarantine(k, id, s.evidence[id], now)
		}
	}
	for id := range before.quarantined {
		if _, still := v.quarantined[id]; !still {
			t.log.WithFields(logrus.Fields{"event": k.key + "_released", k.key: FormatID(id)}).Info(k.released)
		}
	}
	return v
}

// logQuarantine logs that a part or a request is quarantined.
func (t *Tracker) logQuarantine(k kind, id uint64, e *evidence, now time.Time) {
	count := e.count(nil, nil)
	t.log.WithFields(logrus.Fields{
		"event": k.key + "_quarantined", k.key: FormatID(id), "moments": count.moments, "begun_moments": count.begunMoments, "requests": count.requests,
		"servers": e.tallyRequest(nil).servers, "last_loss_age_ms": now.Sub(e.lastLossAt).Milliseconds(),
	}).Warn(k.quarantined)
}
