// Package duty gives a job to one holder at a time: a lease in the key-value
// service chooses who tries, and a fencing number from a compare-and-swap
// orders the holders. A holder stops by itself before its lease can lapse, and
// a new one waits out the longest order of the last. Neither makes an order
// safe; receivers that check the fencing number do, and for those that do not,
// orders must be idempotent and carry a deadline.
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

	"kumquatyard/internal/contract"
	"kumquatyard/internal/platform"
	pb "kumquatyard/proto/kumquat/v1"
)

// KV is what a duty needs of the key-value service.
type KV interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (newIndex uint64, swapped bool, err error)
	CreateSession(ctx context.Context, name string, ttl time.Duration) (string, error)
	RenewSession(ctx context.Context, id string) error
	DestroySession(ctx context.Context, id string) error
	Acquire(ctx context.Context, key string, value []byte, session string) (bool, error)
}

// Settings are the times of a duty.
type Settings struct {
	// TTL is the lease's time to live; the service may keep it for longer,
	// never for less.
	TTL time.Duration
	// MaxOrderLifetime is the time within which any order of a former holder has
	// taken effect or expired.
	MaxOrderLifetime time.Duration
	// FencingEnforced is set when all receivers check the fencing number. The holder then
	// goes on while the service does not answer, since no other can do harm by
	// it, until the service says that the lease is gone.
	FencingEnforced bool
	// RetryInterval is the mean time between looks at a duty held by another.
	RetryInterval time.Duration
	// UniqueHolder is set when a Holder's name is that of one process at a time. A
	// lease held under the own name is then of an earlier start, which has ended.
	UniqueHolder bool
}

// DefaultSettings renew a lease of 10 s three times in its life.
var DefaultSettings = Settings{TTL: 10 * time.Second, MaxOrderLifetime: 3 * time.Second, RetryInterval: 5 * time.Second}

const (
	keyPrefix = "duty/"
	// renewShare and stopShare are the parts of TTL after which the lease is
	// renewed and, when that fails, the holder stops.
	renewShare  = 0.3
	stopShare   = 0.7
	callTimeout = 2 * time.Second
)

var (
	takenTotal = metrics.NewCounter("kumquat_duty_taken_total")
	lostTotal  = metrics.NewCounter("kumquat_duty_lost_total")
)

// ErrNotHeld means that an order was about to be given without a lease.
var ErrNotHeld = &contract.Error{
	Kind: contract.KindUnavailable, Verdict: contract.NotRun, Message: "duty is not held",
}

// ErrFenced means that the receiver of an order has seen a holder with a higher
// fencing number.
var ErrFenced = errors.New("another holder of the duty has a higher fencing number")

// errTaken means that another holder came between.
var errTaken = errors.New("duty was taken by another")

// Lease is a held duty.
type Lease struct {
	fence uint64
	// until is when the holder stops by itself, in monotonic time.
	until  atomic.Pointer[time.Time]
	fenced bool
	lost   atomic.Bool
	now    func() time.Time
}

// FencingToken is the fencing number: it grows from holder to holder.
func (l *Lease) FencingToken() uint64 { return l.fence }

// Check returns ErrNotHeld when the lease may have lapsed. It must be called
// before each order, because a frozen process does not notice its timers.
func (l *Lease) Check() error {
	if l.lost.Load() || (!l.fenced && !l.now().Before(*l.until.Load())) {
		return ErrNotHeld
	}
	return nil
}

func (l *Lease) extend(from time.Time, ttl time.Duration) {
	until := from.Add(share(ttl, stopShare))
	l.until.Store(&until)
}

// Duty competes for one job on behalf of one process.
type Duty struct {
	// Name identifies the job in the whole fleet, such as "placement/zone-a".
	Name string
	// Holder names this process.
	Holder   string
	KV       KV
	Settings Settings
	Log      *logrus.Entry
	// Candidate reports whether this process should try now; nil means always.
	Candidate func() bool
	// Lead does the job until ctx is done.
	Lead func(ctx context.Context, lease *Lease) error

	held atomic.Pointer[Lease]
}

// Run competes for the duty and does it while it is held, until ctx is done.
// The lease is then given up at once.
func (d *Duty) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if d.Candidate == nil || d.Candidate() {
			if err := d.try(ctx); err != nil && ctx.Err() == nil {
				d.Log.WithError(err).WithField("duty", d.Name).Warn("duty not held")
			}
		}
		sleep(ctx, time.Duration((0.5+rand.Float64())*float64(d.Settings.RetryInterval)))
	}
	return nil
}

// Handle implements agent.Component; a duty answers no requests.
func (d *Duty) Handle(context.Context, string, *pb.Request) (*pb.Response, error) { return nil, nil }

