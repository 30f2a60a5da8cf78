package fleet

import (
	"testing"
	"time"

	"kumquatyard/internal/agent"
	"kumquatyard/internal/config"
	"kumquatyard/internal/platform"
	pb "kumquatyard/proto/kumquat/v1"
)

// patience is longer than any bound under test on a busy machine.
const patience = 20 * time.Second

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
	if !f.Await(patience, func(n *Node) bool { return f.serving(n) == want }) {
		for _, n := range f.Nodes {
			t.Logf("%s: gateway knows %d serving servers of %d, config %d", n.ID, f.serving(n), want, n.Config.Version())
		}
		t.Fatal("gateways do not know all servers of their scope")
	}
	return f
}

func (f *Fleet) serving(n *Node) (count int) {
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

func (f *Fleet) gatewaysSee(id string, match func(*pb.ServerState) bool) func(n *Node) bool {
	return func(n *Node) bool {
		return f.Gateways.Read(n, func(g *GatewayView) bool { return match(g.Servers[id]) })
	}
}

func leaving(s *pb.ServerState) bool { return s.GetLifecycle() == pb.Lifecycle_LIFECYCLE_LEAVING }

func TestLeavingServersReachEachGateway(t *testing.T) {
	f := start(t, 3, 1, 2, 4)
	own, listed := ServerName(0, 1), ServerName(1, 2)
	f.Servers.Get(own).Lifecycle.Store("leaving")
	f.Instances.Put(platform.Instance{ID: listed, Kind: "engine", Zone: ZoneName(1), State: "leaving"})
	for _, id := range []string{own, listed} {
		if !f.Await(patience, f.gatewaysSee(id, leaving)) {
			t.Errorf("some gateway does not know that %s leaves", id)
		}
	}
	// The list still says live while the server says that it leaves.
	f.Instances.Put(platform.Instance{ID: own, Kind: "engine", Zone: ZoneName(0), State: "live"})
	time.Sleep(3 * intervals().List)
	if !f.Await(patience, f.gatewaysSee(own, leaving)) {
		t.Errorf("%s came back by a lagging list", own)
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
		seen := f.gatewaysSee(ServerName(0, j), leaving)
		if !f.Await(patience, func(n *Node) bool { return n == frozen || seen(n) }) {
			t.Fatalf("gateways beside live agents do not know that %s leaves", ServerName(0, j))
		}
	}
	frozen.Thaw()
	if !f.Await(patience, f.gatewaysSee(ServerName(0, 5), leaving)) {
		t.Error("agent that woke did not catch up")
	}
}

func TestCutPeersMeetAgain(t *testing.T) {
	f := start(t, 1, 1, 3, 4)
	lone := f.Nodes[2]
	lone.SetPartitioned(f.Nodes[0], true)
	lone.SetPartitioned(f.Nodes[1], true)
	if !f.Await(patience, func(n *Node) bool { return n == lone || len(n.Agent.Live()) == 2 }) {
		t.Fatal("cut peer still counts as live")
	}
	// Each side observes all servers by itself meanwhile.
	f.Servers.Get(ServerName(0, 0)).Lifecycle.Store("leaving")
	if !f.Await(patience, f.gatewaysSee(ServerName(0, 0), leaving)) {
		t.Error("a side of the cut does not know that the server leaves")
	}
	lone.SetPartitioned(f.Nodes[0], false)
	lone.SetPartitioned(f.Nodes[1], false)
	if !f.Await(patience, func(n *Node) bool { return len(n.Agent.Live()) == 3 }) {
		t.Error("peers did not meet again after the cut")
	}
}

func TestGatewayThatRefusesIsSentEverything(t *testing.T) {
	f := start(t, 1, 1, 1, 3)
	refuse := func(refuse bool) {
		f.Gateways.Read(f.Nodes[0], func(g *GatewayView) bool {
			g.Refuse = refuse
			if refuse {
				clear(g.Servers)
			}
			return true
		})
	}
	refuse(true)
	time.Sleep(5 * intervals().View)
	refuse(false)
	if !f.Await(patience, func(n *Node) bool { return f.serving(n) == 3 }) {
		t.Error("gateway did not get a full view after its refusal")
	}
}

func TestUnreachableServerIsMarked(t *testing.T) {
	f := start(t, 1, 1, 2, 3)
	f.Servers.Get(ServerName(0, 1)).Down.Store(true)
	if !f.Await(patience, f.gatewaysSee(ServerName(0, 1), (*pb.ServerState).GetUnreachable)) {
		t.Error("server that answers errors is not marked as unreachable")
	}
	f.Servers.Get(ServerName(0, 1)).Down.Store(false)
	if !f.Await(patience, func(n *Node) bool { return f.serving(n) == 3 }) {
		t.Error("server that answers again is not serving")
	}
}

func TestConfigurationAndSummariesSpread(t *testing.T) {
	f := start(t, 2, 2, 2, 2)
	if !f.Await(patience, func(n *Node) bool {
		return f.Gateways.Read(n, func(g *GatewayView) bool { return len(g.Zones) == 1 && g.Zones[0].GetServing() == 2 })
	}) {
		t.Error("some gateway lacks the other zone's summary")
	}
	err := f.Apply(config.Change{ID: "more", Puts: map[string][]byte{"overrides/" + ServerName(0, 0): []byte("drain: true\n")}})
	if err != nil {
		t.Fatal(err)
	}
	if !f.Await(patience, func(n *Node) bool {
		return f.Gateways.Read(n, func(g *GatewayView) bool { return g.Config == 2 })
	}) {
		t.Error("some gateway lacks the new configuration")
	}
	if waiting := f.KV.Counts().Waiting; waiting > 4 {
		t.Errorf("%d watches wait, want at most two a zone", waiting)
	}
}

func TestStopTellsPeers(t *testing.T) {
	f := start(t, 1, 1, 3, 2)
	f.Nodes[0].Stop()
	if !f.Await(patience, func(n *Node) bool {
		return n == f.Nodes[0] || f.Gateways.Read(n, func(g *GatewayView) bool {
			for _, p := range g.Peers {
				if p.GetId() == f.Nodes[0].ID {
					return p.GetLeaving()
				}
			}
			return false
		})
	}) {
		t.Error("some gateway does not know that the agent leaves")
	}
}
