package evacuate

import (
	"cmp"
	"slices"
	"time"

	"kumquatyard/internal/machine"
)

// Plan returns an action for each request, in the order in which they are to
// be carried out. Exports go by the tokens that they save for each second of
// notice that they take; work with a person waiting goes first where that is
// equal. Started actions that still lead somewhere get none.
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
		p.resend(r)
	}
	return p.actions
}

// PlanInOrder plans the requests one at a time in the order given: the
// baseline that Plan is measured against.
func PlanInOrder(in Input) []Action {
	p := newPlanner(in)
	for _, r := range p.pending() {
		if !p.export(r) {
			p.resend(r)
		}
	}
	return p.actions
}

// pending plans the requests that finish in time and returns the others.
func (p *planner) pending() []*Request {
	kept := p.keepStarted()
	var pending []*Request
	for i := range p.in.Requests {
		r := &p.in.Requests[i]
		if _, ok := kept[r.ID]; ok {
			continue
		}
		if p.finishes(r) {
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

// source is a leaving server with the time at which its link is free.
type source struct {
	LeavingServer
	free time.Duration
}

// sink is a receiver with the room that is left and the time at which its link
// is free.
type sink struct {
	Receiver
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

// keepStarted takes over the started actions that still lead somewhere. Their
// links stay occupied until they end.
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

// finishes reports whether r ends within the notice.
func (p *planner) finishes(r *Request) bool {
	l := p.leaving[r.Server]
	if l == nil || l.TokensPerSecond <= 0 {
		return false
	}
	needed := seconds(float64(r.RemainingTokens) / l.TokensPerSecond)
	return needed <= l.Notice-p.in.Margin
}

// saved returns the tokens that an export of r saves over its best holder.
func (p *planner) saved(r *Request) int {
	best := 0
	for _, h := range r.Holders {
		if p.receivers[h.Server] != nil {
			best = max(best, h.Tokens)
		}
	}
	return r.atStake() - min(best, r.atStake())
}

// transfer returns the time that an export of r takes over a link.
func (p *planner) transfer(r *Request, bytesPerSecond float64) time.Duration {
	return seconds(float64(r.atStake()) * p.in.KVBytesPerToken / bytesPerSecond)
}

// sortByDensity orders requests by the tokens saved for each second of the
// leaving server's link.
func (p *planner) sortByDensity(requests []*Request) {
	density := make(map[uint64]float64, len(requests))
	for _, r := range requests {
		l := p.leaving[r.Server]
		if l == nil || l.BytesPerSecond <= 0 || r.atStake() == 0 {
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

// byUrgency orders by priority, deadline, tokens at stake and id.
func byUrgency(a, b *Request) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		compareDeadlines(a.Deadline, b.Deadline),
		cmp.Compare(b.atStake(), a.atStake()),
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

// export plans the export of r to the receiver where it ends first, and
// reports whether one is possible and worth it.
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
	best.take(r)
	p.emit(Action{
		Request: r.ID, Kind: Export, From: r.Server, To: best.ID,
		Start: bestStart, End: bestEnd, Tokens: r.room(),
	})
	return true
}

// resend sends r to the receiver with the longest cached prefix that has room,
// or to the one with the most room, or back to the queue.
func (p *planner) resend(r *Request) {
	if to, cached := p.bestHolder(r); to != nil {
		to.take(r)
		p.emit(Action{
			Request: r.ID, Kind: Resume, From: r.Server, To: to.ID,
			Tokens: r.room(), Recomputed: r.atStake() - cached,
		})
		return
	}
	action := Action{Request: r.ID, Kind: Requeue, From: r.Server, Recomputed: r.atStake()}
	if to := p.roomiest(r); to != nil {
		to.take(r)
		action.Kind, action.To, action.Tokens = Recompute, to.ID, r.room()
	}
	p.emit(action)
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
	return best, min(longest, r.atStake())
}

func (p *planner) roomiest(r *Request) *sink {
	var best *sink
	for _, to := range p.order {
		if to.fits(r) && (best == nil || to.Tokens > best.Tokens) {
			best = to
		}
	}
	return best
}

// room returns the KV cache room that r needs at a receiver.
func (r *Request) room() int { return r.atStake() + r.RemainingTokens }

func (s *sink) fits(r *Request) bool { return s.Requests > 0 && s.Tokens >= r.room() }

func (s *sink) take(r *Request) {
	s.Requests--
	s.Tokens -= r.room()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
