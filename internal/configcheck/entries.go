package configcheck

import (
	"fmt"

	"kumquatyard/internal/fleet"
)

// Name is a key of the entries, or a list of them, in the terms of package fleet.
type Name string

// Lists of entries.
const (
	Routes     Name = "routes"
	Pools      Name = "pools"
	Workspaces Name = "workspaces"
	Limits     Name = "limits"
)

// Nouns for one entry of a list.
const (
	Route     Name = "route"
	Pool      Name = "pool"
	Workspace Name = "workspace"
)

// Keys of entries.
const (
	EntryName      Name = "name"
	Host           Name = "host"
	Prefix         Name = "prefix"
	Targets        Name = "targets"
	Weight         Name = "weight"
	Timeout        Name = "timeout"
	LatencyTarget  Name = "latency_target"
	MaxAttempts    Name = "max_attempts"
	Priority       Name = "priority"
	MaxConns       Name = "max_conns"
	Engine         Name = "engine"
	Slots          Name = "slots"
	KVCache        Name = "kv_cache"
	Scaling        Name = "scaling"
	Min            Name = "min"
	Max            Name = "max"
	Keys           Name = "keys"
	Rate           Name = "rate"
	Burst          Name = "burst"
	PlainTokens    Name = "plain_tokens"
	MaxHeaderBytes Name = "max_header_bytes"
	MaxBodyBytes   Name = "max_body_bytes"
	HeaderTimeout  Name = "header_timeout"
	IdleTimeout    Name = "idle_timeout"
)

// Entries are the entries of a configuration as they were decoded, before they are indexed:
// an entry that is listed twice is here twice.
type Entries struct {
	fleet.Entries
	// Names holds the names of lists and keys in the form of the file; a name that is absent
	// is itself.
	Names map[Name]string
	// Line returns the line of the value at a path such as routes[3].prefix, and 0 if it is
	// absent.
	Line func(path string) int
}

func (e *Entries) name(n Name) string {
	if text, ok := e.Names[n]; ok {
		return text
	}
	return string(n)
}

// place is where a finding is: an entry of a list, or one of its keys.
type place struct {
	list  Name
	index int
	// text names the entry in words.
	text string
}

func (e *Entries) route(i int) place { return place{Routes, i, e.quoted(Route, e.Routes[i].Name)} }
func (e *Entries) pool(i int) place  { return place{Pools, i, e.quoted(Pool, e.Pools[i].Name)} }
func (e *Entries) workspace(i int) place {
	return place{Workspaces, i, e.quoted(Workspace, e.Workspaces[i].Name)}
}
func (e *Entries) limits() place { return place{Limits, -1, e.name(Limits)} }

func (e *Entries) quoted(noun Name, name string) string {
	return fmt.Sprintf("%s %q", e.name(noun), name)
}

// finding returns a finding at key of p, or at p if the key is not in the file.
func (e *Entries) finding(s Severity, p place, key Name, problem, fix string) Finding {
	path := e.name(p.list)
	if p.index >= 0 {
		path = fmt.Sprintf("%s[%d]", path, p.index)
	}
	f := Finding{Severity: s, Entry: p.text, Problem: problem, Fix: fix}
	if e.Line == nil {
		return f
	}
	if f.Line = e.Line(path + "." + e.name(key)); f.Line == 0 {
		f.Line = e.Line(path)
	}
	return f
}

// Check returns what is wrong with the entries.
func Check(e *Entries, known Known) []Finding {
	var all []Finding
	all = append(all, e.checkRoutes()...)
	all = append(all, e.checkPools()...)
	all = append(all, e.checkWorkspaces(known)...)
	return append(all, e.checkLimits(known)...)
}
