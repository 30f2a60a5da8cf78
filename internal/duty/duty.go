// Package duty elects one holder at a time for a duty, a task such as usage
// reporting. A lease in the key-value store elects the holder, and a fencing token
// from a compare-and-swap orders the holders. A holder stops before its lease can
// expire, and its successor waits for MaxOrderLifetime before its first order.
//
// A store that is restored from an older copy loses leases and fencing tokens that it
// granted. The holder stops when it sees a new era of the store, and the era is part of
// the fencing token, so that no token is given twice.
//
// Receivers that do not check the fencing token rely on the lease alone: see
// Settings.FencingEnforced and Settings.KeepUntilExpiry, and give orders through
// Lease.Do. What remains is an order that was sent before the lease expired and is
// carried out later: such orders must be idempotent and carry a deadline.
package duty

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"kumquatyard/internal/clock"
	"kumquatyard/internal/contract"
	"kumquatyard/internal/platform"
	pb "kumquatyard/proto/kumquat/v1"
)

// KV is the part of the key-value store's client that a Duty uses.
type KV interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (newIndex uint64, swapped bool, err error)
	CreateSession(ctx context.Context, name string, ttl time.Duration) (string, error)
	RenewSession(ctx context.Context, id string) error
	DestroySession(ctx context.Context, id string) error
	Acquire(ctx context.Context, key string, value []byte, session string) (bool, error)
	// Era returns the latest era of the store that any answer has shown; it increases
	// when the store is restored from an older copy.
	Era() uint64
}

// Settings configures a Duty.
type Settings struct {
	// TTL is the lease's time to live. The store may keep a lease for longer, but
	// never for less.
	TTL time.Duration
	// MaxOrderLifetime is the time within which any order of a previous holder takes
	// effect or expires.
	MaxOrderLifetime time.Duration
	// FencingEnforced is set if all receivers check the fencing token. A holder then
	// continues while the store does not answer, which is safe since receivers
	// refuse its orders once a successor has given one. It stops when the store
	// reports that the lease has ended.
	FencingEnforced bool
	// KeepUntilExpiry is set if the lease must not be revoked when its holder stops. It
	// then expires, so that a process that gave orders under an earlier lease gives the
	// next ones at least TTL later if another process held the duty in between. This is
	// for receivers that take alternating holders for a fault.
	KeepUntilExpiry bool
	// RetryInterval is the mean time between two attempts to acquire the duty.
	RetryInterval time.Duration
	// UniqueHolder is set if at most one process at a time has the name Holder. A
	// lease under this name then belongs to an earlier process that has ended, and is
	// revoked.
	UniqueHolder bool
}

// DefaultSettings has a TTL of 10 s, within which the lease is renewed three times.
var DefaultSettings = Settings{TTL: 10 * time.Second, MaxOrderLifetime: 3 * time.Second, RetryInterval: 5 * time.Second}

const (
	keyPrefix = "duty/"
	// renewAfterShare and stopAfterShare are the parts of TTL after which the lease
	// is renewed and, if no renewal succeeded, the holder stops.
	renewAfterShare = 0.3
	stopAfterShare  = 0.7
	callTimeout     = 2 * time.Second
	// candidateInterval is the mean time between two questions whether this process is a
	// candidate, while it is none.
	candidateInterval = 200 * time.Millisecond
)

var (
	takenTotal = metrics.NewCounter("kumquat_duty_taken_total")
	lostTotal  = metrics.NewCounter("kumquat_duty_lost_total")
)

// ErrNotHeld means that the lease is not held, or may have expired.
var ErrNotHeld = &contract.Error{
	Kind: contract.KindUnavailable, Verdict: contract.NotRun, Message: "the lease of the duty was lost or not renewed in time",
}

// ErrFenced means that the receiver of an order has seen a higher fencing token.
var ErrFenced = errors.New("another holder of the duty has a higher fencing token")

// errTokenConflict means that another process changed the fencing token concurrently.
var errTokenConflict = errors.New("another process changed the duty's fencing token concurrently")

// Duty competes for a duty on behalf of one process, and does it while it holds the
// lease.
type Duty struct {
	// Name identifies the duty in the fleet, such as "placement/zone-a".
	Name string
	// Holder is the name of this process.
	Holder   string
	KV       KV
	Settings Settings
	Log      *logrus.Entry
	// Candidate reports whether this process should compete now; nil means always.
	Candidate func() bool
	// Stopping is closed when this process should hand the duty over. Nil means never.
	Stopping <-chan struct{}
	// Now is a clock that does not stop while the machine is suspended; nil means
	// clock.SinceBoot.
	Now func() time.Time
	// Perform does the duty until ctx is done.
	Perform func(ctx context.Context, lease *Lease) error

	held atomic.Pointer[Lease]
	// era is the latest known era of the store, and eraSince when this process first
	// saw it, or started.
	era      uint64
	eraSince time.Time
}

