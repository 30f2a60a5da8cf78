package peers

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/brittle"
	"kumquatyard/internal/quarantine"
	"kumquatyard/internal/ratelimit"
	"kumquatyard/internal/rollup"
	pb "kumquatyard/proto/kumquat/v1"
)

// noQuotas ignores quotas.
type noQuotas struct{}

func (noQuotas) Record(uint32, float64, float64, time.Time) {}
func (noQuotas) Known(bool, time.Time) bool                 { return true }
func (noQuotas) Levels(int, time.Time) []*pb.WorkspaceLevel { return nil }
func (noQuotas) Follow([]*pb.WorkspaceLevel, time.Time)     {}

// instance is an Exchange and what it received.
type instance struct {
	*Exchange
	address string

	mu      sync.Mutex
	others  rollup.Others
	sums    int
	usage   map[string]int
	changes map[uint64]int
	// lastChanges are the changes of the store that arrived last.
	lastChanges *pb.StoreChanges
	quarantine  *quarantine.Tracker
	limits      *ratelimit.Tracker
	brittle     *brittle.Tracker
	// change changes the states that the instance sends; may be nil.
	change func(*pb.MemberState)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.LocalAddr().String()
}

func newInstance(t *testing.T, name, zone string) *instance {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	i := &instance{address: freeAddress(t), usage: make(map[string]int), changes: make(map[uint64]int), quarantine: quarantine.New(logrus.NewEntry(log)), limits: ratelimit.New(name, logrus.NewEntry(log)), brittle: brittle.New(name, logrus.NewEntry(log))}
	i.Exchange = New(Options{
		Self:    &pb.Instance{Name: name, Zone: zone, Incarnation: 1, Address: i.address, StatusAddress: "status of " + name},
		Quotas:  noQuotas{},
		Collect: i.collect, Apply: i.apply, Log: logrus.NewEntry(log),
		CollectUsage: func(withOthers bool) *pb.UsageCounts {
			m := &pb.UsageCounts{Windows: []*pb.UsageWindow{{Window: 7}}}
			if withOthers {
				m.Others = []*pb.InstanceUsage{{Incarnation: "known to " + name}}
			}
			return m
		},
		ApplyUsage: func(m *pb.UsageCounts) {
			i.mu.Lock()
			defer i.mu.Unlock()
			i.usage[m.GetFrom().GetName()]++
			for _, u := range m.GetOthers() {
				i.usage[u.GetIncarnation()]++
			}
		},
		ApplyChanges: func(m *pb.StoreChanges, _ time.Time) {
			i.mu.Lock()
			defer i.mu.Unlock()
			i.changes[m.GetRevision()]++
			i.lastChanges = m
		},
		Evidence: i.quarantine.Evidence, ApplyEvidence: i.quarantine.Merge, Limits: i.limits.Messages, ApplyLimits: i.limits.Merge, Brittle: i.brittle.Messages, ApplyBrittle: i.brittle.Merge,
	})
	return i
}

// collect returns a state with one active request at a server of the instance's name.
func (i *instance) collect() *pb.MemberState {
	m := &pb.MemberState{Work: rollup.EncodeWork(map[uint32]rollup.Work{rollup.Key(i.options.Self.GetName()): {Active: 1}})}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.change != nil {
		i.change(m)
	}
	return m
}

func (i *instance) apply(others rollup.Others, _ *pb.FleetSum, _ time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.others = others
	i.sums++
}

// knows reports whether the last sum has the work of exactly the given instances, besides
// this one.
func (i *instance) knows(names ...string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	active := 0
	for _, w := range i.others.Work {
		active += w.Active
	}
	for _, name := range names {
		if i.others.Work[rollup.Key(name)].Active != 1 {
			return false
		}
	}
	return active == len(names) && i.others.Instances == len(names)+1
}

// cluster is a group of instances that all know each other from the store.
type cluster struct {
	t         *testing.T
	instances map[string]*instance
	stop      map[string]func()
}

// newCluster starts instances named by zone and number, such as a0.
func newCluster(t *testing.T, zones map[string]int) *cluster {
	c := &cluster{t: t, instances: make(map[string]*instance), stop: make(map[string]func())}
	for zone, n := range zones {
		for k := range n {
			name := fmt.Sprint(zone, k)
			c.instances[name] = newInstance(t, name, zone)
		}
	}
	for name := range c.instances {
		c.start(name)
	}
	t.Cleanup(func() {
		for _, stop := range c.stop {
			stop()
		}
	})
	return c
}

func (c *cluster) start(name string) {
	i := c.instances[name]
	var members []*pb.Instance
	for _, other := range c.instances {
		members = append(members, other.options.Self)
	}
	i.SetMembers(members)
	ctx, cancel := context.WithCancel(c.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := i.Run(ctx); err != nil {
			c.t.Error(err)
		}
	}()
	c.stop[name] = func() {
		cancel()
		<-done
	}
}

