package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel"

	"kumquatyard/internal/admit"
	"kumquatyard/internal/config"
	"kumquatyard/internal/contract"
	"kumquatyard/internal/evacuate"
	"kumquatyard/internal/link"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/retry"
	"kumquatyard/internal/telemetry"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// reportInterval is the time between reports to the agent.
	reportInterval = time.Second
	// rebuildInterval is the time between rebuilds of the routing view from the
	// gateway's own observations.
	rebuildInterval = 500 * time.Millisecond
	// agentTimeout bounds calls to the agent other than claims.
	agentTimeout = 2 * time.Second
	// policyRoundRobin uses a counter as the routing seed; the other policies
	// use a random one.
	policyRoundRobin = "round_robin"
)

var tracer = otel.Tracer("kumquatyard/gateway")

// Gateway serves callers' requests on one entry instance.
type Gateway struct {
	settings   Settings
	log        *logrus.Entry
	agent      link.Caller
	upstream   *upstream
	tracker    *tracker
	snapshots  *snapshots
	runs       *registry
	journal    *journal
	evacuation evacuation
	budget     *retry.Budget
	health     telemetry.Health
	// incarnation distinguishes this start of the process from earlier ones.
	incarnation       uint64
	heartbeats        atomic.Uint64
	roundRobinCounter atomic.Uint64

	// queues and hedgers hold the *admissionQueue and *hedger of each pool.
	queues   sync.Map
	hedgers  sync.Map
	activity activity
	// stopping is closed when the grace period of a planned stop is over.
	stopping chan struct{}
	draining atomic.Bool
}

// New returns a gateway that talks to its agent through agent.
func New(s Settings, agent link.Caller, log *logrus.Entry) *Gateway {
	g := &Gateway{
		settings:    s,
		log:         log,
		agent:       agent,
		upstream:    newUpstream(),
		tracker:     &tracker{},
		runs:        &registry{},
		evacuation:  evacuation{planned: make(map[*run]evacuate.Action)},
		journal:     newJournal(),
		incarnation: uint64(time.Now().UnixNano()),
		stopping:    make(chan struct{}),
	}
	g.budget = retry.NewBudget(func(ws string) float64 { return g.workspace(ws).RetryRatio })
	g.snapshots = newSnapshots(s.Zone, g.tracker, g.snapshotChanged)
	return g
}

// Run serves until ctx is done, then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", g.settings.Listen)
	if err != nil {
		return fmt.Errorf("open listener for callers: %w", err)
	}
	app := g.newApp()
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg conc.WaitGroup
	failures := make(chan error, 3)
	start := func(name string, f func() error) {
		wg.Go(func() {
			if err := f(); err != nil && background.Err() == nil {
				failures <- fmt.Errorf("%s: %w", name, err)
			}
		})
	}
	start("link", func() error {
		return link.Serve(background, g.settings.Link, link.HandlerFunc(g.Handle), g.log)
	})
	start("telemetry", func() error {
		return telemetry.Serve(background, g.settings.Telemetry.Listen, &g.health, nil)
	})
	start("callers", func() error {
		return app.Listener(deadlineListener{listener, g.settings.WriteTimeout}, fiber.ListenConfig{DisableStartupMessage: true})
	})
	wg.Go(func() { g.maintain(background) })
	g.log.WithField("listen", g.settings.Listen).Info("gateway started")
	select {
	case err = <-failures:
	case <-ctx.Done():
		err = g.stop(app)
	}
	cancel()
	wg.Wait()
	return err
}

// Handle implements link.Handler for messages from the agent.
func (g *Gateway) Handle(_ context.Context, _ string, req *pb.Request) (*pb.Response, error) {
	switch body := req.GetBody().(type) {
	case *pb.Request_View:
		if err := g.snapshots.apply(body.View, time.Now()); err != nil {
			return nil, err
		}
		g.health.SetReady(!g.refusesWork())
		return &pb.Response{Body: &pb.Response_Ack{Ack: &pb.Ack{}}}, nil
	case *pb.Request_Explain:
		return &pb.Response{Body: &pb.Response_Explain{Explain: g.journal.explain(body.Explain.GetRequestId())}}, nil
	case *pb.Request_Heartbeat:
		return &pb.Response{Body: &pb.Response_Heartbeat{Heartbeat: &pb.HeartbeatReply{From: g.self()}}}, nil
	default:
		return nil, contract.Refusal(contract.KindNotFound, 0, "the gateway does not answer this message")
	}
}

// refusesWork reports whether the gateway is stopping or drained by operators.
func (g *Gateway) refusesWork() bool {
	return g.draining.Load() || g.snapshots.load().cfg.Drained[machine.ID(g.settings.ID)]
}

func (g *Gateway) self() *pb.Peer {
	return &pb.Peer{
		Id:          g.settings.ID,
		Incarnation: g.incarnation,
		Zone:        g.settings.Zone,
		Address:     g.settings.Link.Listen,
		Role:        "gateway",
		Leaving:     g.draining.Load(),
	}
}

