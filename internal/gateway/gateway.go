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
	// rebuildInterval is the time between views rebuilt from own observations.
	rebuildInterval = 500 * time.Millisecond
	// agentTimeout bounds a call to the agent that is not a claim.
	agentTimeout = 2 * time.Second
	// policyRoundRobin takes turns where the other policies draw lots.
	policyRoundRobin = "round_robin"
)

var tracer = otel.Tracer("kumquatyard/gateway")

// Gateway serves callers.
type Gateway struct {
	settings   Settings
	log        *logrus.Entry
	agent      link.Caller
	upstream   *upstream
	tracker    *tracker
	keeper     *keeper
	runs       *registry
	journal    *journal
	evacuation evacuation
	budget     *retry.Budget
	health     telemetry.Health
	// incarnation tells this start of the process from earlier ones.
	incarnation uint64
	heartbeats  atomic.Uint64
	turns       atomic.Uint64

	lanes    sync.Map
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
	g.keeper = newKeeper(s.Zone, g.tracker, g.pictureChanged)
	return g
}

// Run serves until ctx is done, then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", g.settings.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
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
		if err := g.keeper.apply(body.View, time.Now()); err != nil {
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
	return g.draining.Load() || g.keeper.load().cfg.Drained[machine.ID(g.settings.ID)]
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

// maintain reports to the agent and refreshes the routing view.
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
			g.keeper.rebuild(now)
		}
	}
}

// reportToAgent sends a heartbeat, which makes the agent push views, and what
// the gateway sees of the servers.
func (g *Gateway) reportToAgent(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, agentTimeout)
	defer cancel()
	beat := &pb.Heartbeat{From: g.self(), Sequence: g.heartbeats.Add(1)}
	if p := g.keeper.load(); p != nil {
		beat.ConfigVersion = p.cfg.Version
	}
	if _, err := g.agent.Call(ctx, g.settings.Agent, &pb.Request{Body: &pb.Request_Heartbeat{Heartbeat: beat}}); err != nil {
		g.log.WithError(err).Debug("heartbeat to the agent failed")
		return
	}
	report := &pb.Request{Body: &pb.Request_GatewayReport{GatewayReport: g.tracker.report(g.settings.ID)}}
	if _, err := g.agent.Call(ctx, g.settings.Agent, report); err != nil {
		g.log.WithError(err).Debug("report to the agent failed")
	}
}

// pictureChanged follows a new picture: capacity of the lanes, and requests on
// servers that are leaving.
func (g *Gateway) pictureChanged(p *picture) {
	g.lanes.Range(func(pool, value any) bool {
		value.(*lane).resize(slotShare(p, pool.(string)))
		return true
	})
	g.evacuate(p)
}

func (g *Gateway) lane(p *picture, pool string) *lane {
	if found, ok := g.lanes.Load(pool); ok {
		return found.(*lane)
	}
	made := newLane(g.laneLimits(p, pool), func(ws string) int { return g.workspace(ws).Weight })
	found, _ := g.lanes.LoadOrStore(pool, made)
	return found.(*lane)
}

func (g *Gateway) laneLimits(p *picture, pool string) admit.Limits {
	return admit.Limits{
		Slots:         slotShare(p, pool),
		QueueTokens:   p.cfg.Limits.QueueTokens,
		QueueRequests: p.cfg.Limits.QueueRequests,
		MaxInFlight:   func(ws string) int { return g.workspace(ws).MaxInFlight },
	}
}

// workspace returns the workspace's current rules.
func (g *Gateway) workspace(name string) config.Workspace {
	if p := g.keeper.load(); p != nil {
		return p.cfg.Workspaces[name]
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

// slotShare returns the requests that this gateway may run at once on a pool.
func slotShare(p *picture, pool string) int {
	slots := 0
	for id, s := range p.cfg.Servers {
		state := p.state(id)
		if s.Pool != pool || state.Lifecycle > machine.Serving || state.Lifecycle == machine.Starting {
			continue
		}
		slots += slotsOf(s, state)
	}
	gateways := max(1, p.gateways)
	return max(1, (slots+gateways-1)/gateways)
}

// stop refuses new work, lets accepted requests finish within the grace
// period, tells the streams that remain to reconnect, and closes.
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

// routeSeed returns the seed of one routing decision.
func (g *Gateway) routeSeed() uint64 {
	if g.keeper.load().cfg.Routing.Policy == policyRoundRobin {
		return g.turns.Add(1)
	}
	return seed()
}

// seed returns a seed for one routing decision.
func seed() uint64 { return rand.Uint64() }