// Run competes for the duty and does it while it is held, until ctx is done. It then
// releases the lease at once. Once Stopping is closed, it competes no more and hands over
// what it holds.
func (d *Duty) Run(ctx context.Context) error {
	if d.Now == nil {
		d.Now = clock.SinceBoot
	}
	d.era, d.eraSince = d.KV.Era(), d.Now()
	for ctx.Err() == nil && !d.isStopping() {
		d.observeEra()
		interval := d.Settings.RetryInterval
		if d.Candidate == nil || d.Candidate() {
			if err := d.tryAcquire(ctx); err != nil && ctx.Err() == nil {
				d.Log.WithError(err).WithField("duty", d.Name).Warn("duty lost or not acquired; trying again")
			}
		} else {
			interval = min(interval, candidateInterval)
		}
		d.wait(ctx, time.Duration((0.5+rand.Float64())*float64(interval)))
	}
	return nil
}

func (d *Duty) isStopping() bool {
	select {
	case <-d.Stopping:
		return true
	default:
		return false
	}
}

// wait sleeps until ctx is done or Stopping is closed, at most for a time.
func (d *Duty) wait(ctx context.Context, most time.Duration) { sleepUntil(ctx, d.Stopping, most) }

// observeEra records when this process first saw the store's current era.
func (d *Duty) observeEra() {
	era := d.KV.Era()
	if era == d.era {
		return
	}
	if d.era != 0 {
		d.Log.WithFields(logrus.Fields{"event": "duty_era", "duty": d.Name, "era_before": d.era, "era": era}).Info("the store was restored from an older copy; leases of earlier eras have ended")
	}
	d.era, d.eraSince = era, d.Now()
}

// Handle implements agent.Component. It does nothing: a duty serves no requests.
func (d *Duty) Handle(context.Context, string, *pb.Request) (*pb.Response, error) { return nil, nil }

// Duties returns the duty if it is held.
func (d *Duty) Duties() []*pb.Duty {
	lease := d.held.Load()
	if lease == nil || lease.Check() != nil {
		return nil
	}
	return []*pb.Duty{{Name: d.Name, Holder: d.Holder, Fence: lease.token}}
}

func (d *Duty) lockKey() string  { return keyPrefix + d.Name + "/lock" }
func (d *Duty) tokenKey() string { return keyPrefix + d.Name + "/fence" }

// tryAcquire acquires the duty if nobody holds it, and does it until it is lost.
func (d *Duty) tryAcquire(ctx context.Context) error {
	entry, err := withTimeout(ctx, func(ctx context.Context) (platform.Entry, error) { return d.KV.Get(ctx, d.lockKey()) })
	if err != nil {
		return err
	}
	d.observeEra()
	if entry.Session != "" {
		if !d.Settings.UniqueHolder || string(entry.Value) != d.Holder {
			return nil
		}
		d.Log.WithFields(logrus.Fields{"event": "duty_resumed", "duty": d.Name}).Info("the duty's lease belongs to an earlier process of this instance; releasing it")
		d.destroySession(ctx, entry.Session)
	}
	start := d.Now()
	session, err := withTimeout(ctx, func(ctx context.Context) (string, error) {
		return d.KV.CreateSession(ctx, d.Name, d.Settings.TTL)
	})
	if err != nil {
		return err
	}
	taken, err := withTimeout(ctx, func(ctx context.Context) (bool, error) {
		return d.KV.Acquire(ctx, d.lockKey(), []byte(d.Holder), session)
	})
	if err != nil || !taken {
		d.destroySession(ctx, session)
		return err
	}
	return d.runHeld(ctx, session, start)
}

// runHeld does the duty while it renews the lease.
func (d *Duty) runHeld(ctx context.Context, session string, start time.Time) error {
	lease := &Lease{now: d.Now, fencingEnforced: d.Settings.FencingEnforced, era: d.era, currentEra: d.KV.Era}
	lease.extend(start, d.Settings.TTL)
	token, err := d.nextToken(ctx)
	if err == nil {
		err = lease.Check()
	}
	if err != nil {
		d.destroySession(ctx, session)
		return err
	}
	if !d.Settings.KeepUntilExpiry {
		defer func() {
			if !lease.lost.Load() {
				d.destroySession(ctx, session)
			}
		}()
	}
	lease.token = token
	takenTotal.Inc()
	d.Log.WithFields(logrus.Fields{"event": "duty_taken", "duty": d.Name, "era": d.era, "fence": token}).Info("duty taken")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var job conc.WaitGroup
	job.Go(func() {
		defer cancel()
		err = d.waitAndPerform(ctx, lease)
	})
	renewErr := d.renew(ctx, session, lease)
	cancel()
	job.Wait()
	return errors.Join(renewErr, err)
}

