package configcheck

import (
	"fmt"
	"slices"
	"time"

	"kumquatyard/internal/fleet"
)

// lastPriority is the lowest rank that servers accept; 0 is the highest.
const lastPriority = 9

func (e *Entries) checkRouteLimits(i int, r *fleet.Route) []Finding {
	var all []Finding
	add := func(s Severity, key Name, problem, fix string) {
		all = append(all, e.finding(s, e.route(i), key, problem, fix))
	}
	timeout, target := e.name(Timeout), e.name(LatencyTarget)
	if r.Timeout < 0 {
		add(Error, Timeout, timeout+" is negative or too large", "use 0 for no limit, or a time above 0")
	}
	if r.LatencyTarget < 0 {
		add(Error, LatencyTarget, target+" is negative or too large", "use a time above 0")
	}
	if r.Timeout > 0 && r.Timeout < r.LatencyTarget {
		add(Warning, Timeout, fmt.Sprintf("%s (%v) is below %s (%v): requests are given up that would still be in time", timeout, r.Timeout, target, r.LatencyTarget),
			fmt.Sprintf("raise %s above %s", timeout, target))
	}
	if r.MaxAttempts < 0 {
		add(Error, MaxAttempts, fmt.Sprintf("%s is %d", e.name(MaxAttempts), r.MaxAttempts), "use at least 1")
	}
	if r.MaxAttempts > 1 && !r.MayRepeat() {
		add(Note, MaxAttempts, fmt.Sprintf("%s is %d, but its requests may not run twice: only those that a server refused unrun are sent again", e.name(MaxAttempts), r.MaxAttempts),
			"set it to 1 if these are not to be sent again either")
	}
	return append(all, e.checkPriority(e.route(i), r.Priority)...)
}

func (e *Entries) checkPriority(p place, priority int) []Finding {
	if priority >= 0 && priority <= lastPriority {
		return nil
	}
	return []Finding{e.finding(Warning, p, Priority, fmt.Sprintf("%s is %d; servers know 0 to %d", e.name(Priority), priority, lastPriority),
		fmt.Sprintf("use 0 to %d", lastPriority))}
}

func (e *Entries) checkWorkspaces(known Known) []Finding {
	var all []Finding
	holder := make(map[string]string)
	for i, w := range e.Workspaces {
		if slices.ContainsFunc(e.Workspaces[:i], func(o *fleet.Workspace) bool { return o.Name == w.Name }) {
			all = append(all, e.finding(Error, e.workspace(i), EntryName, "is listed twice; only the last one's quota holds", "remove one of them"))
		}
		if len(w.Keys) == 0 {
			all = append(all, e.finding(Warning, e.workspace(i), Keys, "has no key, so no request can be of it", "add a key or remove the entry"))
		}
		for _, key := range w.Keys {
			all = append(all, e.checkKey(i, key, holder)...)
		}
		if w.HasPriority {
			all = append(all, e.checkPriority(e.workspace(i), w.Priority)...)
		}
		all = append(all, e.checkQuota(i, w, known)...)
	}
	return all
}

// checkKey finds keys that are empty or listed before. holder holds the workspace of each
// key.
func (e *Entries) checkKey(i int, key string, holder map[string]string) []Finding {
	name := e.Workspaces[i].Name
	other, listed := holder[key]
	holder[key] = name
	switch {
	case key == "":
		return []Finding{e.finding(Error, e.workspace(i), Keys, "has an empty key", "remove it")}
	case listed && other == name:
		return []Finding{e.finding(Warning, e.workspace(i), Keys, fmt.Sprintf("lists key %s twice", Fingerprint(key)), "remove one of them")}
	case listed:
		return []Finding{e.finding(Error, e.workspace(i), Keys, fmt.Sprintf("its key %s is also listed in %s, whose requests then count for this one", Fingerprint(key), e.quoted(Workspace, other)),
			"give each its own key")}
	}
	return nil
}

func (e *Entries) checkQuota(i int, w *fleet.Workspace, known Known) []Finding {
	var all []Finding
	add := func(s Severity, key Name, problem, fix string) {
		all = append(all, e.finding(s, e.workspace(i), key, problem, fix))
	}
	q, rate, burst := w.Quota, e.name(Rate), e.name(Burst)
	if q.PerSecond < 0 || q.Burst < 0 || q.PlainTokens < 0 {
		add(Error, Rate, fmt.Sprintf("its quota is negative: %s %v, %s %v, %s %d", rate, q.PerSecond, burst, q.Burst, e.name(PlainTokens), q.PlainTokens), "use 0 for no limit, or a number above 0")
		return all
	}
	if q.PerSecond == 0 {
		if q.Burst > 0 {
			add(Warning, Burst, fmt.Sprintf("%s has no effect: without %s there is no limit", burst, rate), fmt.Sprintf("set %s, or remove %s", rate, burst))
		}
		return all
	}
	cost, unit, capacity := 1.0, "requests", known.RequestsPerSecond
	if q.InTokens {
		cost, unit, capacity = float64(q.PlainTokens), "tokens", known.TokensPerSecond
	}
	if q.Burst < cost {
		add(Warning, Burst, fmt.Sprintf("%s is %v %s, less than the cost of one request (%v)", burst, q.Burst, unit, cost), fmt.Sprintf("raise %s to at least %v", burst, cost))
	}
	if capacity > 0 && q.PerSecond > capacity {
		add(Warning, Rate, fmt.Sprintf("%s is %v %s, more than all servers give together (%v)", rate, q.PerSecond, unit, capacity), fmt.Sprintf("lower %s, or add servers", rate))
	}
	return all
}

func (e *Entries) checkLimits(known Known) []Finding {
	var all []Finding
	add := func(s Severity, key Name, problem, fix string) {
		all = append(all, e.finding(s, e.limits(), key, problem, fix))
	}
	l, idle, header := e.Limits, e.name(IdleTimeout), e.name(HeaderTimeout)
	if l.MaxHeaderBytes < 0 || l.MaxBodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		add(Error, "", "a limit is negative or too large", "use 0 for no limit, or a number above 0")
	}
	if l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout {
		add(Warning, IdleTimeout, fmt.Sprintf("%s (%v) is below %s (%v)", idle, l.IdleTimeout, header, l.HeaderTimeout), fmt.Sprintf("raise %s, or lower %s", idle, header))
	}
	if l.MaxBodyBytes > 0 && l.MaxBodyBytes < known.BodyBytes {
		add(Warning, MaxBodyBytes, fmt.Sprintf("%s is %d, but callers send bodies of up to %d bytes, which get 413", e.name(MaxBodyBytes), l.MaxBodyBytes, known.BodyBytes),
			fmt.Sprintf("raise it to at least %d", known.BodyBytes))
	}
	if len(e.Routes) == 0 {
		return all
	}
	longest := 0
	for i, r := range e.Routes {
		if r.Timeout > e.Routes[longest].Timeout {
			longest = i
		}
	}
	for _, f := range known.CheckGrace(e.route(longest).text, e.name(Timeout), max(e.Routes[longest].Timeout, time.Duration(0))) {
		all = append(all, e.finding(f.Severity, e.route(longest), Timeout, f.Problem, f.Fix))
	}
	return all
}
