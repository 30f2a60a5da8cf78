// Package forecast predicts when an engine would send the first token of one
// more request. It counts the work that this instance sent, adds what other
// instances report of theirs, and learns the engines' speed from the answers.
package forecast

import (
	"sync"
	"time"

	"kumquatyard/internal/machine"
)

// Prompt is what routing knows of a request to a model engine.
type Prompt struct {
	Model string
	// Parts are the parts of the prompt in order. Requests share leading parts.
	Parts []Part
	// Tokens is the length of the prompt and MaxOutput bounds the output.
	Tokens    int
	MaxOutput int
	// OutputHint is the caller's estimate of the output, 0 without one.
	OutputHint int
}

// SharedTokens is the number of leading tokens that other requests have in common:
// all but the last part.
func (p *Prompt) SharedTokens() int {
	tokens := 0
	for i := 0; i < len(p.Parts)-1; i++ {
		tokens += p.Parts[i].Tokens
	}
	return tokens
}

// Part is one part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// ExpectedOutput is the expected number of output tokens.
func (p *Prompt) ExpectedOutput() int {
	if p.OutputHint > 0 {
		return min(p.OutputHint, p.MaxOutput)
	}
	return p.MaxOutput
}

// Work is what an instance has running at one server.
type Work struct {
	// Active counts all unfinished requests.
	Active int
	// Waiting counts those without a first token, and WaitingTokens their prompt
	// tokens that have to be read.
	Waiting       int
	WaitingTokens int
}

func (w *Work) add(o Work) {
	w.Active += o.Active
	w.Waiting += o.Waiting
	w.WaitingTokens += o.WaitingTokens
}

const (
	// staleWork is the age after which another instance's report is forgotten.
	staleWork = 3 * time.Second
)

// Predictor holds the work at the engines. It is safe for concurrent use.
type Predictor struct {
	mu      sync.Mutex
	engines map[machine.ID]*engine
	speeds  map[string]*speed
}

// engine is what is known of one server.
type engine struct {
	own Work
	// pool is that of the last own request.
	pool string
	// unread is what was left at unreadAt of the own waiting requests' prompts.
	unread   int
	unreadAt time.Time
	others   map[string]otherWork
	cache    partCache
	// reported is the number of requests that the server itself told of last,
	// those of other instances alone, at reportedAt.
	reported   int
	reportedAt time.Time
}

type otherWork struct {
	Work
	at time.Time
}

// NewPredictor returns an empty Board.
func NewPredictor() *Predictor {
	return &Predictor{engines: make(map[machine.ID]*engine), speeds: make(map[string]*speed)}
}

func (b *Predictor) engine(id machine.ID) *engine {
	e := b.engines[id]
	if e == nil {
		e = &engine{others: make(map[string]otherWork), cache: newPartCache()}
		b.engines[id] = e
	}
	return e
}

// Estimate is a prediction for one request at one server.
type Estimate struct {
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// Cached are the prompt tokens believed to be kept there.
	Cached int
	// Work is what the server is believed to be working on.
	Work Work
	// TokensPerSecond is the rate of prompt processing of the pool's servers, in tokens
	// a second; 0 without a prompt.
	TokensPerSecond float64
}

// PrefillTime is the time that a server takes to read tokens of a prompt.
func (e Estimate) PrefillTime(tokens int) time.Duration {
	if e.TokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.TokensPerSecond * float64(time.Second))
}

// Predict estimates one more request at a server of a pool. assumed are the
// leading tokens of the prompt that the server is likely to keep although
// nothing is known of them here.
func (b *Predictor) Predict(pool string, id machine.ID, p *Prompt, assumed int, now time.Time) Estimate {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engine(id)
	speed := b.speed(pool)
	work := e.work(now, speed.draining())
	cached := 0
	if p != nil {
		cached = max(e.cache.reusable(p), assumed)
	}
	est := Estimate{Cached: cached, Work: work}
	if p != nil {
		est.FirstToken = speed.firstToken(work.WaitingTokens+max(p.Tokens-cached, 0)) + speed.lagNow(now)
		est.TokensPerSecond = speed.perSecond
	}
	return est
}

// work sums what all instances have at the engine. What they were told to be
// waiting shrinks by rate tokens a second.
func (e *engine) work(now time.Time, rate float64) Work {
	w := e.own
	w.WaitingTokens = e.unread
	for from, o := range e.others {
		if now.Sub(o.at) > staleWork {
			delete(e.others, from)
			continue
		}
		w.add(o.Work)
	}
	total := w.WaitingTokens
	w.WaitingTokens = unreadAfter(now.Sub(e.unreadAt), e.unread, total, rate)
	for _, o := range e.others {
		w.WaitingTokens += unreadAfter(now.Sub(o.at), o.WaitingTokens, total, rate)
	}
	// A server's own word tells of those that are not heard.
	if now.Sub(e.reportedAt) < freshReport {
		w.Active = max(w.Active, e.own.Active+e.reported)
	}
	return w
}

