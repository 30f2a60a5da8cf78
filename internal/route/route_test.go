package route_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatyard/internal/config"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/route"
	"kumquatyard/internal/zone"
)

var (
	epoch    = time.Unix(1_000_000, 0)
	policies = []string{"", "kumquat", "round_robin", "least_outstanding", "prefix_hash"}
	zones    = zone.NewMap([]zone.Zone{{Name: "a", Region: "north"}, {Name: "b", Region: "north"}, {Name: "c", Region: "south"}})
)

func chain(seed uint64, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = seed<<20 + uint64(i)*0x9e3779b97f4a7c15
	}
	return out
}

func server(id string) route.Server {
	return route.Server{
		Server:   machine.Server{ID: machine.ID(id), Pool: "chat", Zone: "a", Models: []string{"m"}},
		State:    machine.State{Lifecycle: machine.Serving, Load: machine.Load{At: epoch, Slots: 16, TokensPerSecond: 800}},
		InFlight: &route.InFlight{},
	}
}

func genServer(t *rapid.T, i int) route.Server {
	s := server(fmt.Sprint("s", i))
	s.Zone = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
	s.Reclaimable = rapid.Bool().Draw(t, "reclaimable")
	s.Ejected = rapid.IntRange(0, 4).Draw(t, "ejected") == 0
	s.State.Lifecycle = machine.Lifecycle(rapid.IntRange(0, 4).Draw(t, "lifecycle"))
	s.State.Unreachable = rapid.IntRange(0, 4).Draw(t, "unreachable") == 0
	s.State.Load.Running = rapid.IntRange(0, 40).Draw(t, "running")
	s.State.Load.QueuedTokens = rapid.IntRange(0, 1e6).Draw(t, "tokens")
	if rapid.IntRange(0, 4).Draw(t, "notice") == 0 {
		s.State.ReclaimAt = epoch.Add(time.Minute)
	}
	if rapid.Bool().Draw(t, "cache") {
		var b route.CacheBuilder
		b.Added(chain(uint64(rapid.IntRange(0, 3).Draw(t, "doc")), rapid.IntRange(0, 40).Draw(t, "blocks"))...)
		s.PrefixCache = b.View()
	}
	for range rapid.IntRange(0, 20).Draw(t, "in flight") {
		s.InFlight.Add(100)
	}
	return s
}

func routable(s *route.Server) bool {
	return !s.Ejected && s.State.ReclaimAt.IsZero() &&
		(s.State.Lifecycle == machine.Serving || s.State.Lifecycle == machine.Unknown)
}

// Choose returns a server that may receive work whenever there is one, and none
// otherwise. Unobserved and unreachable servers are chosen only without a
// reachable serving one.
func TestChooseReturnsOnlyRoutableServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := route.Input{Zone: "a", Zones: zones, Now: epoch}
		in.Routing = config.Routing{Policy: rapid.SampledFrom(policies).Draw(t, "policy")}
		for i := range rapid.IntRange(0, 12).Draw(t, "servers") {
			in.Servers = append(in.Servers, genServer(t, i))
		}
		r := &route.Request{
			Pool: "chat", Model: "m", PromptTokens: 2000, MaxTokens: 500, Now: epoch,
			Prefix: chain(uint64(rapid.IntRange(0, 3).Draw(t, "doc")), rapid.IntRange(0, 40).Draw(t, "blocks")),
			Seed:   rapid.Uint64().Draw(t, "seed"),
		}
		excluded := make(map[machine.ID]bool)
		for i := range rapid.IntRange(0, 4).Draw(t, "tried") {
			id := machine.ID(fmt.Sprint("s", i))
			r.Exclude = append(r.Exclude, id)
			excluded[id] = true
		}
		possible, serving := false, false
		for i := range in.Servers {
			s := &in.Servers[i]
			if routable(s) && !excluded[s.ID] {
				possible = true
				serving = serving || (s.State.Lifecycle == machine.Serving && !s.State.Unreachable)
			}
		}
		choice, ok := route.NewView(in).Choose(r)
		if ok != possible {
			t.Fatalf("Choose found a server: %v, want %v", ok, possible)
		}
		if !ok {
			return
		}
		if !routable(choice.Server) || excluded[choice.Server.ID] {
			t.Fatalf("Choose returned an unroutable or excluded server: %+v", choice.Server)
		}
		if serving && (choice.Server.State.Lifecycle != machine.Serving || choice.Server.State.Unreachable) {
			t.Fatalf("Choose returned unobserved or unreachable %s although a serving one exists", choice.Server.ID)
		}
	})
}