// others returns the names of all instances but the given ones.
func (c *cluster) others(except ...string) []string {
	skip := make(map[string]bool)
	for _, name := range except {
		skip[name] = true
	}
	var names []string
	for name := range c.instances {
		if !skip[name] {
			names = append(names, name)
		}
	}
	return names
}

// await waits until a condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within 10 s", what)
		}
	}
}

// allKnow waits until each running instance knows the work of all other running ones.
func (c *cluster) allKnow(stopped ...string) {
	c.t.Helper()
	for _, name := range c.others(stopped...) {
		await(c.t, name+" knows the others' work", func() bool {
			return c.instances[name].knows(c.others(append(stopped, name)...)...)
		})
	}
}

// Three zones of different sizes: every instance knows the work of all others. That holds
// again after the first zone lost both of its aggregators, and after all of a zone is gone.
func TestInstancesKnowEachOthersWork(t *testing.T) {
	c := newCluster(t, map[string]int{"a": 4, "b": 2, "c": 1})
	c.allKnow()
	if got := c.instances["c0"].InstanceCount(time.Now()); got != 7 {
		t.Errorf("c0 counts %d instances, want 7", got)
	}
	var lost []string
	for _, aggregator := range rollup.First(c.instances["a0"].zones["a"], func(*pb.Instance) bool { return true }) {
		lost = append(lost, aggregator.GetName())
		c.stop[aggregator.GetName()]()
	}
	c.allKnow(lost...)
	for _, name := range []string{"b0", "b1"} {
		lost = append(lost, name)
		c.stop[name]()
	}
	c.allKnow(lost...)
}

// An aggregator that is stopping says so, and another one takes its place before it is
// gone.
func TestStoppingAggregatorIsReplaced(t *testing.T) {
	c := newCluster(t, map[string]int{"a": 4})
	c.allKnow()
	first := c.instances["a0"].zones["a"][0].GetName()
	c.instances[first].mu.Lock()
	c.instances[first].change = func(m *pb.MemberState) { m.Stopping = true }
	c.instances[first].mu.Unlock()
	for _, name := range c.others(first) {
		await(t, name+" chooses other aggregators", func() bool {
			e := c.instances[name]
			e.Exchange.mu.Lock()
			defer e.Exchange.mu.Unlock()
			choice := e.chosen[first]
			return choice == nil || choice.since.IsZero()
		})
	}
}

// Usage counts go to the holder of the duties, which also learns what others know while it
// is new, and knows when all have reported.
func TestUsageCountsGoToTheHolder(t *testing.T) {
	c := newCluster(t, map[string]int{"a": 2, "b": 2})
	holder := c.instances["b1"]
	holder.mu.Lock()
	holder.change = func(m *pb.MemberState) { m.HoldsDuties = true }
	holder.mu.Unlock()
	await(t, "all reported", func() bool { return holder.AllReported(5 * time.Second) })
	if holder.AllReported(0) {
		t.Error("all counts are said to have arrived within no time")
	}
	// An instance whose first aggregator is b1 may have reported before it knew that b1
	// holds the duties.
	for _, name := range c.others("b1") {
		await(t, "b1 is told what "+name+" knows of others", func() bool {
			holder.mu.Lock()
			defer holder.mu.Unlock()
			return holder.usage["known to "+name] > 0
		})
	}
}

// The newest configuration that an instance serves with is known in all zones, with the
// address to read it from.
func TestNewestConfigurationIsKnownEverywhere(t *testing.T) {
	c := newCluster(t, map[string]int{"a": 2, "b": 2})
	for name, i := range c.instances {
		i.mu.Lock()
		i.change = func(m *pb.MemberState) {
			m.ConfigVersion = 3
			if name == "a1" {
				m.ConfigVersion = 4
			}
		}
		i.mu.Unlock()
	}
	for name, i := range c.instances {
		await(t, name+" knows version 4", func() bool {
			version, address := i.NewestConfig(time.Now())
			return version == 4 && address == "status of a1"
		})
	}
}

func TestIntervalIsBounded(t *testing.T) {
	for n, want := range map[int]time.Duration{2: minInterval, 9: minInterval, 100: 125 * time.Millisecond, 300: maxInterval, 3000: maxInterval} {
		i := newInstance(t, "a", "z")
		var members []*pb.Instance
		for k := range n - 1 {
			members = append(members, &pb.Instance{Name: fmt.Sprint("m", k), Zone: "z", Address: "127.0.0.1:9"})
		}
		i.SetMembers(members)
		if got := i.Interval(); got != want {
			t.Errorf("%d instances: interval %v, want %v", n, got, want)
		}
	}
}

