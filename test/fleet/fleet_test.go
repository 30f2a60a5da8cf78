package fleet

import (
	"testing"
	"time"

	"kumquatyard/internal/agent"
	"kumquatyard/internal/config"
	"kumquatyard/internal/platform"
	pb "kumquatyard/proto/kumquat/v1"
)

// awaitTimeout exceeds every bound under test, also on a busy machine.
const awaitTimeout = 20 * time.Second

func intervals() agent.Intervals {
	return agent.Intervals{
		Heartbeat: 200 * time.Millisecond, Digest: 400 * time.Millisecond, Observe: 200 * time.Millisecond,
		View: 200 * time.Millisecond, Summary: time.Second, List: time.Second,
	}
}

func start(t *testing.T, zones, regions, nodes, servers int) *Fleet {
	t.Helper()
	t.Parallel()
	f, err := Start(Options{
		KeyDir: t.TempDir(), Zones: zones, Regions: regions, NodesPerZone: nodes, ServersPerZone: servers,
		Intervals: intervals(), HashesPerPoll: 2,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	want := zones / regions * servers
	if !f.Await(awaitTimeout, func(n *Node) bool { return f.servingCount(n) == want }) {
		for _, n := range f.Nodes {
			t.Logf("%s: gateway has %d serving servers, want %d; config version %d", n.ID, f.servingCount(n), want, n.Config.Version())
		}
		t.Fatalf("not every gateway has all serving servers of its region after %v", awaitTimeout)
	}
	return f
}

func (f *Fleet) servingCount(n *Node) (count int) {
	f.Gateways.Read(n, func(g *GatewayView) bool {
		for _, s := range g.Servers {
			if s.GetLifecycle() == pb.Lifecycle_LIFECYCLE_SERVING && !s.GetUnreachable() {
				count++
			}
		}
		return true
	})
	return count
}

func (f *Fleet) gatewayHas(id string, match func(*pb.ServerState) bool) func(n *Node) bool {
	return func(n *Node) bool {
		return f.Gateways.Read(n, func(g *GatewayView) bool { return match(g.Servers[id]) })
	}
}

func isLeaving(s *pb.ServerState) bool { return s.GetLifecycle() == pb.Lifecycle_LIFECYCLE_LEAVING }

func TestLeavingServersReachAllGateways(t *testing.T) {
	f := start(t, 3, 1, 2, 4)
	own, listed := ServerName(0, 1), ServerName(1, 2)
	f.Servers.Get(own).Lifecycle.Store("leaving")
	f.Instances.Put(platform.Instance{ID: listed, Kind: "engine", Zone: ZoneName(1), State: "leaving"})
	for _, id := range []string{own, listed} {
		if !f.Await(awaitTimeout, f.gatewayHas(id, isLeaving)) {
			t.Errorf("not every gateway has %s as leaving after %v", id, awaitTimeout)
		}
	}
	// The instance list lags: it has the server as live while the server itself
	// reports leaving.
	f.Instances.Put(platform.Instance{ID: own, Kind: "engine", Zone: ZoneName(0), State: "live"})
	time.Sleep(3 * intervals().List)
	if !f.Await(awaitTimeout, f.gatewayHas(own, isLeaving)) {
		t.Errorf("%s is not leaving in every gateway after a stale instance list entry", own)
	}
}

func TestFrozenObserverIsReplaced(t *testing.T) {
	f := start(t, 1, 1, 3, 6)
	frozen := f.Nodes[0]
	frozen.Freeze()
	for j := range 6 {
		f.Servers.Get(ServerName(0, j)).Lifecycle.Store("leaving")
	}
	for j := range 6 {
		seen := f.gatewayHas(ServerName(0, j), isLeaving)
		if !f.Await(awaitTimeout, func(n *Node) bool { return n == frozen || seen(n) }) {
			t.Fatalf("not every gateway of a live agent has %s as leaving after %v", ServerName(0, j), awaitTimeout)
		}
	}
	frozen.Thaw()
	if !f.Await(awaitTimeout, f.gatewayHas(ServerName(0, 5), isLeaving)) {
		t.Error("not every gateway has the last server as leaving after the frozen agent resumed")
	}
}

func TestPartitionedPeersReconnect(t *testing.T) {
	f := start(t, 1, 1, 3, 4)
	isolated := f.Nodes[2]
	isolated.SetPartitioned(f.Nodes[0], true)
	isolated.SetPartitioned(f.Nodes[1], true)
	if !f.Await(awaitTimeout, func(n *Node) bool { return n == isolated || len(n.Agent.Live()) == 2 }) {
		t.Fatal("partitioned peer still counts as live")
	}
	// During the partition, each side observes all servers on its own.
	f.Servers.Get(ServerName(0, 0)).Lifecycle.Store("leaving")
	if !f.Await(awaitTimeout, f.gatewayHas(ServerName(0, 0), isLeaving)) {
		t.Error("not every gateway has the server as leaving during the partition")
	}
	isolated.SetPartitioned(f.Nodes[0], false)
	isolated.SetPartitioned(f.Nodes[1], false)
	if !f.Await(awaitTimeout, func(n *Node) bool { return len(n.Agent.Live()) == 3 }) {
		t.Error("not every agent has all 3 agents as live after the partition ended")
	}
}

func TestGatewayGetsFullViewAfterRefusal(t *testing.T) {
	f := start(t, 1, 1, 1, 3)
	setRefuse := func(refuse bool) {
		f.Gateways.Read(f.Nodes[0], func(g *GatewayView) bool {
			g.Refuse = refuse
			if refuse {
				clear(g.Servers)
			}
			return true
		})
	}
	setRefuse(true)
	time.Sleep(5 * intervals().View)
	setRefuse(false)
	if !f.Await(awaitTimeout, func(n *Node) bool { return f.servingCount(n) == 3 }) {
		t.Error("gateway did not get a full view after it refused views")
	}
}

func TestFailingServerIsMarkedUnreachable(t *testing.T) {
	f := start(t, 1, 1, 2, 3)
	f.Servers.Get(ServerName(0, 1)).Down.Store(true)
	if !f.Await(awaitTimeout, f.gatewayHas(ServerName(0, 1), (*pb.ServerState).GetUnreachable)) {
		t.Error("server that answers with errors is not marked unreachable in every gateway")
	}
	f.Servers.Get(ServerName(0, 1)).Down.Store(false)
	if !f.Await(awaitTimeout, func(n *Node) bool { return f.servingCount(n) == 3 }) {
		t.Error("server that answers again is not serving in every gateway")
	}
}

func TestConfigurationAndSummariesReachAllGateways(t *testing.T) {
	f := start(t, 2, 2, 2, 2)
	if !f.Await(awaitTimeout, func(n *Node) bool {
		return f.Gateways.Read(n, func(g *GatewayView) bool { return len(g.Zones) == 1 && g.Zones[0].GetServing() == 2 })
	}) {
		t.Error("not every gateway has the other zone's summary")
	}
	err := f.Apply(config.Change{ID: "more", Puts: map[string][]byte{"overrides/" + ServerName(0, 0): []byte("drain: true\n")}})
	if err != nil {
		t.Fatal(err)
	}
	if !f.Await(awaitTimeout, func(n *Node) bool {
		return f.Gateways.Read(n, func(g *GatewayView) bool { return g.Config == 2 })
	}) {
		t.Error("not every gateway has configuration version 2")
	}
	if waiting := f.KV.Counts().Waiting; waiting > 4 {
		t.Errorf("%d watches are open, want at most 4 (two per zone)", waiting)
	}
}

func TestStoppingAgentIsReportedAsLeaving(t *testing.T) {
	f := start(t, 1, 1, 3, 2)
	f.Nodes[0].Stop()
	if !f.Await(awaitTimeout, func(n *Node) bool {
		return n == f.Nodes[0] || f.Gateways.Read(n, func(g *GatewayView) bool {
			for _, p := range g.Peers {
				if p.GetId() == f.Nodes[0].ID {
					return p.GetLeaving()
				}
			}
			return false
		})
	}) {
		t.Error("not every other gateway has the stopped agent as leaving")
	}
}
