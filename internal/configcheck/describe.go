package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"kumquatyard/internal/fleet"
)

// Describe returns the entries in words.
func Describe(e *Entries) []Described {
	var all []Described
	for _, r := range e.Routes {
		all = append(all, e.describeRoute(r))
	}
	for _, p := range e.Pools {
		all = append(all, e.describePool(p))
	}
	for _, w := range e.Workspaces {
		all = append(all, e.describeWorkspace(w))
	}
	l := e.Limits
	return append(all, Described{Kind: e.name(Limits), Attributes: []Attribute{
		e.text(MaxHeaderBytes, l.MaxHeaderBytes), e.text(MaxBodyBytes, l.MaxBodyBytes),
		e.text(HeaderTimeout, l.HeaderTimeout), e.text(IdleTimeout, l.IdleTimeout),
	}})
}

func (e *Entries) text(n Name, value any) Attribute { return Text(e.name(n), value) }

func (e *Entries) describeRoute(r *fleet.Route) Described {
	var targets []string
	for _, t := range r.Targets {
		targets = append(targets, fmt.Sprintf("%s (%s %d)", t.Pool, e.name(Weight), t.Weight))
	}
	return Described{Kind: e.name(Route), Name: r.Name, Attributes: []Attribute{
		e.text(Host, strings.ToLower(r.Host)), e.text(Prefix, r.Prefix), Text("requests", repeatText(r)), e.text(Pool, strings.Join(targets, ", ")),
		e.text(Timeout, r.Timeout), e.text(LatencyTarget, r.LatencyTarget), e.text(Priority, r.Priority),
		e.text(MaxAttempts, r.MaxAttempts), Text("key", keyText(r)),
	}}
}

func keyText(r *fleet.Route) string {
	if r.Public {
		return "not needed"
	}
	return "needed"
}

func repeatText(r *fleet.Route) string {
	kind := "plain"
	if r.Stream {
		kind = "streams"
	}
	switch {
	case r.Idempotent:
		return kind + ", may be repeated"
	case r.Resumable:
		return kind + ", may be resumed"
	}
	return kind + ", run at most once"
}

func (e *Entries) describePool(p *fleet.Pool) Described {
	engine, scaling := "none", "none"
	if p.Engine != nil {
		engine = fmt.Sprintf("%s %d, %s %d", e.name(Slots), p.Engine.Slots, e.name(KVCache), p.Engine.KVCacheTokens)
	}
	if s := p.Scaling; s != nil {
		scaling = fmt.Sprintf("%d to %d servers a zone, start %v, reclaimable price %v", s.Min, s.Max, s.BootTime, s.ReclaimablePrice)
		for _, zone := range slices.Sorted(maps.Keys(s.ZonePrices)) {
			scaling += fmt.Sprintf(", price in %s %v", zone, s.ZonePrices[zone])
		}
	}
	return Described{Kind: e.name(Pool), Name: p.Name, Attributes: []Attribute{
		e.text(MaxConns, p.MaxConns), e.text(Engine, engine), e.text(Scaling, scaling),
	}}
}

func (e *Entries) describeWorkspace(w *fleet.Workspace) Described {
	unit, priority := "requests", "the route's"
	if w.Quota.InTokens {
		unit = "tokens"
	}
	if w.HasPriority {
		priority = fmt.Sprint(w.Priority)
	}
	return Described{Kind: e.name(Workspace), Name: w.Name, Attributes: []Attribute{
		Fingerprints(e.name(Keys), w.Keys), e.text(Priority, priority), Text("unit", unit),
		e.text(Rate, w.Quota.PerSecond), e.text(Burst, w.Quota.Burst), e.text(PlainTokens, w.Quota.PlainTokens),
	}}
}