// waitAndPerform calls Perform once any order of the previous holder has taken
// effect or expired.
func (d *Duty) waitAndPerform(ctx context.Context, lease *Lease) error {
	sleep(ctx, max(d.Settings.MaxOrderLifetime, d.earlierEraLifetime()))
	if ctx.Err() != nil {
		return nil
	}
	d.held.Store(lease)
	defer d.held.Store(nil)
	return d.Perform(ctx, lease)
}

// earlierEraLifetime returns the time until a holder of an earlier era, which may not
// have seen that the store was restored, has stopped. Receivers that check the fencing
// token need no wait.
func (d *Duty) earlierEraLifetime() time.Duration {
	if d.Settings.FencingEnforced || d.era == 0 {
		return 0
	}
	return d.eraSince.Add(share(d.Settings.TTL, stopAfterShare)).Sub(d.Now())
}

// tokenBits is the number of low bits of a fencing token that count within an era of
// the store. The sum with the era stays below 2^53, which receivers that read it as a
// floating-point number need, for two million restores.
const tokenBits = 32

// nextToken returns the next fencing token: the store's era and a counter that one
// compare-and-swap increments. If its answer is lost, the duty is released; a counter
// that was incremented nevertheless does no harm.
func (d *Duty) nextToken(ctx context.Context) (uint64, error) {
	entry, err := withTimeout(ctx, func(ctx context.Context) (platform.Entry, error) { return d.KV.Get(ctx, d.tokenKey()) })
	if err != nil {
		return 0, err
	}
	var previous uint64
	if entry.ModifyIndex != 0 {
		if previous, err = strconv.ParseUint(string(entry.Value), 10, 64); err != nil {
			return 0, fmt.Errorf("parse the stored fencing token of duty %s: %w", d.Name, err)
		}
	}
	swapped, err := withTimeout(ctx, func(ctx context.Context) (bool, error) {
		_, swapped, err := d.KV.CompareAndSwap(ctx, d.tokenKey(), strconv.AppendUint(nil, previous+1, 10), entry.ModifyIndex)
		return swapped, err
	})
	if err == nil && !swapped {
		err = errTokenConflict
	}
	return (d.era << tokenBits) + previous + 1, err
}

// renew renews the lease until ctx is done, the lease may have expired or was handed over.
func (d *Duty) renew(ctx context.Context, session string, lease *Lease) error {
	var lastErr error
	for {
		d.wait(ctx, share(d.Settings.TTL, renewAfterShare))
		if ctx.Err() != nil {
			return nil
		}
		if d.isStopping() {
			d.handOver(ctx, session, lease)
			return nil
		}
		if lease.Check() != nil {
			lostTotal.Inc()
			return errors.Join(ErrNotHeld, lastErr)
		}
		start := d.Now()
		_, err := withTimeout(ctx, func(ctx context.Context) (struct{}, error) {
			return struct{}{}, d.KV.RenewSession(ctx, session)
		})
		switch {
		case err == nil:
			lease.extend(start, d.Settings.TTL)
		case errors.Is(err, platform.ErrSessionGone):
			lease.lost.Store(true)
			lostTotal.Inc()
			return err
		default:
			lastErr = err
		}
	}
}

// handOverInterval is the time between two attempts to release the lease of a process that
// is stopping.
const handOverInterval = 250 * time.Millisecond

// handOver releases the lease. While the store is away, no other process can take the duty
// over, so this one does it on, if receivers check the fencing token.
func (d *Duty) handOver(ctx context.Context, session string, lease *Lease) {
	if !d.Settings.FencingEnforced {
		return
	}
	for ctx.Err() == nil && lease.Check() == nil {
		err := d.endSession(ctx, session)
		if err == nil || errors.Is(err, platform.ErrSessionGone) {
			lease.lost.Store(true)
			return
		}
		d.Log.WithError(err).WithFields(logrus.Fields{"event": "duty_kept", "duty": d.Name}).Info("the duty's lease cannot be released; doing the duty until it can")
		sleep(ctx, handOverInterval)
	}
}

func (d *Duty) destroySession(ctx context.Context, session string) {
	if err := d.endSession(context.WithoutCancel(ctx), session); err != nil {
		d.Log.WithError(err).WithField("duty", d.Name).Warn("releasing the duty's lease failed; it expires after its TTL")
	}
}

func (d *Duty) endSession(ctx context.Context, session string) error {
	_, err := withTimeout(ctx, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, d.KV.DestroySession(ctx, session)
	})
	return err
}

func withTimeout[T any](ctx context.Context, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx)
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

func sleep(ctx context.Context, d time.Duration) { sleepUntil(ctx, nil, d) }

// sleepUntil sleeps until ctx is done or stop is closed, at most for d.
func sleepUntil(ctx context.Context, stop <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-stop:
	case <-timer.C:
	}
}
