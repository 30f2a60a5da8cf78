package fairshare

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/rollup"
)

var (
	refusedTotal = metrics.NewCounter(`kumquat_share_requests_total{outcome="refused"}`)
	insideTotal  = metrics.NewCounter(`kumquat_share_requests_total{outcome="inside"}`)
)

// Update decides anew which pools are short of room, and their shares. It is called several
// times a second. A change of the servers in the snapshot counts at once.
func (t *Tracker) Update(snapshot *fleet.Snapshot, now time.Time) {
	if !t.options.active() || snapshot == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	before := *t.shares.Load()
	shares := make(map[string]*poolShares)
	weights := weightsOf(snapshot.Config)
	for name, p := range t.pools {
		if snapshot.Config.Pools[name] == nil {
			delete(t.pools, name)
			continue
		}
		groups := t.updatePool(name, p, snapshot, weights, now)
		if groups == nil {
			continue
		}
		next := &poolShares{groups: groups, credits: make(map[creditKey]float64)}
		if old := before[name]; old != nil {
			next.credits = old.takeCredits()
		}
		shares[name] = next
	}
	t.shares.Store(&shares)
}

// takeCredits returns a copy of the credits.
func (s *poolShares) takeCredits() map[creditKey]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	credits := make(map[creditKey]float64, len(s.credits))
	for key, credit := range s.credits {
		if _, ok := s.groups[key.group]; ok {
			credits[key] = credit
		}
	}
	return credits
}

// updatePool returns the shares of a pool, nil if it is not short of room.
func (t *Tracker) updatePool(name string, p *pool, snapshot *fleet.Snapshot, weights map[uint32]float64, now time.Time) map[rollup.GroupKey]Share {
	usable := 0
	for _, s := range snapshot.Servers[name] {
		if s.Usable() {
			usable++
		}
	}
	p.servers.add(float64(usable), now)
	p.updates.add(1, now)
	m := measure{nominal: t.options.Rate(name) * float64(usable), servers: float64(usable)}
	if updates := p.updates.rate(allSlots, now); updates > 0 {
		m.meanServers = p.servers.rate(allSlots, now) / updates
	}
	local := p.local(now)
	others, known := t.othersRoom(name, now)
	m.add(local)
	localPressure := m.pressure()
	m.add(others)
	load := 0.0
	if m.nominal > 0 {
		load = t.options.Demand(name, now) / m.nominal
	}
	p.near = load > calmLoad && (localPressure >= pressedOff || p.shortness.short)
	local.Near = 0
	if p.near {
		local.Near = 1
	}
	isWidespread := float64(local.Near+others.Near) >= widespread*float64(t.options.Instances())
	p.told = p.near || isWidespread && others.Near > 0
	pressure := m.pressure()
	if !known || !isWidespread {
		load, pressure = 0, 0
	}
	before := p.shortness.short
	if !p.shortness.update(load, pressure, now) {
		t.logChange(name, before, false, m, nil, snapshot)
		return nil
	}
	if !known {
		return nil
	}
	for key, offered := range others.Offered {
		local.Offered[key] += offered
	}
	groups := Divide(m.room(), local.Offered, weights)
	t.logChange(name, before, true, m, groups, snapshot)
	return groups
}

// othersRoom returns the room of the other instances, and whether it is known.
func (t *Tracker) othersRoom(name string, now time.Time) (rollup.Room, bool) {
	if t.options.Instances() <= 1 {
		return rollup.Room{}, true
	}
	if now.Sub(t.othersAt) > staleAfter {
		return rollup.Room{}, false
	}
	return t.others[rollup.Key(name)], true
}

// add adds what instances counted.
func (m *measure) add(r rollup.Room) {
	m.pressed += r.Pressed
	m.served += r.Served
	for _, offered := range r.Offered {
		m.offered += offered
	}
}

// loggedWorkspaces bounds the workspaces in a log line.
const loggedWorkspaces = 4

// logChange logs that a pool turned short of room, or has room again.
func (t *Tracker) logChange(name string, before, short bool, m measure, groups map[rollup.GroupKey]Share, snapshot *fleet.Snapshot) {
	if before == short {
		return
	}
	value := 0.0
	if short {
		value = 1
	}
	metrics.GetOrCreateGauge(fmt.Sprintf("kumquat_pool_short{pool=%q}", name), nil).Set(value)
	fields := logrus.Fields{
		"event": "pool_short", "pool": name, "short": short, "servers": int(m.servers), "nominal_tokens_per_s": int(m.nominal), "room_tokens_per_s": int(m.room()),
		"offered_tokens_per_s": int(m.offered), "served_tokens_per_s": int(m.served), "pressed_percent": int(100 * m.pressure()),
	}
	if !short {
		t.options.Log.WithFields(fields).Info("the pool has room for all requests again")
		return
	}
	fields["over_share"] = overShare(groups, snapshot.Config)
	t.options.Log.WithFields(fields).Info("the pool is short of room; requests beyond the shares of their workspaces are refused while servers have no spare room")
}

// overShare returns the workspaces with the smallest parts, with these parts in percent.
func overShare(groups map[rollup.GroupKey]Share, c *fleet.Config) string {
	totals := make(map[uint32]Share)
	for key, s := range groups {
		sum := totals[key.Workspace]
		totals[key.Workspace] = Share{sum.Offered + s.Offered, sum.Granted + s.Granted}
	}
	type entry struct {
		name string
		part float64
	}
	var list []entry
	for name := range c.Workspaces {
		if s := totals[rollup.Key(name)]; s.Part() < 0.995 {
			list = append(list, entry{name, s.Part()})
		}
	}
	slices.SortFunc(list, func(a, b entry) int { return cmp.Or(cmp.Compare(a.part, b.part), cmp.Compare(a.name, b.name)) })
	text := make([]string, 0, loggedWorkspaces)
	for _, e := range list[:min(len(list), loggedWorkspaces)] {
		text = append(text, fmt.Sprintf("%s:%.0f%%", e.name, 100*e.part))
	}
	return strings.Join(text, ",")
}