// unreadAfter is what is left of tokens after a time in which what waits at an engine
// shrinks by rate tokens a second, in equal parts of all.
func unreadAfter(passed time.Duration, tokens, total int, rate float64) int {
	if tokens <= 0 {
		return 0
	}
	read := rate * passed.Seconds() * float64(tokens) / float64(total)
	return max(tokens-int(read), 0)
}

// setUnread records what is left of the own waiting requests' prompts, at most what
// they are in all.
func (e *engine) setUnread(tokens int, now time.Time) {
	e.unread, e.unreadAt = min(tokens, e.own.WaitingTokens), now
}

// ownUnread is what is left of the own waiting requests' prompts.
func (e *engine) ownUnread(now time.Time, rate float64) int {
	total := e.unread
	for _, o := range e.others {
		total += o.WaitingTokens
	}
	return unreadAfter(now.Sub(e.unreadAt), e.unread, total, rate)
}

// freshReport is the age up to which a server's own report counts.
const freshReport = 300 * time.Millisecond

// RecordServerReport records the number of requests that a server told of in an answer.
func (b *Predictor) RecordServerReport(id machine.ID, active int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engine(id)
	e.reported, e.reportedAt = max(active-e.own.Active, 0), now
}

// Job is a request at a server.
type Job struct {
	board    *Predictor
	id       machine.ID
	pool     string
	prompt   *Prompt
	begun    time.Time
	toRead   int
	ahead    int
	started  bool
	finished bool
}

// Begin counts a request that is being sent. cached are the prompt tokens that
// the server is expected to keep.
func (b *Predictor) Begin(pool string, id machine.ID, p *Prompt, cached int, now time.Time) *Job {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engine(id)
	j := &Job{board: b, id: id, pool: pool, prompt: p, begun: now}
	rate := b.speed(pool).draining()
	e.pool = pool
	j.ahead = e.work(now, rate).WaitingTokens
	if p != nil {
		j.toRead = max(p.Tokens-cached, 0)
		e.cache.add(p)
	}
	e.own.add(Work{Active: 1, Waiting: 1, WaitingTokens: j.toRead})
	e.setUnread(e.ownUnread(now, rate)+j.toRead, now)
	return j
}

// FirstToken records that the answer began.
func (j *Job) FirstToken(now time.Time) {
	b := j.board
	b.mu.Lock()
	defer b.mu.Unlock()
	if j.started || j.finished {
		return
	}
	j.started = true
	j.change(Work{Waiting: -1, WaitingTokens: -j.toRead}, now)
	if j.prompt != nil {
		speed, took := b.speed(j.pool), now.Sub(j.begun)
		speed.observeLag(took-speed.firstToken(j.ahead+j.toRead), now)
		speed.observe(j.ahead, j.toRead, took)
	}
}

// change adds to the own work at the job's engine.
func (j *Job) change(w Work, now time.Time) {
	e := j.board.engine(j.id)
	unread := e.ownUnread(now, j.board.speed(j.pool).draining())
	e.own.add(w)
	e.setUnread(unread, now)
}

// Done records the end of the request, with or without an answer.
func (j *Job) Done(now time.Time) {
	b := j.board
	b.mu.Lock()
	defer b.mu.Unlock()
	if j.finished {
		return
	}
	j.finished = true
	w := Work{Active: -1}
	if !j.started {
		w.Waiting, w.WaitingTokens = -1, -j.toRead
	}
	j.change(w, now)
}

// LocalWork returns this instance's work by server, for the other instances.
func (b *Predictor) LocalWork(now time.Time) map[machine.ID]Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[machine.ID]Work)
	for id, e := range b.engines {
		if e.own.Active > 0 {
			w := e.own
			w.WaitingTokens = e.ownUnread(now, b.speed(e.pool).draining())
			out[id] = w
		}
	}
	return out
}

// SetPeerWork records what another instance has running. Servers that it does
// not name have none of its work.
func (b *Predictor) SetPeerWork(from string, work map[machine.ID]Work, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, e := range b.engines {
		if _, ok := work[id]; !ok {
			delete(e.others, from)
		}
	}
	for id, w := range work {
		b.engine(id).others[from] = otherWork{Work: w, at: now}
	}
}

// Retain drops the servers that are not to be kept and have no work of this
// instance.
func (b *Predictor) Retain(keep func(machine.ID) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, e := range b.engines {
		if e.own.Active == 0 && !keep(id) {
			delete(b.engines, id)
		}
	}
}

func (b *Predictor) speed(pool string) *speed {
	s := b.speeds[pool]
	if s == nil {
		s = newSpeed()
		b.speeds[pool] = s
	}
	return s
}

// SetArrivalRate records the prompt work that comes to each server of a pool, in
// tokens a second: it takes the place of what is read.
func (b *Predictor) SetArrivalRate(pool string, perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.speed(pool).arriving = perSecond
}

// Rate returns the learned rate of prompt processing of one server of a pool,
// in tokens a second.
func (b *Predictor) Rate(pool string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.speed(pool).perSecond
}

// Running returns the number of unfinished requests at the named servers, of
// all instances.
func (b *Predictor) Running(servers []machine.ID, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, id := range servers {
		if e := b.engines[id]; e != nil {
			n += e.work(now, 0).Active
		}
	}
	return n
}
