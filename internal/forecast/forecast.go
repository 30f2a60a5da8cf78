// Package forecast predicts when an engine would send the first token of one more
// request. It counts the work that this instance sent, adds the work that other
// instances report, and learns the engines' speed from the answers. internal/serve
// chooses servers by these predictions.
package forecast

import (
	"sync"
	"time"

	"kumquatyard/internal/machine"
	"kumquatyard/internal/rollup"
)

// Prompt describes a request to a model engine for routing.
type Prompt struct {
	Model string
	// Parts are the parts of the prompt in order. Requests may share leading parts.
	Parts []Part
	// Tokens is the length of the prompt and MaxOutput bounds the output.
	Tokens    int
	MaxOutput int
	// OutputHint is the caller's estimate of the output, 0 without one.
	OutputHint int
}

// SharedTokens returns the number of leading tokens that the prompt may share with
// other requests: all but those of the last part.
func (p *Prompt) SharedTokens() int {
	tokens := 0
	for i := 0; i < len(p.Parts)-1; i++ {
		tokens += p.Parts[i].Tokens
	}
	return tokens
}

// SharedParts returns the ids of the parts that the prompt may share with other requests:
// all but the last one.
func (p *Prompt) SharedParts() []uint64 {
	ids := make([]uint64, 0, len(p.Parts))
	for i := 0; i < len(p.Parts)-1; i++ {
		ids = append(ids, p.Parts[i].ID)
	}
	return ids
}

// Part is one part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// ExpectedOutput returns the expected number of output tokens.
func (p *Prompt) ExpectedOutput() int {
	if p.OutputHint > 0 {
		return min(p.OutputHint, p.MaxOutput)
	}
	return p.MaxOutput
}

// staleAfter is the age after which the work of the other instances counts as unknown.
const staleAfter = 3 * time.Second

// Predictor tracks the work at the engines and predicts times to the first token. It
// is safe for concurrent use.
type Predictor struct {
	mu      sync.Mutex
	engines map[machine.ID]*engine
	speeds  map[string]*speed
	// others is the work of all other instances by the Key of the server, as of othersAt.
	others   map[uint32]rollup.Work
	othersAt time.Time
	// refreshedAt is when the means over the pools' servers were computed.
	refreshedAt time.Time
}

// engine is the state of one server.
type engine struct {
	local rollup.Work
	// pool is the pool of this instance's last request.
	pool string
	key  uint32
	// pendingTokens is the number of tokens of this instance's waiting prompts that
	// still needed prefill at pendingAt.
	pendingTokens int
	pendingAt     time.Time
	cache         partCache
	// reportedByOthers is the number of requests of other instances by the server's
	// last own report, read at reportedAt.
	reportedByOthers int
	reportedAt       time.Time
	serverSpeed
}

// NewPredictor returns a Predictor without any work.
func NewPredictor() *Predictor {
	return &Predictor{engines: make(map[machine.ID]*engine), speeds: make(map[string]*speed)}
}

// engine returns the state of a server and creates it on first use.
func (pred *Predictor) engine(id machine.ID) *engine {
	e := pred.engines[id]
	if e == nil {
		e = &engine{key: rollup.Key(string(id)), cache: newPartCache()}
		pred.engines[id] = e
	}
	return e
}

// Estimate is a prediction for one request at one server.
type Estimate struct {
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// Cached is the number of prompt tokens that the server has probably cached.
	Cached int
	// Work is the estimated work of all instances at the server.
	Work rollup.Work
	// TokensPerSecond is the prefill rate of the server; 0 without a prompt.
	TokensPerSecond float64
	// Slowdown is how much longer than usual in the pool the server's work takes; 0 is unknown.
	Slowdown float64
	// Uneven is set while the servers of the pool differ in speed, and OthersAge is the age of what
	// is known of the other instances' requests.
	Uneven    bool
	OthersAge time.Duration
	// Reports is set if servers of the pool report their slowdown. Queue is then the number of
	// requests that wait at this one by its recent reports, and ServiceTime the time to an answer
	// of a plain service's server of usual speed; 0 while unknown.
	Reports     bool
	Queue       float64
	ServiceTime time.Duration
}

// Ratio returns the Slowdown, 1 if it is unknown.
func (e Estimate) Ratio() float64 {
	if e.Slowdown <= 0 {
		return 1
	}
	return e.Slowdown
}

