package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"kumquatyard/internal/fleet"
)

func (e *Entries) checkRoutes() []Finding {
	if len(e.Routes) == 0 {
		return []Finding{e.finding(Warning, place{Routes, -1, e.name(Routes)}, "", "no route is listed, so every request gets 404", "add a route")}
	}
	var all []Finding
	for i, r := range e.Routes {
		all = append(all, e.checkMatch(i, r)...)
		all = append(all, e.checkHidden(i, r)...)
		all = append(all, e.checkTargets(i, r)...)
		all = append(all, e.checkRouteLimits(i, r)...)
	}
	return all
}

// checkMatch finds hosts and prefixes that no request can have.
func (e *Entries) checkMatch(i int, r *fleet.Route) []Finding {
	var all []Finding
	add := func(key Name, problem, fix string) {
		all = append(all, e.finding(Warning, e.route(i), key, problem, fix))
	}
	switch {
	case r.Host == "":
		add(Host, "has no host, so it never matches", "set "+e.name(Host))
	case strings.ContainsAny(r.Host, "/: \t"):
		add(Host, fmt.Sprintf("the host %q never matches: requests are compared by the host's name without scheme and port", r.Host), "write the name only")
	}
	switch {
	case r.Prefix == "":
		add(Prefix, "has no prefix and matches every path of its host", `write "/" if that is meant`)
	case !strings.HasPrefix(r.Prefix, "/"):
		add(Prefix, fmt.Sprintf("the prefix %q never matches: every path begins with a slash", r.Prefix), "put a slash in front of it")
	case !strings.HasSuffix(r.Prefix, "/"):
		add(Prefix, fmt.Sprintf("the prefix %q also matches paths that go on with other letters", r.Prefix), "end it with a slash")
	}
	return all
}

// checkHidden compares a route with those before it.
func (e *Entries) checkHidden(i int, r *fleet.Route) []Finding {
	var all []Finding
	otherCase := false
	for _, earlier := range e.Routes[:i] {
		if earlier.Name == r.Name {
			all = append(all, e.finding(Warning, e.route(i), EntryName, "its name is listed twice, so logs and metrics mix both", "rename one of them"))
		}
		if !strings.EqualFold(earlier.Host, r.Host) {
			continue
		}
		if earlier.Prefix == r.Prefix {
			all = append(all, e.finding(Warning, e.route(i), Prefix,
				fmt.Sprintf("never matches: %s has the same host and the same prefix %q, and precedes it", e.quoted(Route, earlier.Name), r.Prefix),
				"remove one of them, or change its prefix"))
			return all
		}
		if earlier.Host != r.Host && !otherCase {
			otherCase = true
			all = append(all, e.finding(Warning, e.route(i), Host,
				fmt.Sprintf("its host %q differs from %q of %s by case only, and hosts are compared without case: both are one host", r.Host, earlier.Host, e.quoted(Route, earlier.Name)),
				"write both alike, or correct the name"))
		}
	}
	return all
}

// checkTargets finds routes whose requests reach no server.
func (e *Entries) checkTargets(i int, r *fleet.Route) []Finding {
	var all []Finding
	add := func(s Severity, problem, fix string) {
		all = append(all, e.finding(s, e.route(i), Targets, problem, fix))
	}
	total := 0
	for k, target := range r.Targets {
		total += target.Weight
		if target.Weight < 0 {
			add(Error, fmt.Sprintf("gives %s the weight %d", e.quoted(Pool, target.Pool), target.Weight), "use a weight of at least 0")
		}
		if slices.ContainsFunc(r.Targets[:k], func(t fleet.Target) bool { return t.Pool == target.Pool }) {
			add(Warning, fmt.Sprintf("lists %s twice; the weights add up", e.quoted(Pool, target.Pool)), "list it once")
		}
		if target.Weight == 0 && len(r.Targets) > 1 {
			add(Note, fmt.Sprintf("gives %s no weight, so that it gets no requests", e.quoted(Pool, target.Pool)), "remove it unless it is to come back")
			continue
		}
		all = append(all, e.checkTarget(i, target)...)
	}
	if total <= 0 {
		add(Error, "its targets have no weight, so all of its requests are refused", "give one of them a weight above 0")
	}
	return all
}

// checkTarget finds targets that have no servers.
func (e *Entries) checkTarget(i int, target fleet.Target) []Finding {
	index := slices.IndexFunc(e.Pools, func(p *fleet.Pool) bool { return p.Name == target.Pool })
	if index < 0 {
		return []Finding{e.finding(Error, e.route(i), Targets, fmt.Sprintf("leads to %s, which is not listed: its requests are refused unless servers register under that name", e.quoted(Pool, target.Pool)),
			fmt.Sprintf("add it to %s, or correct the name", e.name(Pools)))}
	}
	if s := e.Pools[index].Scaling; s != nil && s.Max <= 0 {
		return []Finding{e.finding(Warning, e.route(i), Targets, fmt.Sprintf("leads to %s, for which no server may be ordered (%s is %d)", e.quoted(Pool, target.Pool), e.name(Max), s.Max),
			fmt.Sprintf("raise %s, or send the route elsewhere", e.name(Max)))}
	}
	return nil
}

func (e *Entries) checkPools() []Finding {
	var all []Finding
	for i, p := range e.Pools {
		add := func(s Severity, key Name, problem, fix string) {
			all = append(all, e.finding(s, e.pool(i), key, problem, fix))
		}
		if slices.ContainsFunc(e.Pools[:i], func(q *fleet.Pool) bool { return q.Name == p.Name }) {
			add(Error, EntryName, "is listed twice; only the last one holds", "remove one of them")
		}
		if !slices.ContainsFunc(e.Routes, func(r *fleet.Route) bool { return r.HasTarget(p.Name) }) {
			add(Note, EntryName, "no route leads to it", "remove it unless a route is to come")
		}
		if p.MaxConns < 0 {
			add(Error, MaxConns, fmt.Sprintf("%s is %d", e.name(MaxConns), p.MaxConns), "use at least 0")
		}
		if p.Engine != nil && (p.Engine.Slots <= 0 || p.Engine.KVCacheTokens <= 0) {
			add(Warning, Engine, fmt.Sprintf("has no room for a request: %s is %d and %s is %d", e.name(Slots), p.Engine.Slots, e.name(KVCache), p.Engine.KVCacheTokens), "set both above 0")
		}
		if s := p.Scaling; s != nil && (s.Min < 0 || s.Min > s.Max) {
			add(Error, Scaling, fmt.Sprintf("%s is %d and %s is %d, so no number of servers satisfies both", e.name(Min), s.Min, e.name(Max), s.Max),
				fmt.Sprintf("set %s between 0 and %s", e.name(Min), e.name(Max)))
		}
	}
	return all
}
