package gateway

import (
	"context"
	"sync"
	"time"

	"kumquatyard/internal/admit"
	"kumquatyard/internal/contract"
)

// lane is the admission of one pool: the goroutine-safe shell of an
// admit.Controller.
type lane struct {
	mu         sync.Mutex
	controller *admit.Controller
	waiting    map[uint64]chan error
	nextID     uint64
	timer      *time.Timer
}

func newLane(limits admit.Limits, weight func(string) int) *lane {
	l := &lane{controller: admit.New(limits, weight), waiting: make(map[uint64]chan error)}
	l.timer = time.AfterFunc(time.Hour, l.expire)
	return l
}

// enter waits for admission. The caller calls leave with the returned id once
// the request ended.
func (l *lane) enter(ctx context.Context, req admit.Request) (uint64, error) {
	l.mu.Lock()
	l.nextID++
	req.ID = l.nextID
	now := time.Now()
	decision := l.controller.Offer(now, req)
	switch decision.Status {
	case admit.Admitted:
		l.mu.Unlock()
		return req.ID, nil
	case admit.Refused:
		l.mu.Unlock()
		return 0, contract.Refusal(contract.KindOverloaded, decision.RetryAfter, decision.Reason.String())
	}
	turn := make(chan error, 1)
	l.waiting[req.ID] = turn
	l.arm(now)
	l.mu.Unlock()
	select {
	case err := <-turn:
		return req.ID, err
	case <-ctx.Done():
		return 0, l.abandon(req.ID, turn)
	}
}

// abandon takes a request out of the queue whose caller went away or whose
// deadline passed.
func (l *lane) abandon(id uint64, turn chan error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case err := <-turn:
		if err == nil {
			l.admit(l.controller.Done(time.Now(), id, admit.Outcome{Failed: true}))
		}
	default:
		delete(l.waiting, id)
		l.controller.Cancel(time.Now(), id)
	}
	return contract.Refusal(contract.KindDeadline, time.Second, "the request's deadline passed in the queue")
}

// leave ends an admitted request.
func (l *lane) leave(id uint64, outcome admit.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.admit(l.controller.Done(now, id, outcome))
	l.arm(now)
}

// resize sets the number of requests that may run at once.
func (l *lane) resize(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admit(l.controller.SetCapacity(time.Now(), slots))
}

func (l *lane) admit(ids []uint64) {
	for _, id := range ids {
		l.wake(id, nil)
	}
}

func (l *lane) wake(id uint64, err error) {
	if turn, ok := l.waiting[id]; ok {
		delete(l.waiting, id)
		turn <- err
	}
}

// expire refuses queued requests whose deadline can no longer be met.
func (l *lane) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, r := range l.controller.Expire(now) {
		l.wake(r.ID, contract.Refusal(contract.KindDeadline, r.RetryAfter, r.Reason.String()))
	}
	l.arm(now)
}

// arm sets the timer to the next moment at which a queued request expires.
func (l *lane) arm(now time.Time) {
	if at := l.controller.NextExpiry(); !at.IsZero() {
		l.timer.Reset(max(at.Sub(now), time.Millisecond))
	}
}