// Without lost events, a view contains exactly the added blocks that were not
// removed. After a gap it contains at least the blocks added since. Later events
// do not change a view.
func TestCacheViewMatchesEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b route.CacheBuilder
		all, sinceGap := make(map[uint64]bool), make(map[uint64]bool)
		gap := false
		for range rapid.IntRange(0, 200).Draw(t, "events") {
			hash := rapid.Uint64Range(0, 30).Draw(t, "hash")
			switch rapid.IntRange(0, 20).Draw(t, "event") {
			case 0:
				b.Gap()
				gap, sinceGap = true, make(map[uint64]bool)
			case 1, 2, 3, 4, 5, 6, 7:
				b.Removed(hash)
				delete(all, hash)
				delete(sinceGap, hash)
			default:
				b.Added(hash)
				all[hash], sinceGap[hash] = true, true
			}
		}
		view := b.View()
		b.Added(1000)
		for hash := range uint64(31) {
			if known := view.Known(hash); known && !all[hash] || !known && sinceGap[hash] || !gap && known != all[hash] {
				t.Fatalf("Known(%d) = %v; added: %v, added since the gap: %v", hash, known, all[hash], sinceGap[hash])
			}
		}
		if view.Known(1000) {
			t.Fatal("an event after View changed the view")
		}
	})
}

func TestChoosePrefersCachedPrefixUntilOverload(t *testing.T) {
	prompt := chain(7, 40)
	in := route.Input{Zone: "a", Zones: zones, Now: epoch}
	for i := range 20 {
		in.Servers = append(in.Servers, server(fmt.Sprint("s", i)))
	}
	r := &route.Request{Pool: "chat", Model: "m", Prefix: prompt, PromptTokens: 2560, MaxTokens: 100, Now: epoch}
	affinity, ok := route.NewView(in).Choose(r)
	if !ok || affinity.Reason != route.PrefixAffinity {
		t.Fatalf("choice without caches = %+v, want reason %v", affinity, route.PrefixAffinity)
	}
	for i := range in.Servers {
		if in.Servers[i].ID == affinity.Server.ID {
			var b route.CacheBuilder
			b.Added(prompt[:36]...)
			in.Servers[i].PrefixCache = b.View()
		}
	}
	view := route.NewView(in)
	for seed := range uint64(20) {
		r.Seed = seed
		hit, _ := view.Choose(r)
		if hit.Server.ID != affinity.Server.ID || hit.Reason != route.PrefixHit || hit.ReusableTokens != 36*64 {
			t.Fatalf("seed %d: chose %s, %v, %d tokens; want %s, %v, %d tokens",
				seed, hit.Server.ID, hit.Reason, hit.ReusableTokens, affinity.Server.ID, route.PrefixHit, 36*64)
		}
	}
	for range 64 {
		affinity.Server.InFlight.Add(2560)
	}
	spilled, _ := view.Choose(r)
	if spilled.Server.ID == affinity.Server.ID || spilled.Reason != route.BoundedLoad {
		t.Fatalf("with %s overloaded: chose %s, %v; want another server, %v",
			affinity.Server.ID, spilled.Server.ID, spilled.Reason, route.BoundedLoad)
	}
}

// Choose accepts a short queue of prompts at the server that has the prefix
// cached, because queued tokens cost as much as recomputed ones.
func TestChooseAcceptsShortQueueForCachedPrefix(t *testing.T) {
	prompt := chain(7, 128)
	in := route.Input{Zone: "a", Zones: zones, Now: epoch}
	for i := range 20 {
		in.Servers = append(in.Servers, server(fmt.Sprint("s", i)))
	}
	var b route.CacheBuilder
	b.Added(prompt...)
	for i := range in.Servers {
		in.Servers[i].State.Load.Running = 12
	}
	holder := &in.Servers[3]
	holder.PrefixCache = b.View()
	r := &route.Request{Pool: "chat", Model: "m", Prefix: prompt, PromptTokens: 8192, MaxTokens: 100, Now: epoch}
	for _, c := range []struct {
		running int
		want    bool
	}{{0, true}, {17, true}, {23, false}} {
		holder.State.Load.Running = min(c.running, 16)
		holder.State.Load.Queued = c.running - holder.State.Load.Running
		holder.State.Load.QueuedTokens = c.running * 2000
		in.Index = route.NewIndex(10)
		route.NewCacheBuilder(holder.ID, in.Index).Added(prompt...)
		choice, _ := route.NewView(in).Choose(r)
		if got := choice.Server.ID == holder.ID; got != c.want {
			t.Errorf("%d requests on holder %s: chose %s, %v; want the holder: %v",
				c.running, holder.ID, choice.Server.ID, choice.Reason, c.want)
		}
	}
}

