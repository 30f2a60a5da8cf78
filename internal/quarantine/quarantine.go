// Package quarantine decides which requests are not sent to servers any more, because
// servers end under them: requests with a part of their prompt on which servers end when
// they begin to answer, and single requests that end their servers and come again.
//
// A server that ends takes all requests with it that it was working on, so an end speaks
// against each of them, and against each part of their prompts, unless they had been
// answered; the last part of a prompt is its request's own and never counts. An answer
// speaks for its request and parts again. Parts are judged first, by whether one or two
// requests would explain the ends as well; what a quarantined part explains does not count
// against requests. What an instance sees it tells the others, so that all judge by the same
// evidence.
package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"kumquatyard/internal/rollup"
)

const (
	// lossRetention is how long a loss speaks against a part or a request: ends may be minutes
	// apart. clearedRetention is how long one of a part is kept that an answer has cleared,
	// until all instances know of the answer.
	lossRetention    = 30 * time.Minute
	clearedRetention = 15 * time.Second
	// quarantineTime is how long a part or a request stays quarantined after its last loss.
	quarantineTime = 10 * time.Minute
	// judgeInterval is the least time between two judgments, which bounds their cost while
	// many requests are lost at once.
	judgeInterval = 10 * time.Millisecond
	// maxParts and maxRequests bound the parts and the requests that are tracked.
	maxParts    = 1024
	maxRequests = 1024
)

var (
	quarantinedTotal         = metrics.NewCounter("kumquat_parts_quarantined_total")
	quarantinedRequestsTotal = metrics.NewCounter("kumquat_requests_quarantined_total")
)

// Loss is the end of a server, not announced, before it had answered a request.
type Loss struct {
	// Server identifies the server's incarnation, and Request the caller's attempt.
	Server, Request string
	// Identity is the same for a request that comes again; 0 if it is not known.
	Identity uint64
	// SentAt is when the request was sent to the server.
	SentAt time.Time
	// Parts are the shared parts of the request's prompt.
	Parts []uint64
	// Begun is set if the server had begun the answer.
	Begun bool
}

// Tracker keeps the evidence. It is safe for concurrent use; the questions that each
// request asks read an immutable view.
type Tracker struct {
	log *logrus.Entry

	mu              sync.Mutex
	parts, requests *subjects
	answers         answers
	// inFlight holds the suspected requests that this instance has sent.
	inFlight map[uint64]bool
	// changed is set while the judgment does not cover the latest evidence, and dueAt is
	// when it has to be renewed in any case.
	changed    bool
	judgedAt   time.Time
	dueAt      time.Time
	settleTime time.Duration
	instances  int
	// judgeAfter has Judge called after a time; nil if nobody does. isDeferred is set from then
	// until the next judgment.
	judgeAfter func(after time.Duration)
	isDeferred bool
	view       atomic.Pointer[view]
}

// view is an immutable copy of the judgment.
type view struct {
	// isTracking and isTrackingRequests are set if there is evidence at all, or on requests.
	isTracking, isTrackingRequests bool
	parts, requests                verdicts
	// waiting and onTrial are those of the judgment of requests.
	waiting map[uint64]time.Time
	onTrial map[uint64]bool
	// ends are those under the suspected requests.
	ends map[uint64]requestEnds
}

// verdicts are those on parts or on requests.
type verdicts struct {
	suspected map[uint64]bool
	// quarantined holds when each quarantine ends if no further server ends.
	quarantined map[uint64]time.Time
}

// New returns a Tracker that logs changes of its judgment.
func New(log *logrus.Entry) *Tracker {
	t := &Tracker{
		log: log, parts: newSubjects(maxParts, lossRetention, clearedRetention), requests: newSubjects(maxRequests, lossRetention, lossRetention),
		answers: newAnswers(), inFlight: make(map[uint64]bool),
	}
	t.view.Store(&view{})
	return t
}

// SetInstances sets the number of instances, and the time in which an answer at one becomes
// known at all others.
func (t *Tracker) SetInstances(n int, settleTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances, t.settleTime = n, settleTime
}

// DeferJudgments sets what has Judge called after a time. Without it, evidence that comes shortly
// after a judgment is judged with the next evidence or by Expire. judgeAfter must not call Judge
// itself.
func (t *Tracker) DeferJudgments(judgeAfter func(after time.Duration)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judgeAfter = judgeAfter
}

// Quarantined reports whether one of the parts is quarantined, which one, and for how
// long.
func (t *Tracker) Quarantined(parts []uint64, now time.Time) (part uint64, left time.Duration, ok bool) {
	v := &t.view.Load().parts
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
	v := &t.view.Load().parts
	for _, id := range parts {
		if _, quarantined := v.quarantined[id]; quarantined || v.suspected[id] {
			return true
		}
	}
	return false
}

// RecordLoss records the end of a server.
func (t *Tracker) RecordLoss(l Loss, now time.Time) {
	server, attempt := rollup.Key(l.Server), rollup.Key(l.Request)
	request := attempt
	if l.Identity != 0 {
		request = uint32(l.Identity)
	}
	ended := loss{at: now, sentAt: l.SentAt, begun: l.Begun}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range l.Parts {
		t.addPartLoss(id, lossKey{server, request}, ended, now)
	}
	if l.Identity != 0 {
		t.addRequestLoss(l.Identity, lossKey{server, attempt}, ended, now)
		t.requests.evidence[l.Identity].isOwn = true
	}
	t.update(now)
}

func (t *Tracker) addPartLoss(id uint64, key lossKey, l loss, now time.Time) {
	e := t.parts.track(id, t.answers.last(id))
	t.changed = e.addLoss(key, l, now) || t.changed
}

func (t *Tracker) addRequestLoss(id uint64, key lossKey, l loss, now time.Time) {
	e := t.requests.track(id, time.Time{})
	if !e.addLoss(key, l, now) {
		return
	}
	t.changed = true
	if len(e.losses) >= suspectServers {
		t.judgedAt = time.Time{} // judge at once: the next copy may follow immediately
	}
}

// RecordAnswer records that a server answered a request with the parts.
func (t *Tracker) RecordAnswer(parts []uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range parts {
		t.addPartAnswer(id, now, now)
	}
	t.update(now)
}

func (t *Tracker) addPartAnswer(id uint64, at, now time.Time) {
	t.answers.add(id, at)
	t.addAnswer(t.parts, id, at, now)
}

func (t *Tracker) addRequestAnswer(id uint64, at, now time.Time) {
	t.addAnswer(t.requests, id, at, now)
}

// answerStep is by how much a later answer must exceed the known one to count as news.
const answerStep = 500 * time.Millisecond

// addAnswer records an answer on a subject if it is news: it clears losses, or is much later
// than the known one.
func (t *Tracker) addAnswer(s *subjects, id uint64, at, now time.Time) {
	e := s.evidence[id]
	if e == nil || !at.After(e.answeredAt) {
		return
	}
	clears := e.lastLossAt.After(e.answeredAt)
	if !clears && at.Sub(e.answeredAt) < answerStep {
		return
	}
	e.answeredAt = at
	e.recordChange(now)
	t.changed = t.changed || clears
}

// Expire drops old evidence. It is called several times a second.
func (t *Tracker) Expire(now time.Time) {
	if !t.view.Load().isTracking {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	partsExpired, requestsExpired := t.parts.expire(now), t.requests.expire(now)
	t.changed = t.changed || partsExpired || requestsExpired
	t.update(now)
}
