package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/evacuate"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/prefix"
	"kumquatyard/internal/route"
)

const (
	// kvBytesPerToken is the size of one token's KV cache of a model of about
	// 8 billion parameters with grouped-query attention in 16 bits.
	kvBytesPerToken = 128 << 10
	// exportBytesPerSecond is the bandwidth assumed between two engines.
	exportBytesPerSecond = 1 << 30
	// evacuationMargin is the time left unused before the end of a reclaim
	// notice.
	evacuationMargin = 250 * time.Millisecond
	// evacuationNone is the setting that turns evacuation off, as a baseline
	// for comparisons.
	evacuationNone = "none"
	// receiverTokens is the KV cache capacity, in tokens, assumed for one free
	// slot of a receiver.
	receiverTokens = 32 << 10
)

// move instructs a run to continue at another engine. If to is empty, the
// routing view selects the engine.
type move struct {
	to     machine.ID
	export bool
}

// evacuation holds the action planned for each run on a leaving server.
type evacuation struct {
	mu      sync.Mutex
	nextID  uint64
	planned map[*run]evacuate.Action
}

// isCurrent reports whether an action is the latest one planned for a run.
func (e *evacuation) isCurrent(r *run, action evacuate.Action) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.planned[r] == action
}

// leavingServers returns the servers with a reclaim notice, by id.
func leavingServers(snap *snapshot) map[machine.ID]machine.State {
	out := make(map[machine.ID]machine.State)
	for id, s := range snap.states {
		if s.Lifecycle == machine.Leaving && !s.ReclaimAt.IsZero() {
			out[id] = s
		}
	}
	return out
}

// evacuate makes one plan for all runs on leaving servers and schedules its
// moves. Later calls plan only the runs that have no planned action yet, those whose
// planned receiver is now leaving, too, and those for which there was no receiver.
func (g *Gateway) evacuate(snap *snapshot) {
	leaving := leavingServers(snap)
	if len(leaving) == 0 || snap.cfg.Routing.Evacuation == evacuationNone {
		return
	}
	g.evacuation.mu.Lock()
	defer g.evacuation.mu.Unlock()
	in, runs := g.evacuationInput(snap, leaving, time.Now())
	if len(in.Requests) == 0 {
		return
	}
	kinds := logrus.Fields{}
	for _, action := range evacuate.Plan(in) {
		if r, ok := runs[action.Request]; ok {
			g.evacuation.planned[r] = action
			g.schedule(r, action)
			count, _ := kinds[action.Kind.String()].(int)
			kinds[action.Kind.String()] = count + 1
		}
	}
	g.log.WithFields(kinds).WithField("leaving", len(leaving)).Info("servers are leaving; planned the evacuation of requests that run on them")
}

// evacuationInput returns the input of an evacuation plan, and the runs by the
// request ids used in it. It also forgets the planned actions of runs that are
// no longer on a leaving server. The evacuation mutex is held.
func (g *Gateway) evacuationInput(snap *snapshot, leaving map[machine.ID]machine.State, now time.Time) (evacuate.Input, map[uint64]*run) {
	in := evacuate.Input{KVBytesPerToken: kvBytesPerToken, Margin: evacuationMargin}
	runs := make(map[uint64]*run)
	receivers := receiversOf(snap)
	active := make(map[*run]bool)
	g.runs.each(func(r *run) {
		pos := r.position.Load()
		if pos == nil {
			return
		}
		if _, ok := leaving[pos.server]; !ok {
			return
		}
		active[r] = true
		if action, ok := g.evacuation.planned[r]; ok && action.From == pos.server && action.Kind != evacuate.Requeue && !isLeaving(leaving, action.To) {
			in.Started = append(in.Started, action)
			return
		}
		g.evacuation.nextID++
		runs[g.evacuation.nextID] = r
		in.Requests = append(in.Requests, evacuationRequest(g.evacuation.nextID, r, pos, receivers))
	})
	for r := range g.evacuation.planned {
		if !active[r] {
			delete(g.evacuation.planned, r)
		}
	}
	for id, s := range leaving {
		in.Leaving = append(in.Leaving, evacuate.LeavingServer{
			ID: id, Notice: s.ReclaimAt.Sub(now), BytesPerSecond: exportBytesPerSecond,
			TokensPerSecond: float64(s.Load.TokensPerSecond) / float64(max(1, s.Load.Running)),
		})
	}
	for _, s := range receivers {
		in.Receivers = append(in.Receivers, receiver(snap, s))
	}
	return in, runs
}

func isLeaving(leaving map[machine.ID]machine.State, id machine.ID) bool {
	_, ok := leaving[id]
	return ok
}

// receiversOf returns the serving, non-ejected engines, which may take over
// requests.
func receiversOf(snap *snapshot) []*route.Server {
	var out []*route.Server
	for id, s := range snap.cfg.Servers {
		if s.Kind != machine.Engine || snap.state(id).Lifecycle != machine.Serving {
			continue
		}
		if found := snap.server(id); found != nil && !found.Ejected {
			out = append(out, found)
		}
	}
	return out
}

// receiver returns this gateway's share of a server's free capacity, which all
// gateways share evenly.
func receiver(snap *snapshot, s *route.Server) evacuate.Receiver {
	free := freeSlots(s) / max(1, snap.gateways)
	return evacuate.Receiver{
		ID: s.ID, Requests: max(1, free), Tokens: max(1, free) * receiverTokens, ImportsKV: true, BytesPerSecond: exportBytesPerSecond,
	}
}

// freeSlots returns the number of slots that a server last reported as free.
func freeSlots(s *route.Server) int {
	load := s.State.Load
	return max(0, load.Slots-load.Running-load.Queued)
}

func evacuationRequest(id uint64, r *run, pos *runPosition, receivers []*route.Server) evacuate.Request {
	req := evacuate.Request{
		ID: id, Server: pos.server, PromptTokens: r.req.promptTokens, GeneratedTokens: int(pos.generated.Load()),
		Deadline: r.req.deadline, Priority: r.req.contract.Priority,
	}
	req.RemainingTokens = max(0, r.req.maxTokens-req.GeneratedTokens)
	for _, s := range receivers {
		if tokens := cachedTokens(s, r.req.prefix); tokens > 0 {
			req.Holders = append(req.Holders, evacuate.PrefixHolder{Server: s.ID, Tokens: tokens})
		}
	}
	return req
}

// cachedTokens returns the number of prefix tokens that the server's cache is
// expected to hold.
func cachedTokens(s *route.Server, hashes []uint64) int {
	if s.PrefixCache == nil {
		return 0
	}
	n := 0
	for n < len(hashes) && s.PrefixCache.Known(hashes[n]) {
		n++
	}
	return n * prefix.BlockTokens
}

// schedule sends the move of an action to the run at the action's start time, unless
// a later plan has replaced the action by then.
func (g *Gateway) schedule(r *run, action evacuate.Action) {
	g.journal.record(r.req.id, "%s is leaving: %s, to %s", action.From, action.Kind, action.To)
	if action.Kind == evacuate.Finish {
		return
	}
	m := move{to: action.To, export: action.Kind == evacuate.Export}
	time.AfterFunc(action.Start, func() {
		if !g.evacuation.isCurrent(r, action) {
			return
		}
		select {
		case r.moves <- m:
		default:
		}
	})
}
