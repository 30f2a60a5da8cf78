package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"kumquatyard/internal/machine"
	"kumquatyard/internal/member"
	"kumquatyard/internal/platform"
)

const (
	noticeInterval = time.Second
	// listedEntryBytes is the approximate size of an entry in the response of
	// the instance list.
	listedEntryBytes = 110
	// listBytesPerSecond is the average rate of instance list data that an agent
	// reads. Reads rotate through the scope and become less frequent as the list
	// grows.
	listBytesPerSecond = 1500
	listTimeout        = 5 * time.Second
	// startSpread is the time over which the announcements of agents that start
	// together are spread.
	startSpread = 500 * time.Millisecond

	stateLeaving  = "leaving"
	sourceList    = "list"
	sourceNotice  = "notice"
	sourceDrain   = "drain"
	sourceGateway = "gateway"
)

func slotKey(job string, slot int64) string { return fmt.Sprintf("%s/%d", job, slot) }

// readList reads the instance list once at the start, and then whenever the
// rotation selects the agent.
func (a *Agent) readList(ctx context.Context) error {
	for !a.readListOnce(ctx) && ctx.Err() == nil {
		sleep(ctx, jittered(a.settings.Intervals.List))
	}
	// Heartbeats to all peers make them known at once, so that a starting agent
	// does not observe servers that others already observe.
	sleep(ctx, rand.N(startSpread))
	signal(a.urgentHeartbeat)
	for {
		slot := a.listInterval()
		sleep(ctx, time.Until(time.Now().Truncate(slot).Add(slot)))
		if ctx.Err() != nil {
			return nil
		}
		if a.isMyTurn(sourceList, slot, time.Now()) {
			sleep(ctx, jittered(slot/10))
			a.readListOnce(ctx)
		}
	}
}

// listInterval returns the time between reads of the instance list in the scope.
func (a *Agent) listInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	agents := len(a.table.LiveInScope(time.Now()))
	seconds := float64(a.listBytes) / float64(listBytesPerSecond*max(1, agents))
	return max(a.settings.Intervals.List, time.Duration(seconds)*time.Second)
}

// readListOnce reads and applies the instance list and reports whether it
// succeeded.
func (a *Agent) readListOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	instances, err := a.list.List(ctx)
	if err != nil {
		a.log.WithError(err).Warn("reading the instance list failed; keeping the known instances until the next read")
		return false
	}
	a.applyList(instances)
	return true
}

// applyList applies the agents, gateways and leaving servers of the instance
// list.
func (a *Agent) applyList(instances []platform.Instance) {
	var entries []member.ListedInstance
	var leaving []leavingHint
	a.mu.Lock()
	a.listBytes = len(instances) * listedEntryBytes
	for _, i := range instances {
		h := leavingHint{id: machine.ID(i.ID), source: sourceList}
		_, server := a.servers[h.id]
		switch {
		case server && i.State == stateLeaving:
			leaving = append(leaving, h)
		case server:
			a.hints.withdraw(h)
		case i.Role == role || i.Role == "gateway":
			entries = append(entries, member.ListedInstance{
				ID: i.ID, Zone: i.Zone, Address: i.Address, Role: i.Role, Leaving: i.State == stateLeaving,
			})
		}
	}
	a.table.ApplyInstanceList(entries, time.Now())
	a.mu.Unlock()
	for _, h := range leaving {
		a.recordLeaving(h)
	}
}

// readNotices reads the cloud's reclaim notices when the rotation selects the
// agent.
func (a *Agent) readNotices(ctx context.Context, _ bool) {
	if a.notices == nil || !a.isMyTurn(sourceNotice, noticeInterval, time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	notices, err := a.notices.Notices(ctx)
	if err != nil {
		a.log.WithError(err).Warn("reading the reclaim notices failed; new notices are missed until the next read")
		return
	}
	for _, n := range notices {
		a.recordLeaving(leavingHint{id: machine.ID(n.ID), source: sourceNotice, at: n.At()})
	}
}
