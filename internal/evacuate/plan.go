package evacuate

import (
	"cmp"
	"slices"
	"time"

	"kumquatyard/internal/machine"
)

// Plan returns one action for each request, in the order of execution. Exports
// are ordered by the tokens they save relative to the share of the notice that
// they take, ties by urgency: interactive requests first. Requests whose
// started action is still valid get no new action.
func Plan(in Input) []Action {
	p := newPlanner(in)
	pending := p.pending()
	p.sortByDensity(pending)
	var rest []*Request
	for _, r := range pending {
		if !p.export(r) {
			rest = append(rest, r)
		}
	}
	slices.SortStableFunc(rest, byUrgency)
	for _, r := range rest {
		p.relocate(r)
	}
	return p.actions
}

// PlanInOrder plans the requests one at a time in the given order. It is the
// baseline with which Plan is compared.
func PlanInOrder(in Input) []Action {
	p := newPlanner(in)
	for _, r := range p.pending() {
		if !p.export(r) {
			p.relocate(r)
		}
	}
	return p.actions
}

// pending emits the actions of the requests that finish in time and returns the
// other requests, without those whose started action is still valid.
func (p *planner) pending() []*Request {
	kept := p.keepStarted()
	var pending []*Request
	for i := range p.in.Requests {
		r := &p.in.Requests[i]
		if _, ok := kept[r.ID]; ok {
			continue
		}
		if p.finishesInTime(r) {
			p.emit(Action{Request: r.ID, Kind: Finish, From: r.Server})
			continue
		}
		pending = append(pending, r)
	}
	return pending
}

// planner is the state of one planning run.
type planner struct {
	in        Input
	leaving   map[machine.ID]*source
	receivers map[machine.ID]*sink
	order     []*sink
	actions   []Action
}

// source is a leaving server during planning.
type source struct {
	LeavingServer
	// free is when the server's link becomes free.
	free time.Duration
}

// sink is a receiver during planning. Its capacity shrinks with each action.
type sink struct {
	Receiver
	// free is when the receiver's link becomes free.
	free time.Duration
}

func newPlanner(in Input) *planner {
	p := &planner{
		in:        in,
		leaving:   make(map[machine.ID]*source, len(in.Leaving)),
		receivers: make(map[machine.ID]*sink, len(in.Receivers)),
	}
	for _, l := range in.Leaving {
		p.leaving[l.ID] = &source{LeavingServer: l}
	}
	for _, r := range in.Receivers {
		if p.leaving[r.ID] != nil {
			continue
		}
		s := &sink{Receiver: r}
		p.receivers[r.ID] = s
		p.order = append(p.order, s)
	}
	return p
}

// keepStarted returns the ids of requests whose started action is still valid,
// that is whose receiver is not leaving. Links are marked as busy until the
// started exports end.
func (p *planner) keepStarted() map[uint64]struct{} {
	kept := make(map[uint64]struct{})
	for _, a := range p.in.Started {
		to := p.receivers[a.To]
		if to == nil {
			continue
		}
		kept[a.Request] = struct{}{}
		if a.Kind != Export {
			continue
		}
		to.free = max(to.free, a.End)
		if from := p.leaving[a.From]; from != nil {
			from.free = max(from.free, a.End)
		}
	}
	return kept
}

func (p *planner) emit(a Action) { p.actions = append(p.actions, a) }

// finishesInTime reports whether r ends on its own server within the notice.
func (p *planner) finishesInTime(r *Request) bool {
	l := p.leaving[r.Server]
	if l == nil || l.TokensPerSecond <= 0 {
		return false
	}
	needed := seconds(float64(r.RemainingTokens) / l.TokensPerSecond)
	return needed <= l.Notice-p.in.Margin
}

// saved returns the number of tokens that need not be recomputed if r is
// exported instead of resumed at the holder of its longest prefix.
func (p *planner) saved(r *Request) int {
	best := 0
	for _, h := range r.Holders {
		if p.receivers[h.Server] != nil {
			best = max(best, h.Tokens)
		}
	}
	return r.computedTokens() - min(best, r.computedTokens())
}

// transfer returns the duration of an export of r at the given bandwidth.
func (p *planner) transfer(r *Request, bytesPerSecond float64) time.Duration {
	return seconds(float64(r.computedTokens()) * p.in.KVBytesPerToken / bytesPerSecond)
}

