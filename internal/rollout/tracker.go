package rollout

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/store"
)

// Options configures a Tracker.
type Options struct {
	Bounds Bounds
	Log    *logrus.Entry
}

// Tracker knows the roll-outs of all pools. It is safe for concurrent use.
type Tracker struct {
	options Options
	// binding holds the roll-outs by pool that restrict which servers requests go to.
	binding atomic.Pointer[map[string]*roll]

	mu       sync.Mutex
	orders   map[string]Order
	statuses map[string]Status
	rolls    map[string]*roll
}

// New returns a Tracker.
func New(o Options) *Tracker {
	t := &Tracker{options: o, orders: make(map[string]Order), statuses: make(map[string]Status), rolls: make(map[string]*roll)}
	t.binding.Store(&map[string]*roll{})
	return t
}

// setOrder records a pool's order as the store has it.
func (t *Tracker) setOrder(o Order, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.orders[o.Pool]; ok && !o.Revision.After(known.Revision) {
		return
	}
	t.orders[o.Pool] = o
	t.update(o.Pool, now)
}

// removeOrder records that a pool has no order any more.
func (t *Tracker) removeOrder(pool string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rolls[pool]
	delete(t.orders, pool)
	if r == nil {
		return
	}
	delete(t.rolls, pool)
	r.mu.Lock()
	r.log.WithFields(r.fields("rollout_withdrawn", now)).Warn("the order of a roll-out was removed; requests go to servers of all versions")
	r.mu.Unlock()
	t.publish(now)
}

// setStatus records a pool's status as the store has it.
func (t *Tracker) setStatus(pool string, s Status, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statuses[pool] = s
	t.update(pool, now)
}

// update applies the order and the status of a pool. It is called with mu held.
func (t *Tracker) update(pool string, now time.Time) {
	order, ok := t.orders[pool]
	if !ok {
		return
	}
	r := t.rolls[pool]
	if r == nil || !r.continues(order) {
		r = newRoll(order, t.options.Bounds, t.options.Log, now)
		t.rolls[pool] = r
		r.log.WithFields(r.fields("rollout_ordered", now)).Info("a roll-out was ordered; the new version gets a small share of the pool's requests until it is judged")
	}
	r.mu.Lock()
	r.order = order
	r.observeStatus(t.statuses[pool], now)
	r.mu.Unlock()
	t.publish(now)
}

// continues reports whether an order that was read is the one of the roll-out: the same, the same in a
// restored store, or a repetition before the end.
func (r *roll) continues(o Order) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order.Version != o.Version {
		return false
	}
	return r.order.Revision == o.Revision || r.order.Revision.Era != o.Revision.Era || r.final == None
}

// observeStatus applies the status that the store has. It is called with mu held.
func (r *roll) observeStatus(s Status, now time.Time) {
	if !s.isOf(r.order) {
		r.written = None
		return
	}
	r.written = s.State
	if !s.State.IsFinal() || r.final == s.State {
		return
	}
	if r.final != None {
		r.log.WithFields(r.fields("rollout_contradicted", now)).Error("the store has another final status of the roll-out than was known; following the store")
	}
	r.final = s.State
	r.finalAt = now
	r.phase, r.phaseAt = Stopped, now
	if s.State == Completed {
		r.phase = Finished
	}
	r.log.WithFields(r.fields("rollout_ended", now)).WithFields(verdictFields(r.verdict)).Info("the roll-out has ended")
}

// publish replaces the roll-outs that requests heed. It is called with mu held.
func (t *Tracker) publish(now time.Time) {
	binding := make(map[string]*roll, len(t.rolls))
	for pool, r := range t.rolls {
		r.mu.Lock()
		if r.isBinding(now) {
			binding[pool] = r
		}
		r.mu.Unlock()
	}
	if !maps.Equal(binding, *t.binding.Load()) {
		t.binding.Store(&binding)
	}
}

// InForce reports whether a pool's servers of two versions run because of a roll-out, so that their
// number says nothing about spare capacity.
func (t *Tracker) InForce(pool string, now time.Time) bool {
	r := (*t.binding.Load())[pool]
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.final == None || r.oldKnown > 0 && r.newKnown > 0 || now.Sub(r.finalAt) < finalTime
}