// Duties reports the duty while it is held.
func (d *Duty) Duties() []*pb.Duty {
	lease := d.held.Load()
	if lease == nil || lease.Check() != nil {
		return nil
	}
	return []*pb.Duty{{Name: d.Name, Holder: d.Holder, Fence: lease.fence}}
}

func (d *Duty) lockKey() string  { return keyPrefix + d.Name + "/lock" }
func (d *Duty) fenceKey() string { return keyPrefix + d.Name + "/fence" }

// try takes the duty when nobody holds it and does it until it is lost.
func (d *Duty) try(ctx context.Context) error {
	entry, err := timed(ctx, func(ctx context.Context) (platform.Entry, error) { return d.KV.Get(ctx, d.lockKey()) })
	if err != nil {
		return err
	}
	if entry.Session != "" {
		if !d.Settings.UniqueHolder || string(entry.Value) != d.Holder {
			return nil
		}
		d.Log.WithFields(logrus.Fields{"event": "duty_resumed", "duty": d.Name}).Info("the lease is that of an earlier start of this instance; it is given up")
		d.destroy(ctx, entry.Session)
	}
	start := time.Now()
	session, err := timed(ctx, func(ctx context.Context) (string, error) {
		return d.KV.CreateSession(ctx, d.Name, d.Settings.TTL)
	})
	if err != nil {
		return err
	}
	defer d.destroy(ctx, session)
	taken, err := timed(ctx, func(ctx context.Context) (bool, error) {
		return d.KV.Acquire(ctx, d.lockKey(), []byte(d.Holder), session)
	})
	if err != nil || !taken {
		return err
	}
	return d.hold(ctx, session, start)
}

func (d *Duty) hold(ctx context.Context, session string, start time.Time) error {
	lease := &Lease{now: time.Now, fenced: d.Settings.FencingEnforced}
	lease.extend(start, d.Settings.TTL)
	fence, err := d.nextFence(ctx)
	if err != nil {
		return err
	}
	lease.fence = fence
	takenTotal.Inc()
	d.Log.WithField("duty", d.Name).WithField("fence", fence).Info("duty taken")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var leader conc.WaitGroup
	leader.Go(func() {
		defer cancel()
		err = d.lead(ctx, lease)
	})
	renewErr := d.renew(ctx, session, lease)
	cancel()
	leader.Wait()
	return errors.Join(renewErr, err)
}

// lead does the job after the last order of a former holder is over.
func (d *Duty) lead(ctx context.Context, lease *Lease) error {
	sleep(ctx, d.Settings.MaxOrderLifetime)
	if ctx.Err() != nil {
		return nil
	}
	d.held.Store(lease)
	defer d.held.Store(nil)
	return d.Lead(ctx, lease)
}

// nextFence raises the duty's fencing number by one compare-and-swap. When its
// answer is lost the duty is given up: the number may have been raised, which
// is harmless.
func (d *Duty) nextFence(ctx context.Context) (uint64, error) {
	entry, err := timed(ctx, func(ctx context.Context) (platform.Entry, error) { return d.KV.Get(ctx, d.fenceKey()) })
	if err != nil {
		return 0, err
	}
	var last uint64
	if entry.ModifyIndex != 0 {
		if last, err = strconv.ParseUint(string(entry.Value), 10, 64); err != nil {
			return 0, fmt.Errorf("fencing number of %s: %w", d.Name, err)
		}
	}
	swapped, err := timed(ctx, func(ctx context.Context) (bool, error) {
		_, swapped, err := d.KV.CompareAndSwap(ctx, d.fenceKey(), strconv.AppendUint(nil, last+1, 10), entry.ModifyIndex)
		return swapped, err
	})
	if err == nil && !swapped {
		err = errTaken
	}
	return last + 1, err
}

// renew extends the lease until ctx is done or the lease may lapse.
func (d *Duty) renew(ctx context.Context, session string, lease *Lease) error {
	var lastErr error
	for {
		sleep(ctx, share(d.Settings.TTL, renewShare))
		if ctx.Err() != nil {
			return nil
		}
		if lease.Check() != nil {
			lostTotal.Inc()
			return errors.Join(ErrNotHeld, lastErr)
		}
		start := time.Now()
		_, err := timed(ctx, func(ctx context.Context) (struct{}, error) {
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

func (d *Duty) destroy(ctx context.Context, session string) {
	_, err := timed(context.WithoutCancel(ctx), func(ctx context.Context) (struct{}, error) {
		return struct{}{}, d.KV.DestroySession(ctx, session)
	})
	if err != nil {
		d.Log.WithError(err).WithField("duty", d.Name).Warn("lease not given up; it lapses by itself")
	}
}

func timed[T any](ctx context.Context, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx)
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