// maintain reports to the agent and rebuilds the routing view periodically
// until ctx is done.
func (g *Gateway) maintain(ctx context.Context) {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	rebuild := time.NewTicker(rebuildInterval)
	defer rebuild.Stop()
	g.reportToAgent(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-report.C:
			g.reportToAgent(ctx)
		case now := <-rebuild.C:
			g.snapshots.rebuild(now)
		}
	}
}

// reportToAgent sends the agent a heartbeat, to which the agent responds by
// pushing views, and then a report of what the gateway observed of the servers.
func (g *Gateway) reportToAgent(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, agentTimeout)
	defer cancel()
	beat := &pb.Heartbeat{From: g.self(), Sequence: g.heartbeats.Add(1)}
	if snap := g.snapshots.load(); snap != nil {
		beat.ConfigVersion = snap.cfg.Version
	}
	if _, err := g.agent.Call(ctx, g.settings.Agent, &pb.Request{Body: &pb.Request_Heartbeat{Heartbeat: beat}}); err != nil {
		g.log.WithError(err).Debug("heartbeat to the agent failed; repeated at the next interval")
		return
	}
	report := &pb.Request{Body: &pb.Request_GatewayReport{GatewayReport: g.tracker.report(g.settings.ID)}}
	if _, err := g.agent.Call(ctx, g.settings.Agent, report); err != nil {
		g.log.WithError(err).Debug("report of load and failures to the agent failed; repeated at the next interval")
	}
}

// snapshotChanged applies a new snapshot: it resizes the admission queues and
// evacuates requests from leaving servers.
func (g *Gateway) snapshotChanged(snap *snapshot) {
	g.queues.Range(func(pool, value any) bool {
		value.(*admissionQueue).resize(slotShare(snap, pool.(string)))
		return true
	})
	g.evacuate(snap)
}

// admissionQueue returns a pool's admission queue, creating it on first use.
func (g *Gateway) admissionQueue(snap *snapshot, pool string) *admissionQueue {
	if found, ok := g.queues.Load(pool); ok {
		return found.(*admissionQueue)
	}
	created := newAdmissionQueue(g.queueLimits(snap, pool), func(ws string) int { return g.workspace(ws).Weight })
	found, _ := g.queues.LoadOrStore(pool, created)
	return found.(*admissionQueue)
}

func (g *Gateway) queueLimits(snap *snapshot, pool string) admit.Limits {
	return admit.Limits{
		Slots:         slotShare(snap, pool),
		QueueTokens:   snap.cfg.Limits.QueueTokens,
		QueueRequests: snap.cfg.Limits.QueueRequests,
		MaxInFlight:   func(ws string) int { return g.workspace(ws).MaxInFlight },
	}
}

// workspace returns the workspace's rules in the current snapshot, or the zero
// value when there are none.
func (g *Gateway) workspace(name string) config.Workspace {
	if snap := g.snapshots.load(); snap != nil {
		return snap.cfg.Workspaces[name]
	}
	return config.Workspace{}
}

// Slots assumed for servers that report none.
const (
	defaultEngineSlots  = 8
	defaultServiceSlots = 128
)

func slotsOf(s machine.Server, state machine.State) int {
	switch {
	case state.Load.Slots > 0:
		return state.Load.Slots
	case s.Kind == machine.Service:
		return defaultServiceSlots
	default:
		return defaultEngineSlots
	}
}

// slotShare returns the number of requests that this gateway may run
// concurrently on a pool: its share of the slots of servers that are not
// starting, leaving or gone.
func slotShare(snap *snapshot, pool string) int {
	slots := 0
	for id, s := range snap.cfg.Servers {
		state := snap.state(id)
		if s.Pool != pool || state.Lifecycle > machine.Serving || state.Lifecycle == machine.Starting {
			continue
		}
		slots += slotsOf(s, state)
	}
	gateways := max(1, snap.gateways)
	return max(1, (slots+gateways-1)/gateways)
}

// stop drains the gateway: it refuses new work, lets accepted requests finish
// within the grace period, ends the remaining streams with a reconnect event,
// and closes the callers' listener.
func (g *Gateway) stop(app *fiber.App) error {
	g.health.SetReady(false)
	time.Sleep(g.settings.DrainDelay)
	g.draining.Store(true)
	g.log.WithField("running", g.runs.len()).Info("draining")
	if !g.activity.wait(g.settings.GracePeriod) {
		close(g.stopping)
		g.activity.wait(g.settings.WriteTimeout)
	}
	err := app.ShutdownWithTimeout(g.settings.WriteTimeout)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("close the callers' listener: %w", err)
	}
	g.log.Info("stopped")
	return nil
}

// routeSeed returns the seed of one routing decision under the configured
// policy.
func (g *Gateway) routeSeed() uint64 {
	if g.snapshots.load().cfg.Routing.Policy == policyRoundRobin {
		return g.roundRobinCounter.Add(1)
	}
	return seed()
}

// seed returns a random seed.
func seed() uint64 { return rand.Uint64() }
