package standin

import (
	"time"

	"kumquatyard/internal/contract"
)

const (
	// reportInterval is the shortest time between two load reports kept.
	reportInterval = 20 * time.Millisecond
	// maxReportLag bounds the lag that reports can be shown with.
	maxReportLag = time.Minute
)

// step is what an engine does in one iteration of continuous batching.
type step struct {
	decode  []*stream
	prefill map[*stream]int
	// duration is the time that the step takes.
	duration time.Duration
}

// run iterates until the engine closes.
func (e *Engine) run() {
	// due is the end of the running step; steps follow it and not the clock,
	// so that late timers do not slow the engine down.
	due := time.Now()
	for {
		next := e.plan()
		if next.duration == 0 {
			select {
			case <-e.work:
				due = time.Now()
				continue
			case <-e.done:
				return
			}
		}
		due = due.Add(next.duration)
		e.sleep(time.Until(due))
		if e.isClosed() {
			return
		}
		e.apply(next)
	}
}

// plan fills the free slots and chooses the work of the next step.
func (e *Engine) plan() step {
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
	next.duration = e.duration(len(next.decode), e.options.PrefillChunk-budget, len(e.running), slow)
	e.reportLocked(next)
	return next
}

// duration returns the time of a step, 0 when there is nothing to do.
func (e *Engine) duration(decoding, prefill, running int, slow float64) time.Duration {
	if running == 0 {
		return 0
	}
	d := e.options.TokenTime + time.Duration(decoding)*e.options.TokenTimePerRequest
	d += time.Duration(prefill) * time.Second / time.Duration(e.options.PrefillTokensPerSecond)
	return max(time.Microsecond, time.Duration(float64(d)*slow*e.options.TimeScale))
}

// admitLocked moves the next waiting stream into a slot.
func (e *Engine) admitLocked() bool {
	for _, priority := range []contract.Priority{contract.Interactive, contract.Deferrable} {
		queue := e.queues[priority]
		if len(queue) == 0 {
			continue
		}
		s := queue[0]
		e.queues[priority] = queue[1:]
		s.state = streamPrefill
		s.plan(e.cache.match(s.chain()))
		e.counts.PromptTokensReused += uint64(s.promptTokens - s.promptLeft)
		e.running = append(e.running, s)
		return true
	}
	return false
}

// apply takes the results of a step over, but for streams that ended in it.
func (e *Engine) apply(done step) {
	lost := make([]bool, len(done.prefill)+len(done.decode))
	for i := range lost {
		lost[i] = e.faults.hit(e.Faults().DropEvents)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for s, n := range done.prefill {
		e.prefillLocked(s, n, lost[0])
		lost = lost[1:]
	}
	for _, s := range done.decode {
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

// cacheLocked keeps the blocks of a stream and publishes the change.
func (e *Engine) cacheLocked(s *stream, lost bool) {
	added, removed := e.cache.insert(s.chain())
	e.events.add(time.Now(), added, removed, lost)
}

// reportLocked keeps a load report for readers that see it with a lag.
func (e *Engine) reportLocked(next step) {
	e.rate = 0
	if next.duration > 0 {
		e.rate = int(float64(len(next.decode)) / next.duration.Seconds())
	}
	now := time.Now()
	if n := len(e.reports.values); n > 0 && next.duration > 0 && now.Sub(e.reports.values[n-1].at) < reportInterval {
		return
	}
	e.reports.add(now, e.loadLocked(), maxReportLag)
}

func (e *Engine) loadLocked() ServerState {
	load := ServerState{
		Running:         len(e.running),
		Queued:          e.queuedLocked(),
		Slots:           e.options.Slots,
		TokensPerSecond: e.rate,
	}
	for _, s := range e.running {
		load.QueuedTokens += s.work()
	}
	for _, queue := range e.queues {
		for _, s := range queue {
			load.QueuedTokens += s.work()
		}
	}
	return load
}
