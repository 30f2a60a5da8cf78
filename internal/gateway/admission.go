package gateway

import (
	"context"
	"sync"
	"time"

	"kumquatyard/internal/admit"
	"kumquatyard/internal/contract"
)

// admissionQueue admits the requests of one pool. It makes an admit.Controller
// safe for concurrent use.
type admissionQueue struct {
	mu         sync.Mutex
	controller *admit.Controller
	waiting    map[uint64]chan error
	nextID     uint64
	timer      *time.Timer
}

func newAdmissionQueue(limits admit.Limits, weight func(string) int) *admissionQueue {
	q := &admissionQueue{controller: admit.New(limits, weight), waiting: make(map[uint64]chan error)}
	q.timer = time.AfterFunc(time.Hour, q.expire)
	return q
}

// acquire waits until req is admitted and returns its id, which must be passed
// to release when the request has ended.
func (q *admissionQueue) acquire(ctx context.Context, req admit.Request) (uint64, error) {
	q.mu.Lock()
	q.nextID++
	req.ID = q.nextID
	now := time.Now()
	decision := q.controller.Offer(now, req)
	switch decision.Status {
	case admit.Admitted:
		q.mu.Unlock()
		return req.ID, nil
	case admit.Refused:
		q.mu.Unlock()
		return 0, contract.Refusal(contract.KindOverloaded, decision.RetryAfter, decision.Reason.String())
	}
	admitted := make(chan error, 1)
	q.waiting[req.ID] = admitted
	q.arm(now)
	q.mu.Unlock()
	select {
	case err := <-admitted:
		return req.ID, err
	case <-ctx.Done():
		return 0, q.cancel(req.ID, admitted)
	}
}

// cancel removes a request from the queue after its context ended, and returns
// the refusal for it. If the request was admitted concurrently, cancel releases
// its slot.
func (q *admissionQueue) cancel(id uint64, admitted chan error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case err := <-admitted:
		if err == nil {
			q.admit(q.controller.Done(time.Now(), id, admit.Outcome{Failed: true}))
		}
	default:
		delete(q.waiting, id)
		q.controller.Cancel(time.Now(), id)
	}
	return contract.Refusal(contract.KindDeadline, time.Second, "the request's deadline passed in the queue")
}

// release ends an admitted request and admits queued ones in its place.
func (q *admissionQueue) release(id uint64, outcome admit.Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.admit(q.controller.Done(now, id, outcome))
	q.arm(now)
}

// resize sets the number of requests that may run concurrently.
func (q *admissionQueue) resize(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admit(q.controller.SetCapacity(time.Now(), slots))
}

func (q *admissionQueue) admit(ids []uint64) {
	for _, id := range ids {
		q.resolve(id, nil)
	}
}

// resolve ends the wait of a queued request: admitted if err is nil, refused
// otherwise.
func (q *admissionQueue) resolve(id uint64, err error) {
	if admitted, ok := q.waiting[id]; ok {
		delete(q.waiting, id)
		admitted <- err
	}
}

// expire refuses the queued requests whose deadline can no longer be met.
func (q *admissionQueue) expire() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for _, r := range q.controller.Expire(now) {
		q.resolve(r.ID, contract.Refusal(contract.KindDeadline, r.RetryAfter, r.Reason.String()))
	}
	q.arm(now)
}

// arm sets the timer to the next expiry of a queued request.
func (q *admissionQueue) arm(now time.Time) {
	if at := q.controller.NextExpiry(); !at.IsZero() {
		q.timer.Reset(max(at.Sub(now), time.Millisecond))
	}
}