// A sum to many members over a narrow link is sent less often.
func TestSumsFillAPartOfTheLinkOnly(t *testing.T) {
	i := newInstance(t, "a", "z")
	var members []*pb.Instance
	for k := range 60 {
		members = append(members, &pb.Instance{Name: fmt.Sprint("m", k), Zone: "z", Address: "127.0.0.1:9"})
	}
	i.SetMembers(members)
	i.sumBytes = 2500
	i.options.Self.LinkMbps = 200
	if got := i.sumInterval(); got > sumIntervals*maxInterval {
		t.Errorf("interval %v over a link of 200 Mbit/s, want at most %v", got, sumIntervals*maxInterval)
	}
	i.options.Self.LinkMbps = 20
	perSecond := float64(8*2500*61) / i.sumInterval().Seconds()
	if limit := 20e6 * sumLinkShare * 1.01; perSecond > limit {
		t.Errorf("%.0f bits a second over a link of 20 Mbit/s, want at most %.0f", perSecond, limit)
	}
}

// Evidence against a part of prompts that one instance has reaches all others, in other
// zones too, and an instance that starts later.
func TestEvidenceReachesAllInstances(t *testing.T) {
	c := newCluster(t, map[string]int{"a": 3, "b": 3})
	c.allKnow()
	const part = 666
	first := c.instances["b2"].quarantine
	for n := range 5 {
		first.RecordLoss(quarantine.Loss{Server: fmt.Sprint(n), Request: fmt.Sprint(n), Parts: []uint64{part}, Begun: true}, time.Now().Add(time.Duration(n-6)*200*time.Millisecond))
	}
	isHeld := func() bool {
		for _, i := range c.instances {
			if _, _, held := i.quarantine.Quarantined([]uint64{part}, time.Now()); !held {
				return false
			}
		}
		return true
	}
	await(t, "all instances to hold the part back", isHeld)
	c.instances["a9"] = newInstance(t, "a9", "a")
	c.start("a9")
	await(t, "the new instance to hold the part back", isHeld)
}

// A limit that a server named to one instance, and its end, reach all others, also one that
// starts later.
func TestLimitsReachAllInstances(t *testing.T) {
	c := newCluster(t, map[string]int{"a": 3, "b": 3})
	c.allKnow()
	server := ratelimit.Incarnation{ID: "s", StartedAtMs: 1, Address: "10.0.0.1:80"}
	observe := func(l ratelimit.Limit) {
		now := time.Now()
		c.instances["b2"].limits.Observe(server, ratelimit.Observation{Limit: l, AskedAt: now, AnsweredAt: now})
	}
	allKnow := func(limited bool) func() bool {
		return func() bool {
			for _, i := range c.instances {
				if i.limits.IsLimited(server) != limited {
					return false
				}
			}
			return true
		}
	}
	observe(ratelimit.Limit{Kind: ratelimit.Limited, PerSecond: 2})
	await(t, "all instances to know of the limit", allKnow(true))
	c.instances["a9"] = newInstance(t, "a9", "a")
	c.start("a9")
	await(t, "the new instance to know of the limit", allKnow(true))
	observe(ratelimit.Limit{})
	await(t, "all instances to know of its end", allKnow(false))
}

// Ends of servers under one request, each seen by another instance, are added up by all.
func TestEvidenceAgainstARequestAddsUp(t *testing.T) {
	c := newCluster(t, map[string]int{"a": 2, "b": 2})
	c.allKnow()
	const identity = 1 << 40
	for n, name := range []string{"a0", "b0", "b1"} {
		ended := time.Now().Add(time.Duration(n-6) * 200 * time.Millisecond)
		c.instances[name].quarantine.RecordLoss(quarantine.Loss{Server: fmt.Sprint(n), Request: fmt.Sprint(n), Identity: identity, SentAt: ended.Add(-20 * time.Millisecond)}, ended)
	}
	await(t, "all instances to hold the request back", func() bool {
		for _, i := range c.instances {
			if _, held := i.quarantine.QuarantinedRequest(identity, time.Now()); !held {
				return false
			}
		}
		return true
	})
}

// One instance learns from an answer that the servers of a pool are brittle, and later that they
// no longer are: all others know it.
func TestInstancesTellEachOtherOfBrittlePools(t *testing.T) {
	c := newCluster(t, map[string]int{"a": 3, "b": 3})
	c.allKnow()
	observe := func(isBrittle bool) {
		now := time.Now()
		c.instances["b2"].brittle.Observe("p", isBrittle, now, now)
	}
	allKnow := func(want bool) func() bool {
		return func() bool {
			for _, i := range c.instances {
				if i.brittle.IsBrittle("p") != want {
					return false
				}
			}
			return true
		}
	}
	observe(true)
	await(t, "all instances to know that the pool is brittle", allKnow(true))
	observe(false)
	await(t, "all instances to know that it is no longer", allKnow(false))
}
