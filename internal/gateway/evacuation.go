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
	// evacuationMargin is kept free at the end of a notice.
	evacuationMargin = 250 * time.Millisecond
	// evacuationNone is the baseline that moves nothing.
	evacuationNone = "none"
	// receiverTokens is the KV cache room assumed for one free slot.
	receiverTokens = 32 << 10
)

// move tells a run to go on at another engine; an empty one leaves the choice
// to the routing view.
type move struct {
	to     machine.ID
	export bool
}

// evacuation remembers what was planned for the runs on leaving servers.
type evacuation struct {
	mu      sync.Mutex
	nextID  uint64
	planned map[*run]evacuate.Action
}

// leavingServers returns the servers with a reclaim notice, by id.
func leavingServers(p *picture) map[machine.ID]machine.State {
	out := make(map[machine.ID]machine.State)
	for id, s := range p.states {
		if s.Lifecycle == machine.Leaving && !s.ReclaimAt.IsZero() {
			out[id] = s
		}
	}
	return out
}

// evacuate plans the runs on leaving servers as one wave and starts the moves.
// A later wave plans only what is not under way already.
func (g *Gateway) evacuate(p *picture) {
	leaving := leavingServers(p)
	if len(leaving) == 0 || p.cfg.Routing.Evacuation == evacuationNone {
		return
	}
	g.evacuation.mu.Lock()
	defer g.evacuation.mu.Unlock()
	in, runs := g.wave(p, leaving, time.Now())
	if len(in.Requests) == 0 {
		return
	}
	kinds := logrus.Fields{}
	for _, action := range evacuate.Plan(in) {
		if r, ok := runs[action.Request]; ok {
			g.evacuation.planned[r] = action
			g.start(r, action)
			count, _ := kinds[action.Kind.String()].(int)
			kinds[action.Kind.String()] = count + 1
		}
	}
	g.log.WithFields(kinds).WithField("leaving", len(leaving)).Info("evacuation planned")
}

// wave collects the input of a plan, and the runs by the ids used in it.
func (g *Gateway) wave(p *picture, leaving map[machine.ID]machine.State, now time.Time) (evacuate.Input, map[uint64]*run) {
	in := evacuate.Input{KVBytesPerToken: kvBytesPerToken, Margin: evacuationMargin}
	runs := make(map[uint64]*run)
	receivers := receiversOf(p)
	active := make(map[*run]bool)
	g.runs.each(func(r *run) {
		at := r.position.Load()
		if at == nil {
			return
		}
		if _, ok := leaving[at.server]; !ok {
			return
		}
		active[r] = true
		if action, ok := g.evacuation.planned[r]; ok && action.From == at.server && !isLeaving(leaving, action.To) {
			in.Started = append(in.Started, action)
			return
		}
		g.evacuation.nextID++
		runs[g.evacuation.nextID] = r
		in.Requests = append(in.Requests, evacuationRequest(g.evacuation.nextID, r, at, receivers))
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
		in.Receivers = append(in.Receivers, receiver(p, s))
	}
	return in, runs
}

func isLeaving(leaving map[machine.ID]machine.State, id machine.ID) bool {
	_, ok := leaving[id]
	return ok
}

// receiversOf returns the engines that may take over requests.
func receiversOf(p *picture) []*route.Server {
	var out []*route.Server
	for id, s := range p.cfg.Servers {
		if s.Kind != machine.Engine || p.state(id).Lifecycle != machine.Serving {
			continue
		}
		if found := p.server(id); found != nil && !found.Ejected {
			out = append(out, found)
		}
	}
	return out
}

// receiver returns the room of a server, shared evenly with the other gateways.
func receiver(p *picture, s *route.Server) evacuate.Receiver {
	load := s.State.Load
	free := max(0, load.Slots-load.Running-load.Queued) / max(1, p.gateways)
	return evacuate.Receiver{
		ID: s.ID, Requests: max(1, free), Tokens: max(1, free) * receiverTokens, ImportsKV: true, BytesPerSecond: exportBytesPerSecond,
	}
}

func evacuationRequest(id uint64, r *run, at *runPosition, receivers []*route.Server) evacuate.Request {
	req := evacuate.Request{
		ID: id, Server: at.server, PromptTokens: r.req.promptTokens, GeneratedTokens: int(at.generated.Load()),
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

// cachedTokens returns the tokens of the prefix that a server is believed to cache.
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

// start carries an action out at its time.
func (g *Gateway) start(r *run, action evacuate.Action) {
	g.journal.note(r.req.id, "%s is leaving: %s, to %s", action.From, action.Kind, action.To)
	if action.Kind == evacuate.Finish {
		return
	}
	m := move{to: action.To, export: action.Kind == evacuate.Export}
	time.AfterFunc(action.Start, func() {
		select {
		case r.moves <- m:
		default:
		}
	})
}