// Orders returns the handler of the orders below a prefix.
func (t *Tracker) Orders(prefix string, decode func(store.Item) (Order, error)) *OrderHandler {
	return &OrderHandler{tracker: t, prefix: prefix, decode: decode}
}

// OrderHandler implements follow.Handler for the orders.
type OrderHandler struct {
	tracker *Tracker
	prefix  string
	decode  func(store.Item) (Order, error)
}

// Resync implements follow.Handler.
func (h *OrderHandler) Resync(items []store.Item, now, expiryGraceUntil time.Time) {
	listed := listedPools(items, h.prefix)
	h.Change(items, now, expiryGraceUntil)
	if !expiryGraceUntil.IsZero() {
		return // a restored store may have lost the order
	}
	for _, pool := range h.tracker.pools() {
		if !listed[pool] {
			h.tracker.removeOrder(pool, now)
		}
	}
}

// Change implements follow.Handler.
func (h *OrderHandler) Change(items []store.Item, now, _ time.Time) {
	for _, item := range items {
		if item.Removed {
			h.tracker.removeOrder(strings.TrimPrefix(item.Key, h.prefix), now)
			continue
		}
		o, err := h.decode(item)
		if err != nil {
			h.tracker.options.Log.WithError(err).WithFields(logrus.Fields{"event": "rollout_unreadable", "key": item.Key, "revision": item.Revision.Number}).Warn("the order of a roll-out cannot be read; ignoring it")
			continue
		}
		h.tracker.setOrder(o, now)
	}
}

func (t *Tracker) pools() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.orders))
}

// listedPools returns the pools whose items below a prefix a list has.
func listedPools(items []store.Item, prefix string) map[string]bool {
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[strings.TrimPrefix(item.Key, prefix)] = true
	}
	return listed
}

// Statuses returns the handler of the statuses below a prefix.
func (t *Tracker) Statuses(prefix string, decode func(store.Item) (Status, error)) *StatusHandler {
	return &StatusHandler{tracker: t, prefix: prefix, decode: decode}
}

// StatusHandler implements follow.Handler for the statuses.
type StatusHandler struct {
	tracker *Tracker
	prefix  string
	decode  func(store.Item) (Status, error)
}

// Resync implements follow.Handler.
func (h *StatusHandler) Resync(items []store.Item, now, expiryGraceUntil time.Time) {
	listed := listedPools(items, h.prefix)
	h.Change(items, now, expiryGraceUntil)
	for _, pool := range h.tracker.pools() {
		if !listed[pool] {
			h.tracker.setStatus(pool, Status{}, now)
		}
	}
}

// Change implements follow.Handler.
func (h *StatusHandler) Change(items []store.Item, now, _ time.Time) {
	for _, item := range items {
		pool := strings.TrimPrefix(item.Key, h.prefix)
		if item.Removed {
			h.tracker.setStatus(pool, Status{}, now)
			continue
		}
		s, err := h.decode(item)
		if err != nil {
			h.tracker.options.Log.WithError(err).WithFields(logrus.Fields{"event": "rollout_unreadable", "key": item.Key, "revision": item.Revision.Number}).Warn("the status of a roll-out cannot be read; ignoring it")
			continue
		}
		h.tracker.setStatus(pool, s, now)
	}
}

// switchOver begins the switch when it is due. All instances come to it by the same counts; it must not
// wait for a holder of the duties that was lost.
func (r *roll) switchOver(now time.Time) {
	if in, _ := r.input(now); Decide(in) == SwitchOver {
		r.advance(Switching, "no answers speak against the new version; all requests move to it", now)
	}
}

// Maintain updates what the roll-outs know of the servers and judges this instance's own answers. It
// is called several times a second.
func (t *Tracker) Maintain(p *fleet.Snapshot, instances int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for pool, r := range t.rolls {
		r.mu.Lock()
		r.instances = max(instances, 1)
		r.observeServers(p.Servers[pool])
		r.rotate(now)
		r.setGauges()
		if r.final == None {
			r.judge(r.ownCells(), 1/float64(2*r.instances), "this instance", now)
			r.switchOver(now)
		}
		r.mu.Unlock()
	}
	if len(t.rolls) > 0 {
		t.publish(now)
	}
}
