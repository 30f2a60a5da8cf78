// Package fleet holds the immutable picture that requests are served from: the
// operators' configuration and the backend servers. It is pure.
package fleet

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

// Config is one version of the operators' configuration.
type Config struct {
	Version uint64
	Pools   map[string]*Pool
	Limits  Limits
	// Workspaces by name.
	Workspaces map[string]*Workspace

	hosts map[string][]*Route
	keys  map[string]*Workspace
}

// Route is a rule for the requests of one host below a path.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Stream answers are events that are passed on as they arrive.
	Stream bool
	// Resumable streams may go on at another server after their last event.
	Resumable bool
	// Timeout bounds the time until the final answer; 0 is none.
	Timeout time.Duration
	// LatencyTarget is the time to the first byte, or event, that is aimed at.
	LatencyTarget time.Duration
	// Priority ranks requests: 0 goes first.
	Priority int
	// Public requests need no API key.
	Public bool
	// Targets are the pools by weight.
	Targets []Target
	// MaxAttempts is the number of servers that one request may be sent to.
	MaxAttempts int
}

// MayRepeat reports whether a request may run again after an attempt that may
// have run without its answer reaching the caller.
func (r *Route) MayRepeat() bool { return r.Idempotent || r.Resumable }

// Target is a pool with its share of a route's requests.
type Target struct {
	Pool   string
	Weight int
}

// PickPool returns the pool for a request; draw is uniform over uint64.
func (r *Route) PickPool(draw uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	rest := int(draw % uint64(total))
	for _, t := range r.Targets {
		if rest < t.Weight {
			return t.Pool
		}
		rest -= t.Weight
	}
	return ""
}

// Pool is a group of interchangeable servers.
type Pool struct {
	Name string
	// MaxConns bounds the connections of all instances to one server.
	MaxConns int
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil when the pool's servers cannot be ordered.
	Scaling *Scaling
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// KVCacheTokens is the KV cache shared by running requests and kept prompts.
	KVCacheTokens int
}

// Scaling bounds the servers that may be ordered for a pool.
type Scaling struct {
	// Min and Max bound a zone's servers of both markets together.
	Min, Max int
	// BootTime is the time from an order until the server serves.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable server as a part of the
	// price of one on demand; 0 when there are none.
	ReclaimablePrice float64
	// ZonePrices is the price of a server on demand by zone.
	ZonePrices map[string]float64
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Workspace is a group of callers with API keys and a quota.
type Workspace struct {
	Name string
	// Priority overrides the route's when HasPriority is set.
	Priority    int
	HasPriority bool
	Quota       Quota
	Keys        []string
}

// Quota limits a workspace over all instances.
type Quota struct {
	// PerSecond and Burst are 0 without a limit.
	PerSecond float64
	Burst     float64
	// InTokens counts tokens where requests are counted otherwise.
	InTokens bool
	// PlainTokens is what a request without a prompt counts as.
	PlainTokens int
}

// NewConfig indexes the routes and keys of a configuration.
func NewConfig(version uint64, routes []*Route, pools []*Pool, workspaces []*Workspace, limits Limits) *Config {
	c := &Config{
		Version: version, Limits: limits,
		Pools:      make(map[string]*Pool, len(pools)),
		Workspaces: make(map[string]*Workspace, len(workspaces)),
		hosts:      make(map[string][]*Route),
		keys:       make(map[string]*Workspace),
	}
	for _, p := range pools {
		c.Pools[p.Name] = p
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, w := range workspaces {
		c.Workspaces[w.Name] = w
		for _, key := range w.Keys {
			c.keys[key] = w
		}
	}
	return c
}

// Match returns the route with the longest prefix for a host, with or without
// a port, and a path; nil when there is none.
func (c *Config) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Authenticates reports whether requests need a key at all.
func (c *Config) Authenticates() bool { return len(c.Workspaces) > 0 }

// ByKey returns the workspace that holds an API key, or nil.
func (c *Config) ByKey(key string) *Workspace { return c.keys[key] }
