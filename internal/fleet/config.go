// Package fleet holds the immutable snapshot that kumquat-entry serves requests
// from: the operators' configuration and the backend servers. It does no I/O. The
// configuration of kumquat-gateway and kumquat-agent is in internal/config.
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
	// Pools holds the pools by name.
	Pools  map[string]*Pool
	Limits Limits
	// Workspaces holds the workspaces by name.
	Workspaces map[string]*Workspace

	hosts map[string][]*Route
	// routes holds the names of the routes.
	routes map[string]bool
	keys   map[string]*Workspace
	// targets holds the shortest latency target of the routes to a pool.
	targets map[string]time.Duration
	// resumable holds the names of the pools whose streams may be resumed.
	resumable []string
}

// Route is a rule for the requests to one host whose path has a prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Stream is set when answers are event streams, which are forwarded as they arrive.
	Stream bool
	// Resumable streams may continue at another server after their last event.
	Resumable bool
	// Timeout bounds the time until the final answer; 0 means no limit.
	Timeout time.Duration
	// LatencyTarget is the target for the time to the first byte or event.
	LatencyTarget time.Duration
	// Priority ranks requests: 0 is served first.
	Priority int
	// Public requests need no API key.
	Public bool
	// Targets are the pools with their weights.
	Targets []Target
	// MaxAttempts is the maximum number of servers that one request is sent to.
	MaxAttempts int
}

// MayRepeat reports whether a request may be sent again after an attempt that may have
// run but whose answer did not reach the caller.
func (r *Route) MayRepeat() bool { return r.Idempotent || r.Resumable }

// HasTarget reports whether requests may be sent to a pool.
func (r *Route) HasTarget(pool string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Pool == pool })
}

// Target is a pool and its weight among a route's targets.
type Target struct {
	Pool   string
	Weight int
}

// PickPool returns the pool for a request by the targets' weights, or "" without a
// positive weight. draw is uniformly distributed over uint64.
func (r *Route) PickPool(draw uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(draw % uint64(total))
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Pool
		}
		point -= t.Weight
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
	// Scaling is nil when no servers can be ordered for the pool.
	Scaling *Scaling
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// KVCacheTokens is the size of the KV cache in tokens, shared by running requests and
	// cached prompts.
	KVCacheTokens int
}

// Scaling bounds the servers that may be ordered for a pool.
type Scaling struct {
	// Min and Max bound the total of a zone's servers of both markets.
	Min, Max int
	// BootTime is the time from an order until the server serves.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable server as a fraction of the price of
	// an on-demand one; 0 when there are no reclaimable servers.
	ReclaimablePrice float64
	// ZonePrices holds the price of an on-demand server by zone.
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
	// Priority overrides that of the route when HasPriority is set.
	Priority    int
	HasPriority bool
	Quota       Quota
	Keys        []string
}

// Quota limits a workspace's use over all instances.
type Quota struct {
	// PerSecond and Burst are 0 when there is no limit.
	PerSecond float64
	Burst     float64
	// InTokens is set when the quota counts tokens; otherwise it counts requests.
	InTokens bool
	// PlainTokens is the number of tokens charged for a request without a prompt.
	PlainTokens int
}

// Entries are the entries of a configuration in the order of its file.
type Entries struct {
	Version    uint64
	Routes     []*Route
	Pools      []*Pool
	Workspaces []*Workspace
	Limits     Limits
}

// Config returns the entries as a Config.
func (e *Entries) Config() *Config {
	return NewConfig(e.Version, e.Routes, e.Pools, e.Workspaces, e.Limits)
}

// NewConfig returns a Config with its routes indexed by host and its workspaces by API
// key.
func NewConfig(version uint64, routes []*Route, pools []*Pool, workspaces []*Workspace, limits Limits) *Config {
	c := &Config{
		Version: version, Limits: limits,
		Pools:      make(map[string]*Pool, len(pools)),
		Workspaces: make(map[string]*Workspace, len(workspaces)),
		hosts:      make(map[string][]*Route),
		routes:     make(map[string]bool, len(routes)),
		keys:       make(map[string]*Workspace),
		targets:    make(map[string]time.Duration),
	}
	for _, p := range pools {
		c.Pools[p.Name] = p
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
		c.routes[r.Name] = true
		c.addTarget(r)
	}
	c.resumable = resumablePools(routes)
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

// resumablePools returns the pools of the routes whose streams may be resumed.
func resumablePools(routes []*Route) []string {
	var pools []string
	for _, r := range routes {
		if !r.Stream || !r.Resumable {
			continue
		}
		for _, t := range r.Targets {
			pools = append(pools, t.Pool)
		}
	}
	slices.Sort(pools)
	return slices.Compact(pools)
}

// addTarget records the latency target of a route for its pools.
func (c *Config) addTarget(r *Route) {
	if r.LatencyTarget <= 0 {
		return
	}
	for _, t := range r.Targets {
		if known, ok := c.targets[t.Pool]; !ok || r.LatencyTarget < known {
			c.targets[t.Pool] = r.LatencyTarget
		}
	}
}

// ShortestTarget returns the shortest latency target of the routes to a pool, 0 if none has one.
func (c *Config) ShortestTarget(pool string) time.Duration { return c.targets[pool] }

// ResumablePools returns the names of the pools whose streams may be resumed.
func (c *Config) ResumablePools() []string { return c.resumable }

// Match returns the route of a host that has the longest prefix of path, or nil. host may
// include a port.
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

// HasRoute reports whether there is a route of a name.
func (c *Config) HasRoute(name string) bool { return c.routes[name] }

// Authenticates reports whether the configuration has workspaces, so that requests to
// non-public routes need an API key.
func (c *Config) Authenticates() bool { return len(c.Workspaces) > 0 }

// ByKey returns the workspace that holds an API key, or nil.
func (c *Config) ByKey(key string) *Workspace { return c.keys[key] }
