package rollout

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/store"
)

const (
	stepInterval = 150 * time.Millisecond
	// writeTimeout bounds one call to the store, and retryInterval is the time between a call
	// that failed and the next for the same roll-out.
	writeTimeout  = 800 * time.Millisecond
	retryInterval = 250 * time.Millisecond
)

// Statuses is the store's part that holds the statuses.
type Statuses interface {
	Item(ctx context.Context, key string) (store.Item, error)
	CompareAndSwap(ctx context.Context, p store.Put) (store.Revision, error)
}

// Runner writes the statuses while the duty is held. Two runners may run at once: each write replaces
// the status that was read before, and a final status of the order is never replaced.
type Runner struct {
	Tracker *Tracker
	Store   Statuses
	// Key returns the key of a pool's status, Encode its value, and Decode the status.
	Key    func(pool string) string
	Encode func(Status) ([]byte, error)
	Decode func(store.Item) (Status, error)
	Log    *logrus.Entry

	retryAt map[string]time.Time
}

// Run writes statuses until ctx is done. check fails once another instance may hold the duty.
func (r *Runner) Run(ctx context.Context, _ uint64, check func() error) error {
	r.retryAt = make(map[string]time.Time)
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, roll := range r.Tracker.current() {
			if err := check(); err != nil {
				return err
			}
			r.step(ctx, roll, time.Now())
		}
	}
}

// current returns the roll-outs.
func (t *Tracker) current() []*roll {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*roll, 0, len(t.rolls))
	for _, r := range t.rolls {
		list = append(list, r)
	}
	return list
}

// input returns what the next step is decided by, and the order. It is called with mu held.
func (r *roll) input(now time.Time) (Input, Order) {
	in := Input{
		Written: r.written, Phase: r.phase, Age: now.Sub(r.beganAt), Duration: r.order.Duration,
		Answers: answers(r.cells), NewServers: r.newServers, OldServers: r.oldServers, OldKnown: r.oldKnown, Fresh: r.isFresh(now),
	}
	if r.phase == Switching {
		in.SwitchedFor = now.Sub(r.phaseAt)
	}
	return in, r.order
}

// step writes the status that a roll-out is due to have.
func (r *Runner) step(ctx context.Context, roll *roll, now time.Time) {
	roll.mu.Lock()
	in, order := roll.input(now)
	roll.mu.Unlock()
	if now.Before(r.retryAt[order.Pool]) {
		return
	}
	state := None
	switch Decide(in) {
	case Wait, SwitchOver:
		return
	case WriteInProgress:
		state = InProgress
	case WriteCompleted:
		state = Completed
	case WriteReverted:
		state = Reverted
	}
	if err := r.write(ctx, order, state); err != nil {
		r.retryAt[order.Pool] = now.Add(retryInterval)
		r.Log.WithError(err).WithFields(logrus.Fields{"event": "rollout_unwritten", "pool": order.Pool, "to": order.Version, "state": state}).Warn("the status of a roll-out was not written, or the answer was lost; reading it again")
	}
}

// write writes the status of an order unless the store has a final one, and applies what the store
// has then.
func (r *Runner) write(ctx context.Context, order Order, state State) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := r.Key(order.Pool)
	item, err := r.Store.Item(ctx, key)
	if err != nil {
		return err
	}
	if item.Exists() {
		if known, err := r.Decode(item); err == nil && known.isOf(order) && (known.State.IsFinal() || known.State == state) {
			r.Tracker.setStatus(order.Pool, known, time.Now())
			return nil
		}
	}
	value, err := r.Encode(Status{State: state, Version: order.Version})
	if err != nil {
		return err
	}
	revision, err := r.Store.CompareAndSwap(ctx, store.Put{Key: key, Value: value, Expected: item.Revision})
	if err != nil {
		return err
	}
	countStatus(state)
	r.Log.WithFields(logrus.Fields{"event": "rollout_status", "pool": order.Pool, "to": order.Version, "state": state, "revision": revision.Number, "era": revision.Era}).Info("status of a roll-out written")
	r.Tracker.setStatus(order.Pool, Status{State: state, Version: order.Version, Revision: revision}, time.Now())
	return nil
}
