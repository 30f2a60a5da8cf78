package standin

import (
	"time"

	"kumquatyard/internal/contract"
)

const (
	// minReportInterval is the shortest time between two recorded load reports.
	minReportInterval = 20 * time.Millisecond
	// maxReportLag is the largest lag with which load reports can be read.
	maxReportLag = time.Minute
)

// step is the work of one iteration of continuous batching.
type step struct {
	decode []*stream
	// prefill maps streams to the number of tokens to prefill.
	prefill  map[*stream]int
	duration time.Duration
}

// runSteps runs steps until the engine closes.
func (e *Engine) runSteps() {
	// stepEnd is when the current step ends. The next step starts from it and
	// not from the clock, so that late timers do not slow the engine down.
	stepEnd := time.Now()
	for {
		next := e.planStep()
		if next.duration == 0 {
			select {
			case <-e.wake:
				stepEnd = time.Now()
				continue
			case <-e.done:
				return
			}
		}
		stepEnd = stepEnd.Add(next.duration)
		e.sleep(time.Until(stepEnd))
		if e.isClosed() {
			return
		}
		e.applyStep(next)
	}
}

// planStep fills the free slots and selects the work of the next step.
func (e *Engine) planStep() step {
	slow := e.Faults().slowFactor()
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.running) < e.options.Slots && e.admitLocked() {
	}
	next := step{prefill: make(map[*stream]int)}
	budget := e.options.PrefillChunk
	for _, s := range e.running {
		if s.state == streamDecode {
			next.decode = append(next.decode, s)
			continue
		}
		n := min(budget, s.promptLeft+s.continuedLeft)
		budget -= n
		next.prefill[s] = n
	}
	next.duration = e.stepDuration(len(next.decode), e.options.PrefillChunk-budget, len(e.running), slow)
	e.recordLoadLocked(next)
	return next
}

// stepDuration returns the duration of a step, or 0 if no stream is running.
func (e *Engine) stepDuration(decoding, prefill, running int, slow float64) time.Duration {
	if running == 0 {
		return 0
	}
	d := e.options.TokenTime + time.Duration(decoding)*e.options.TokenTimePerRequest
	d += time.Duration(prefill) * time.Second / time.Duration(e.options.PrefillTokensPerSecond)
	return max(time.Microsecond, time.Duration(float64(d)*slow*e.options.TimeScale))
}

// admitLocked moves the next queued stream, interactive before deferrable, into
// a slot. It reports false if the queues are empty.
func (e *Engine) admitLocked() bool {
	for _, priority := range []contract.Priority{contract.Interactive, contract.Deferrable} {
		queue := e.queues[priority]
		if len(queue) == 0 {
			continue
		}
		s := queue[0]
		e.queues[priority] = queue[1:]
		s.state = streamPrefill
		s.planPrefill(e.cache.match(s.chain()))
		e.counts.PromptTokensReused += uint64(s.promptTokens - s.promptLeft)
		e.running = append(e.running, s)
		return true
	}
	return false
}

// applyStep applies the results of a step, except to streams that ended during
// the step.
func (e *Engine) applyStep(finished step) {
	lost := make([]bool, len(finished.prefill)+len(finished.decode))
	for i := range lost {
		lost[i] = e.faults.occurs(e.Faults().DropEvents)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for s, n := range finished.prefill {
		e.prefillLocked(s, n, lost[0])
		lost = lost[1:]
	}
	for _, s := range finished.decode {
		e.decodeLocked(s, lost[0])
		lost = lost[1:]
	}
}

func (e *Engine) prefillLocked(s *stream, n int, lost bool) {
	if s.state != streamPrefill {
		return
	}
	prompt := min(n, s.promptLeft)
	s.promptLeft -= prompt
	s.continuedLeft -= n - prompt
	e.counts.PromptTokensComputed += uint64(prompt)
	e.counts.TokensRecomputed += uint64(n - prompt)
	if s.attempt > 1 || s.start > 0 {
		e.counts.PromptTokensRecomputed += uint64(prompt)
	}
	if s.promptLeft+s.continuedLeft == 0 {
		s.state = streamDecode
		e.cacheLocked(s, lost)
	}
}

func (e *Engine) decodeLocked(s *stream, lost bool) {
	if s.state != streamDecode {
		return
	}
	s.emitted++
	e.counts.TokensGenerated++
	if s.emitted == len(s.tokens) {
		e.cacheLocked(s, lost)
		e.endLocked(s, streamDone)
		return
	}
	s.notify()
}

// cacheLocked adds the blocks of a stream to the cache and logs the change as a
// cache event.
func (e *Engine) cacheLocked(s *stream, lost bool) {
	added, removed := e.cache.insert(s.chain())
	e.events.add(time.Now(), added, removed, lost)
}

// recordLoadLocked records the load, so that State can report it with a lag.
func (e *Engine) recordLoadLocked(next step) {
	e.tokensPerSecond = 0
	if next.duration > 0 {
		e.tokensPerSecond = int(float64(len(next.decode)) / next.duration.Seconds())
	}
	now := time.Now()
	if n := len(e.loadHistory.values); n > 0 && next.duration > 0 && now.Sub(e.loadHistory.values[n-1].at) < minReportInterval {
		return
	}
	e.loadHistory.add(now, e.loadLocked(), maxReportLag)
}

func (e *Engine) loadLocked() ServerState {
	load := ServerState{
		Running:         len(e.running),
		Queued:          e.queuedLocked(),
		Slots:           e.options.Slots,
		TokensPerSecond: e.tokensPerSecond,
	}
	for _, s := range e.running {
		load.QueuedTokens += s.remainingTokens()
	}
	for _, queue := range e.queues {
		for _, s := range queue {
			load.QueuedTokens += s.remainingTokens()
		}
	}
	return load
}