// sortByDensity sorts requests by the tokens that an export saves, divided by
// the fraction of the leaving server's notice that the export takes.
func (p *planner) sortByDensity(requests []*Request) {
	density := make(map[uint64]float64, len(requests))
	for _, r := range requests {
		l := p.leaving[r.Server]
		if l == nil || l.BytesPerSecond <= 0 || r.computedTokens() == 0 {
			continue
		}
		budget := max(l.Notice-p.in.Margin, time.Millisecond)
		share := p.transfer(r, l.BytesPerSecond).Seconds() / budget.Seconds()
		density[r.ID] = float64(p.saved(r)) / max(share, 1e-9)
	}
	slices.SortStableFunc(requests, func(a, b *Request) int {
		return cmp.Or(
			cmp.Compare(density[b.ID], density[a.ID]),
			byUrgency(a, b),
		)
	})
}

// byUrgency compares requests by priority, deadline, tokens to be recomputed
// (most first) and id.
func byUrgency(a, b *Request) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		compareDeadlines(a.Deadline, b.Deadline),
		cmp.Compare(b.computedTokens(), a.computedTokens()),
		cmp.Compare(a.ID, b.ID),
	)
}

func compareDeadlines(a, b time.Time) int {
	switch {
	case a.IsZero() && b.IsZero():
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	default:
		return a.Compare(b)
	}
}

// export emits the export of r to the receiver where it ends first. It reports
// false if an export is not possible or saves no tokens.
func (p *planner) export(r *Request) bool {
	from := p.leaving[r.Server]
	if from == nil || from.BytesPerSecond <= 0 || p.saved(r) == 0 {
		return false
	}
	var best *sink
	var bestStart, bestEnd time.Duration
	for _, to := range p.order {
		if !to.ImportsKV || to.BytesPerSecond <= 0 || !to.fits(r) {
			continue
		}
		start := max(from.free, to.free)
		end := start + p.transfer(r, min(from.BytesPerSecond, to.BytesPerSecond))
		if end > from.Notice-p.in.Margin {
			continue
		}
		if best == nil || end < bestEnd || (end == bestEnd && to.Tokens > best.Tokens) {
			best, bestStart, bestEnd = to, start, end
		}
	}
	if best == nil {
		return false
	}
	from.free, best.free = bestEnd, bestEnd
	best.reserve(r)
	p.emit(Action{
		Request: r.ID, Kind: Export, From: r.Server, To: best.ID,
		Start: bestStart, End: bestEnd, Tokens: r.tokensNeeded(),
	})
	return true
}

// relocate emits the action of a request that is not exported: it resumes at the
// receiver with the longest cached prefix that has the capacity, else it is
// recomputed at the one with the most free tokens, else it stays until the end of the
// notice and is then requeued, since a later plan may find a receiver.
func (p *planner) relocate(r *Request) {
	if to, cached := p.bestHolder(r); to != nil {
		to.reserve(r)
		p.emit(Action{
			Request: r.ID, Kind: Resume, From: r.Server, To: to.ID,
			Tokens: r.tokensNeeded(), Recomputed: r.computedTokens() - cached,
		})
		return
	}
	action := Action{Request: r.ID, Kind: Requeue, From: r.Server, Start: p.lastMoment(r.Server), Recomputed: r.computedTokens()}
	if to := p.largestReceiver(r); to != nil {
		to.reserve(r)
		action.Kind, action.Start, action.To, action.Tokens = Recompute, 0, to.ID, r.tokensNeeded()
	}
	p.emit(action)
}

// lastMoment returns the time until the margin of a leaving server's notice begins.
func (p *planner) lastMoment(id machine.ID) time.Duration {
	l := p.leaving[id]
	if l == nil {
		return 0
	}
	return max(l.Notice-p.in.Margin, 0)
}

func (p *planner) bestHolder(r *Request) (*sink, int) {
	var best *sink
	longest := 0
	for _, h := range r.Holders {
		to := p.receivers[h.Server]
		if to != nil && to.fits(r) && h.Tokens > longest {
			best, longest = to, h.Tokens
		}
	}
	return best, min(longest, r.computedTokens())
}

func (p *planner) largestReceiver(r *Request) *sink {
	var best *sink
	for _, to := range p.order {
		if to.fits(r) && (best == nil || to.Tokens > best.Tokens) {
			best = to
		}
	}
	return best
}

// tokensNeeded returns the KV cache capacity that r needs at a receiver.
func (r *Request) tokensNeeded() int { return r.computedTokens() + r.RemainingTokens }

func (s *sink) fits(r *Request) bool { return s.Requests > 0 && s.Tokens >= r.tokensNeeded() }

func (s *sink) reserve(r *Request) {
	s.Requests--
	s.Tokens -= r.tokensNeeded()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
