package duty

import (
	"context"
	"sync/atomic"
	"time"
)

// Lease is a held duty.
type Lease struct {
	token uint64
	// era is the store's era in which the lease was acquired, and currentEra returns
	// the latest one.
	era        uint64
	currentEra func() uint64
	// validUntil is when the holder stops unless the lease is renewed, by the clock now.
	validUntil      atomic.Pointer[time.Time]
	fencingEnforced bool
	lost            atomic.Bool
	now             func() time.Time
}

// FencingToken returns the fencing token, which increases from holder to holder.
func (l *Lease) FencingToken() uint64 { return l.token }

// Check returns ErrNotHeld if the lease may have expired or the store was restored
// since. It must be called before each order, because the timers of a process that was
// frozen fire late.
func (l *Lease) Check() error {
	if l.lost.Load() || l.currentEra() != l.era || (!l.fencingEnforced && l.remaining() <= 0) {
		return ErrNotHeld
	}
	return nil
}

// Do gives an order: it calls order if the lease is valid. Unless the receivers check the
// fencing token, the order's context ends before the lease can expire.
func (l *Lease) Do(ctx context.Context, order func(context.Context) error) error {
	if err := l.Check(); err != nil {
		return err
	}
	if !l.fencingEnforced {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, l.remaining(), ErrNotHeld)
		defer cancel()
	}
	return order(ctx)
}

// remaining returns the time until the holder stops unless the lease is renewed.
func (l *Lease) remaining() time.Duration { return l.validUntil.Load().Sub(l.now()) }

func (l *Lease) extend(from time.Time, ttl time.Duration) {
	validUntil := from.Add(share(ttl, stopAfterShare))
	l.validUntil.Store(&validUntil)
}