// PrefillTime returns the prefill time of a number of tokens; 0 when the rate is
// unknown.
func (e Estimate) PrefillTime(tokens int) time.Duration {
	if e.TokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.TokensPerSecond * float64(time.Second))
}

// Predict returns the estimate for one more request at a server of a pool. assumed is
// the number of leading tokens that the server has probably cached although this
// instance did not send them.
func (pred *Predictor) Predict(pool string, id machine.ID, p *Prompt, assumed int, now time.Time) Estimate {
	pred.mu.Lock()
	defer pred.mu.Unlock()
	e := pred.engine(id)
	e.pool = pool
	speed := pred.speed(pool)
	recent := pred.recentReports(e, now)
	slowdown := pred.slowdownBy(e, speed, recent, now)
	work := pred.work(e, now, speed.netDrainRate()/slowdown)
	cached := 0
	if p != nil {
		cached = max(e.cache.reusable(p), assumed)
	}
	est := Estimate{Cached: cached, Work: work, Slowdown: slowdown, Uneven: speed.reports || speed.uneven, OthersAge: now.Sub(pred.othersAt), Reports: speed.reports, ServiceTime: speed.serviceTime}
	if speed.reports {
		est.Queue = recent.current * recent.waiting
	}
	if p != nil {
		usual := speed.firstToken(work.WaitingTokens + max(p.Tokens-cached, 0))
		est.FirstToken = time.Duration(float64(usual)*slowdown) + speed.decayedLag(now)
		est.TokensPerSecond = speed.tokensPerSecond / slowdown
	}
	return est
}

// work returns the sum of all instances' work at the engine. The waiting tokens that
// were last reported shrink by rate tokens per second since then.
func (pred *Predictor) work(e *engine, now time.Time, rate float64) rollup.Work {
	others := pred.othersWork(e, now)
	w := e.local
	w.WaitingTokens = e.pendingTokens
	w.Add(others)
	total := w.WaitingTokens
	w.WaitingTokens = remainingAfter(now.Sub(e.pendingAt), e.pendingTokens, total, rate) +
		remainingAfter(now.Sub(pred.othersAt), others.WaitingTokens, total, rate)
	// The server's own report includes instances whose reports do not arrive here.
	if now.Sub(e.reportedAt) < maxReportAge {
		w.Active = max(w.Active, e.local.Active+e.reportedByOthers)
	}
	return w
}

// othersWork returns the other instances' work at the engine, none if it is not known.
func (pred *Predictor) othersWork(e *engine, now time.Time) rollup.Work {
	if now.Sub(pred.othersAt) > staleAfter {
		return rollup.Work{}
	}
	return pred.others[e.key]
}

// remainingAfter returns how many of an instance's tokens still wait after a time in
// which the engine's total shrinks by rate tokens per second, spread in proportion over
// the instances.
func remainingAfter(passed time.Duration, tokens, total int, rate float64) int {
	if tokens <= 0 {
		return 0
	}
	prefilled := rate * passed.Seconds() * float64(tokens) / float64(total)
	return max(tokens-int(prefilled), 0)
}

// setPending records the tokens of this instance's waiting prompts that still need
// prefill, limited to the waiting tokens in total.
func (e *engine) setPending(tokens int, now time.Time) {
	e.pendingTokens, e.pendingAt = min(tokens, e.local.WaitingTokens), now
}

// pendingNow returns the tokens of this instance's waiting prompts that still need
// prefill.
func (pred *Predictor) pendingNow(e *engine, now time.Time, rate float64) int {
	total := e.pendingTokens + pred.othersWork(e, now).WaitingTokens
	return remainingAfter(now.Sub(e.pendingAt), e.pendingTokens, total, rate)
}

// Job is a request of this instance at a server.
type Job struct {
	predictor      *Predictor
	id             machine.ID
	pool           string
	prompt         *Prompt
	startedAt      time.Time
	prefillTokens  int
	tokensAhead    int
	firstTokenSeen bool
	finished       bool
}

// Begin records a request that is being sent. cached is the number of prompt tokens
// that the server has probably cached.
func (pred *Predictor) Begin(pool string, id machine.ID, p *Prompt, cached int, now time.Time) *Job {
	pred.mu.Lock()
	defer pred.mu.Unlock()
	e := pred.engine(id)
	j := &Job{predictor: pred, id: id, pool: pool, prompt: p, startedAt: now}
	e.pool = pool
	rate := pred.drainRate(e, now)
	j.tokensAhead = pred.work(e, now, rate).WaitingTokens
	if p != nil {
		j.prefillTokens = max(p.Tokens-cached, 0)
		e.cache.add(p)
	}
	e.local.Add(rollup.Work{Active: 1, Waiting: 1, WaitingTokens: j.prefillTokens})
	e.setPending(pred.pendingNow(e, now, rate)+j.prefillTokens, now)
	return j
}