// A load report gives the current generation rate, which is low while a server is
// nearly idle or processes prompts. A low rate must not make the server's cached
// prefix look expensive.
func TestChooseIgnoresLowReportedRate(t *testing.T) {
	prompt := chain(7, 128)
	r := &route.Request{Pool: "chat", Model: "m", Prefix: prompt, PromptTokens: 8192, MaxTokens: 100, Now: epoch}
	for _, rate := range []int{1, 50, 400} {
		in := route.Input{Zone: "a", Zones: zones, Now: epoch, Index: route.NewIndex(10)}
		for i := range 20 {
			s := server(fmt.Sprint("s", i))
			s.State.Load.Running = 16
			in.Servers = append(in.Servers, s)
		}
		holder := &in.Servers[3]
		b := route.NewCacheBuilder(holder.ID, in.Index)
		b.Added(prompt...)
		holder.PrefixCache = b.View()
		holder.State.Load.Queued, holder.State.Load.QueuedTokens = 2, 18*500
		holder.State.Load.TokensPerSecond = rate
		if choice, _ := route.NewView(in).Choose(r); choice.Server.ID != holder.ID {
			t.Errorf("%d tokens/s reported: chose %s, %v; want holder %s", rate, choice.Server.ID, choice.Reason, holder.ID)
		}
	}
}

func benchmarkView(policy string) (*route.View, *route.Request) {
	in := route.Input{Zone: "a", Zones: zones, Now: epoch, Routing: config.Routing{Policy: policy}, Index: route.NewIndex(18)}
	prompt := chain(3, 500)
	for i := range 200 {
		s := server(fmt.Sprint("s", i))
		b := route.NewCacheBuilder(s.ID, in.Index)
		b.Added(chain(uint64(i), 2000)...)
		b.Added(prompt[:(i*7)%400]...)
		s.PrefixCache = b.View()
		s.State.Load.Running = i % 16
		in.Servers = append(in.Servers, s)
	}
	return route.NewView(in), &route.Request{Pool: "chat", Model: "m", Prefix: prompt, PromptTokens: 32000, MaxTokens: 800, Now: epoch}
}

func TestChooseDoesNotAllocate(t *testing.T) {
	for _, policy := range policies {
		view, r := benchmarkView(policy)
		if n := testing.AllocsPerRun(100, func() { view.Choose(r); r.Seed++ }); n != 0 {
			t.Errorf("policy %q: %v allocations per choice, want 0", policy, n)
		}
	}
}

// BenchmarkChoose measures one Choose among 200 servers.
func BenchmarkChoose(b *testing.B) {
	for _, policy := range policies[1:] {
		b.Run(policy, func(b *testing.B) {
			view, r := benchmarkView(policy)
			b.ReportAllocs()
			for b.Loop() {
				view.Choose(r)
				r.Seed++
			}
		})
	}
}

// BenchmarkNewView measures the construction of a view of 200 servers.
func BenchmarkNewView(b *testing.B) {
	in := route.Input{Zone: "a", Zones: zones, Now: epoch}
	for i := range 200 {
		in.Servers = append(in.Servers, server(fmt.Sprint("s", i)))
	}
	b.ReportAllocs()
	for b.Loop() {
		route.NewView(in)
	}
}

// BenchmarkCacheBuilderMemory measures the memory of a builder and its view per
// cached block.
func BenchmarkCacheBuilderMemory(b *testing.B) {
	const blocks, servers = 4000, 50
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		views := make([]route.CacheView, servers)
		builders := make([]route.CacheBuilder, servers)
		for i := range views {
			builders[i].Added(chain(uint64(i), blocks)...)
			views[i] = builders[i].View()
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/blocks/servers, "B/block")
		runtime.KeepAlive(views)
		runtime.KeepAlive(builders)
	}
}
