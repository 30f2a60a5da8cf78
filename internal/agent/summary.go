package agent

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"kumquatyard/internal/machine"
	"kumquatyard/internal/member"
	pb "kumquatyard/proto/kumquat/v1"
)

// summaryAttempts is the maximum number of members of another zone that a summary
// is sent to until one accepts it.
const summaryAttempts = 2

// sendSummaries sends the summary of the agent's zone to the zones out of scope
// for which this agent is the sender.
func (a *Agent) sendSummaries(ctx context.Context, _ bool) {
	cfg := a.config.Config()
	now := time.Now()
	a.mu.Lock()
	summary := a.summarize(now)
	live := a.table.Live(a.settings.Zone, now)
	var zones []string
	for _, z := range cfg.Zones.Zones() {
		mine := member.SummarySender(a.settings.Zone, z.Name, live) == a.settings.ID
		if mine && !a.table.InScope(z.Name) {
			zones = append(zones, z.Name)
		}
	}
	a.mu.Unlock()
	for _, zone := range zones {
		a.sendSummary(ctx, zone, summary)
	}
}

func (a *Agent) sendSummary(ctx context.Context, zone string, summary *pb.ZoneSummary) {
	for attempt := range summaryAttempts {
		a.mu.Lock()
		to, ok := a.table.SummaryReceiver(a.settings.Zone, zone, attempt, time.Now())
		a.mu.Unlock()
		if !ok {
			return
		}
		_, err := a.call(ctx, to.Address, &pb.Request{Body: &pb.Request_ZoneSummary{ZoneSummary: summary}})
		if err == nil {
			return
		}
	}
}

// summarize returns the server counts, load and models of the agent's own zone.
// The mutex is held.
func (a *Agent) summarize(now time.Time) *pb.ZoneSummary {
	out := &pb.ZoneSummary{Zone: a.settings.Zone, Version: uint64(now.UnixMilli()), From: a.settings.ID}
	for _, s := range a.store.States() {
		if a.servers[s.ID].Zone != a.settings.Zone || s.Unreachable {
			continue
		}
		switch s.Lifecycle {
		case machine.Serving:
			out.Serving++
		case machine.Leaving:
			out.Leaving++
		}
		out.QueuedTokens += uint64(s.Load.QueuedTokens)
		out.TokensPerSecond += uint64(s.Load.TokensPerSecond)
		for _, name := range s.Load.Adapters {
			if !slices.Contains(out.Models, name) {
				out.Models = append(out.Models, name)
			}
		}
	}
	slices.Sort(out.Models)
	return out
}

// handleSummary stores a summary that is newer than the last one of its zone. A
// summary from outside the scope is also relayed to the peers in scope.
func (a *Agent) handleSummary(ctx context.Context, in *pb.ZoneSummary) {
	now := time.Now()
	a.mu.Lock()
	old := a.summaries[in.GetZone()]
	if in.GetZone() == a.settings.Zone || old.GetVersion() >= in.GetVersion() {
		a.mu.Unlock()
		return
	}
	a.summaries[in.GetZone()] = in
	relay := in.GetFrom() != "" && !a.fromScope(in.GetFrom(), now)
	peers := a.table.ScopePeers(now)
	a.mu.Unlock()
	if !relay {
		return
	}
	out := &pb.ZoneSummary{
		Zone: in.GetZone(), Version: in.GetVersion(), From: a.settings.ID, Serving: in.GetServing(),
		Leaving: in.GetLeaving(), QueuedTokens: in.GetQueuedTokens(), TokensPerSecond: in.GetTokensPerSecond(),
		Models: in.GetModels(),
	}
	calls := pool.New().WithMaxGoroutines(maxCalls)
	for _, peer := range peers {
		calls.Go(func() {
			_, _ = a.call(ctx, peer.Address, &pb.Request{Body: &pb.Request_ZoneSummary{ZoneSummary: out}})
		})
	}
	calls.Wait()
}

// fromScope reports whether the member with the given id is in scope.
func (a *Agent) fromScope(id string, now time.Time) bool {
	m, ok := a.table.Get(id, now)
	return ok && a.table.InScope(m.Zone)
}
