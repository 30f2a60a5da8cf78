package placementduty

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/sourcegraph/conc"

	"kumquatyard/internal/duty"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/platform"
	"kumquatyard/internal/standin"
)

const (
	awaitTimeout = 30 * time.Second
	ttl          = 1200 * time.Millisecond
)

// testTiming is shorter than DefaultTiming so that tests are fast. Lifetime is
// less than three tenths of TTL, as in DefaultTiming.
var testTiming = Timing{
	Interval: 20 * time.Millisecond, Lifetime: 200 * time.Millisecond, ClockMargin: 100 * time.Millisecond,
	Timeout: 500 * time.Millisecond, TTL: ttl, RetryInterval: 20 * time.Millisecond,
}

func serve(t *testing.T, s standin.Standin) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving conc.WaitGroup
	serving.Go(func() { _ = s.Serve(listener) })
	t.Cleanup(func() {
		s.Close()
		serving.Wait()
	})
	return listener.Addr().String()
}

// gate blocks goroutines in pass while it is shut, to simulate a frozen process.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = make(chan struct{})
}

func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
}

func (g *gate) pass() {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

// frozenKV blocks renewals of the session while its gate is shut.
type frozenKV struct {
	duty.KV
	gate *gate
}

func (f frozenKV) RenewSession(ctx context.Context, id string) error {
	f.gate.pass()
	return f.KV.RenewSession(ctx, id)
}

// fleet is a Fleet with one engine.
type fleet struct {
	server machine.Server
	loaded []string
	live   []string
	// round is the gate at the beginning of each round.
	round *gate
}

func (f *fleet) Servers() []machine.Server {
	f.round.pass()
	return []machine.Server{f.server}
}

func (f *fleet) States() []machine.State {
	return []machine.State{{
		ID: f.server.ID, Incarnation: 1, Lifecycle: machine.Serving, Load: machine.Load{Adapters: f.loaded},
	}}
}

func (f *fleet) Live() []string { return f.live }

// sent is an order that was sent, with its result.
type sent struct {
	holder string
	Order
	status int
	err    error
}

// network sends the orders of all holders and records the results.
type network struct {
	Sender
	mu      sync.Mutex
	answers []sent
}

func (n *network) deliver(holder, address string, o Order, timeout time.Duration) (int, error) {
	status, err := n.Sender.Send(address, o, timeout)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answers = append(n.answers, sent{holder: holder, Order: o, status: status, err: err})
	return status, err
}

// find returns the recorded orders for which accepts returns true.
func (n *network) find(accepts func(sent) bool) []sent {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []sent
	for _, s := range n.answers {
		if accepts(s) {
			out = append(out, s)
		}
	}
	return out
}

// acceptedFrom returns the orders of holder that the engine accepted.
func (n *network) acceptedFrom(holder string) []sent {
	return n.find(func(s sent) bool { return s.holder == holder && s.status == 200 })
}

// holderSender is the Sender of one holder.
type holderSender struct {
	*network
	holder string
	// send is the gate between the lease check and the sending of an order.
	send *gate
	// late makes Send return at once with a timeout, while the order is in flight
	// until the gate opens.
	late     bool
	inFlight *conc.WaitGroup
	// sends is how often Send was called.
	sends *atomic.Int32
}

func (h holderSender) Send(address string, o Order, timeout time.Duration) (int, error) {
	h.sends.Add(1)
	if h.late {
		h.inFlight.Go(func() {
			h.send.pass()
			_, _ = h.deliver(h.holder, address, o, timeout)
		})
		return 0, context.DeadlineExceeded
	}
	h.send.pass()
	return h.deliver(h.holder, address, o, timeout)
}

// zone is a test zone with a key-value service and one engine.
type zone struct {
	t       *testing.T
	kv      *standin.KV
	address string
	engine  *standin.Engine
	server  machine.Server
	network *network
}

func newZone(t *testing.T, checksFencing bool) *zone {
	z := &zone{
		t: t, kv: standin.NewKV(standin.KVOptions{Seed: 1}), network: &network{Sender: NewHTTPSender()},
		engine: standin.NewEngine(standin.EngineOptions{Seed: 1, TimeScale: 0.01, Fencing: checksFencing}),
	}
	z.address = serve(t, z.kv)
	z.server = machine.Server{ID: "e", Address: serve(t, z.engine), Kind: machine.Engine, Pool: "p", ChecksFencing: checksFencing}
	return z
}

// holder is an agent that competes for the duty. gate blocks its lease renewals.
type holder struct {
	name   string
	fleet  *fleet
	sender holderSender
	timing Timing
	gate   *gate
	log    *logtest.Hook
	cancel context.CancelFunc
	done   conc.WaitGroup
}

// holder returns an agent in whose configuration the engine can hold one model.
func (z *zone) holder(name, model string) *holder {
	g := &gate{}
	server := z.server
	server.Models = []string{model}
	return &holder{
		name: name, gate: g, timing: testTiming,
		fleet: &fleet{server: server, loaded: []string{"other"}, live: []string{"first", "second"}, round: &gate{}},
		sender: holderSender{
			network: z.network, holder: name, send: &gate{}, inFlight: &conc.WaitGroup{}, sends: &atomic.Int32{},
		},
	}
}

func (z *zone) start(h *holder) {
	logger, hook := logtest.NewNullLogger()
	h.log = hook
	ctx, cancel := context.WithCancel(z.t.Context())
	h.cancel = cancel
	d := New(Options{
		Zone: "z", Holder: h.name, Settings: DefaultSettings(), Timing: h.timing, Fleet: h.fleet, Sender: h.sender,
		KV: frozenKV{platform.NewKVClient(z.address, time.Second), h.gate}, Log: logrus.NewEntry(logger),
	})
	h.done.Go(func() { _ = d.Run(ctx) })
	z.t.Cleanup(func() { h.stop() })
}

func (h *holder) thaw() {
	h.gate.thaw()
	h.fleet.round.thaw()
	h.sender.send.thaw()
}

func (h *holder) stop() {
	h.cancel()
	h.thaw()
	h.done.Wait()
	h.sender.inFlight.Wait()
}

// losses returns how often the holder has logged that it lost the duty.
func (h *holder) losses() int { return h.logged("duty lost or not acquired; trying again") }

// logged returns how often the holder has logged message.
func (h *holder) logged(message string) int {
	n := 0
	for _, e := range h.log.AllEntries() {
		if e.Message == message {
			n++
		}
	}
	return n
}

func (z *zone) await(what string, ok func() bool) {
	z.t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			z.t.Fatalf("condition not met within %v: %s", awaitTimeout, what)
		}
	}
}

func (z *zone) awaitOrder(from *holder) {
	z.t.Helper()
	z.await("the engine accepts an order of "+from.name, func() bool { return len(z.network.acceptedFrom(from.name)) > 0 })
}
