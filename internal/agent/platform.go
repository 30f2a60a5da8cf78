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
	noticeEvery = time.Second
	// listedEntryBytes is the size of an entry in the instance list's answer.
	listedEntryBytes = 110
	// listBytesPerSecond is what a node receives of the instance list on
	// average; reads rotate through the scope and slow down as the list grows.
	listBytesPerSecond = 1500
	listTimeout        = 5 * time.Second
	// startSpread is the time over which agents that start together announce
	// themselves.
	startSpread = 500 * time.Millisecond

	stateLeaving  = "leaving"
	sourceList    = "list"
	sourceNotice  = "notice"
	sourceDrain   = "drain"
	sourceGateway = "gateway"
)

func slotKey(job string, slot int64) string { return fmt.Sprintf("%s/%d", job, slot) }

// readList reads the instance list once at the start, and then whenever it is
// the agent's turn.
func (a *Agent) readList(ctx context.Context) error {
	for !a.readListOnce(ctx) && ctx.Err() == nil {
		sleep(ctx, jittered(a.settings.Intervals.List))
	}
	// Meeting all peers at once keeps a starting agent from observing servers
	// that others observe already.
	sleep(ctx, rand.N(startSpread))
	signal(a.beatSoon)
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

func (a *Agent) listInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	nodes := len(a.table.LiveInScope(time.Now()))
	seconds := float64(a.listBytes) / float64(listBytesPerSecond*max(1, nodes))
	return max(a.settings.Intervals.List, time.Duration(seconds)*time.Second)
}

func (a *Agent) readListOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	instances, err := a.list.List(ctx)
	if err != nil {
		a.log.WithError(err).Warn("instance list failed")
		return false
	}
	a.takeList(instances)
	return true
}

func (a *Agent) takeList(instances []platform.Instance) {
	var entries []member.ListedInstance
	var leaving []hint
	a.mu.Lock()
	a.listBytes = len(instances) * listedEntryBytes
	for _, i := range instances {
		h := hint{id: machine.ID(i.ID), source: sourceList}
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
		a.heardLeaving(h)
	}
}

// readNotices reads the cloud's reclaim notices when it is the agent's turn.
func (a *Agent) readNotices(ctx context.Context, _ bool) {
	if a.notices == nil || !a.isMyTurn(sourceNotice, noticeEvery, time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	notices, err := a.notices.Notices(ctx)
	if err != nil {
		a.log.WithError(err).Warn("reclaim notices failed")
		return
	}
	for _, n := range notices {
		a.heardLeaving(hint{id: machine.ID(n.ID), source: sourceNotice, at: n.At()})
	}
}