// FirstToken records that the answer started. Later calls have no effect.
func (j *Job) FirstToken(now time.Time) {
	pred := j.predictor
	pred.mu.Lock()
	defer pred.mu.Unlock()
	if j.firstTokenSeen || j.finished {
		return
	}
	j.firstTokenSeen = true
	j.change(rollup.Work{Waiting: -1, WaitingTokens: -j.prefillTokens}, now)
	e, speed, took := pred.engine(j.id), pred.speed(j.pool), now.Sub(j.startedAt)
	if j.prompt != nil {
		pred.learn(e, speed, j.tokensAhead, j.prefillTokens, took, now)
	} else {
		pred.learnService(e, speed, took, now)
	}
}

// change adds w to this instance's work at the job's engine.
func (j *Job) change(w rollup.Work, now time.Time) {
	e := j.predictor.engine(j.id)
	pending := j.predictor.pendingNow(e, now, j.predictor.drainRate(e, now))
	e.local.Add(w)
	e.setPending(pending, now)
}

// Done records the end of the request, with or without an answer. Later calls have no
// effect.
func (j *Job) Done(now time.Time) {
	pred := j.predictor
	pred.mu.Lock()
	defer pred.mu.Unlock()
	if j.finished {
		return
	}
	j.finished = true
	w := rollup.Work{Active: -1}
	if !j.firstTokenSeen {
		w.Waiting, w.WaitingTokens = -1, -j.prefillTokens
	}
	j.change(w, now)
}

// LocalWork returns this instance's work, and what it observed of the speeds, by the Key of the
// server, to report it to the other instances.
func (pred *Predictor) LocalWork(now time.Time) map[uint32]rollup.Work {
	pred.mu.Lock()
	defer pred.mu.Unlock()
	out := make(map[uint32]rollup.Work)
	for _, e := range pred.engines {
		w := e.local
		w.Speed, w.Reports = e.learned.decayed(now, speedMemory).speedSum(), e.reported.decayed(now, reportMemory).reportSum()
		if w != (rollup.Work{}) {
			w.WaitingTokens = pred.pendingNow(e, now, pred.drainRate(e, now))
			out[e.key] = w
		}
	}
	return out
}

// RecordOthers records the work of all other instances by the Key of the server, as of a
// time. It replaces what was recorded before.
func (pred *Predictor) RecordOthers(work map[uint32]rollup.Work, at time.Time) {
	pred.mu.Lock()
	defer pred.mu.Unlock()
	pred.others, pred.othersAt = work, at
}

// Retain drops the servers for which keep is false and that have no work of this
// instance.
func (pred *Predictor) Retain(keep func(machine.ID) bool) {
	pred.mu.Lock()
	defer pred.mu.Unlock()
	for id, e := range pred.engines {
		if e.local.Active == 0 && !keep(id) {
			delete(pred.engines, id)
		}
	}
}

// drainRate returns the rate at which the waiting work at a server shrinks, in tokens per second.
func (pred *Predictor) drainRate(e *engine, now time.Time) float64 {
	s := pred.speed(e.pool)
	return s.netDrainRate() / pred.slowdown(e, s, now)
}

// speed returns the learned speed of a pool and creates it on first use.
func (pred *Predictor) speed(pool string) *speed {
	s := pred.speeds[pool]
	if s == nil {
		s = newSpeed()
		pred.speeds[pool] = s
	}
	return s
}

// SetArrivalRate sets the prompt work that arrives at each server of a pool, in tokens
// per second. It slows down the decrease of waiting work, as new work replaces it.
func (pred *Predictor) SetArrivalRate(pool string, perSecond float64) {
	pred.mu.Lock()
	defer pred.mu.Unlock()
	pred.speed(pool).arrivalRate = perSecond
}

// Running returns the number of unfinished requests of all instances at the given
// servers.
func (pred *Predictor) Running(servers []machine.ID, now time.Time) int {
	pred.mu.Lock()
	defer pred.mu.Unlock()
	n := 0
	for _, id := range servers {
		if e := pred.engines[id]; e != nil {
			n += pred.work(e, now, 0).Active
		}
	}
	return n
}
