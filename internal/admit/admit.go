// Package admit is the admission control of a pool: it decides which requests
// run now, which are queued and which are refused. Workspaces share the pool by
// weight, interactive requests have priority over deferrable ones without
// starving them, and a request that cannot meet its deadline is refused at once.
package admit

import (
	"time"

	"kumquatyard/internal/contract"
)

// Status is the outcome of an offer.
type Status uint8

const (
	// Admitted requests run now.
	Admitted Status = iota + 1
	// Queued requests wait until they are admitted, expired, displaced or
	// canceled.
	Queued
	// Refused requests have not run and will not run.
	Refused
)

// Reason says why a request was refused.
type Reason uint8

const (
	// QueueFull means that the queue has reached its limit.
	QueueFull Reason = iota + 1
	// WorkspaceFull means that the workspace has reached its limit of queued tokens.
	WorkspaceFull
	// WorkspaceInFlight means that the workspace has its maximum of requests in
	// flight.
	WorkspaceInFlight
	// DeadlineUnreachable means that the deadline cannot be met at the current
	// service rate.
	DeadlineUnreachable
	// DeadlinePassed means that the request was queued until it could no longer
	// meet its deadline.
	DeadlinePassed
	// Displaced means that the queued request was removed in favor of a workspace
	// that held less of the queue for its weight.
	Displaced
)

var reasonNames = [...]string{
	"none", "queue_full", "workspace_queue_full", "workspace_in_flight",
	"deadline_unreachable", "deadline_passed", "displaced",
}

// String returns the reason's name in metrics and messages.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}

// Limits are the limits of a Controller. The queue limits have defaults, which
// apply when they are zero.
type Limits struct {
	// Slots is the number of requests that run at once.
	Slots int
	// QueueTokens limits the total tokens of queued requests.
	QueueTokens int
	// QueueRequests limits the number of queued requests.
	QueueRequests int
	// WorkspaceTokens limits the tokens of queued requests of one workspace.
	// The default is QueueTokens.
	WorkspaceTokens int
	// MaxInFlight returns the limit on a workspace's running and queued requests;
	// 0 means no limit. A nil function limits no workspace.
	MaxInFlight func(workspace string) int
}

// Default limits of a queue.
const (
	defaultQueueTokens   = 4_000_000
	defaultQueueRequests = 2_000
)

// Request is a request that asks for admission.
type Request struct {
	ID        uint64
	Workspace string
	Priority  contract.Priority
	// Tokens is the work of the request: prompt and output tokens.
	Tokens int
	// Deadline is when the first byte of the answer is due; zero means none.
	Deadline time.Time
}

// Decision is the result of Offer.
type Decision struct {
	Status Status
	// RetryAfter and Reason are set if the request was refused.
	RetryAfter time.Duration
	Reason     Reason
}

// Outcome describes how an admitted request ended.
type Outcome struct {
	// Latency is the time from admission to the end of the answer.
	Latency time.Duration
	// FirstByte is the time from admission to the first byte; 0 if there was none.
	FirstByte time.Duration
	Failed    bool
}

// Refusal describes a queued request that expired or was displaced.
type Refusal struct {
	ID         uint64
	RetryAfter time.Duration
	Reason     Reason
}

// Controller admits the requests of one pool on one gateway. It is not safe
// for concurrent use.
type Controller struct {
	limits  Limits
	weights func(workspace string) int
	slots   int

	classes [2]class
	// deferrableCredit is the work, in tokens, that deferrable requests may start
	// ahead of interactive ones.
	deferrableCredit  float64
	running           map[uint64]runningRequest
	deferrableRunning int
	queued            map[uint64]*entry
	expiries          expiryHeap
	usage             map[string]*usage
	tokens            int
	rate              serviceRate
	// demand averages the number of interactive requests, running and queued,
	// sampled at each arrival.
	demand average
	// displaced holds refusals that the next Expire returns.
	displaced []Refusal
}

// usage is the running and queued work of a workspace.
type usage struct {
	inFlight     int
	queuedTokens int
}

type runningRequest struct {
	workspace string
	class     int
	tokens    int
}

// New returns a Controller. weights returns a workspace's relative share under
// contention; values below 1 count as 1.
func New(limits Limits, weights func(workspace string) int) *Controller {
	if limits.QueueTokens == 0 {
		limits.QueueTokens = defaultQueueTokens
	}
	if limits.QueueRequests == 0 {
		limits.QueueRequests = defaultQueueRequests
	}
	if limits.WorkspaceTokens == 0 {
		limits.WorkspaceTokens = limits.QueueTokens
	}
	return &Controller{
		limits:  limits,
		weights: weights,
		slots:   limits.Slots,
		classes: [2]class{newClass(), newClass()},
		running: make(map[uint64]runningRequest),
		queued:  make(map[uint64]*entry),
		usage:   make(map[string]*usage),
	}
}

// Offer admits, queues or refuses a new request. The caller must call Done for
// an admitted request and may call Cancel for a queued one. Offer may displace
// queued requests; the next Expire returns them.
func (c *Controller) Offer(now time.Time, r Request) Decision {
	c.demand.observe(float64(len(c.running) - c.deferrableRunning + c.classes[interactive].requests))
	u := c.usageOf(r.Workspace)
	defer c.dropIdleUsage(r.Workspace)
	if c.limits.MaxInFlight != nil {
		bound := c.limits.MaxInFlight(r.Workspace)
		if bound > 0 && u.inFlight >= bound {
			return c.refuse(r, WorkspaceInFlight, c.rate.drain(r.Tokens, c.slots))
		}
	}
	class := classOf(r.Priority)
	if c.mayStart(class) && c.classes[class].requests == 0 {
		c.classes[class].charge(r.Workspace, c.weight(r.Workspace), r.Tokens)
		c.start(r.ID, r.Workspace, class, r.Tokens)
		u.inFlight++
		return Decision{Status: Admitted}
	}
	if late := c.lateness(now, &r); late > 0 {
		return c.refuse(r, DeadlineUnreachable, late)
	}
	if u.queuedTokens+r.Tokens > c.limits.WorkspaceTokens {
		return c.refuse(r, WorkspaceFull, c.rate.drain(r.Tokens, c.slots))
	}
	if !c.makeRoom(&r) {
		return c.refuse(r, QueueFull, c.rate.drain(c.tokens+r.Tokens-c.limits.QueueTokens, c.slots))
	}
	c.enqueue(r)
	return Decision{Status: Queued}
}

// Done records the end of an admitted request and returns the ids of the queued
// requests that are admitted in its place.
func (c *Controller) Done(now time.Time, id uint64, outcome Outcome) []uint64 {
	r, ok := c.running[id]
	if !ok {
		return nil
	}
	delete(c.running, id)
	if r.class == deferrable {
		c.deferrableRunning--
	}
	c.usageOf(r.workspace).inFlight--
	c.dropIdleUsage(r.workspace)
	if !outcome.Failed {
		c.rate.observe(r.class, r.tokens, outcome)
	}
	return c.dispatch(now)
}

// Cancel removes a queued request, for example because its caller disconnected.
func (c *Controller) Cancel(now time.Time, id uint64) {
	if e, ok := c.queued[id]; ok {
		c.remove(e)
	}
}

// SetCapacity sets the number of requests that run at once and returns the ids
// of the queued requests that this admits. It never stops running requests.
func (c *Controller) SetCapacity(now time.Time, slots int) []uint64 {
	c.slots = slots
	return c.dispatch(now)
}

// Expire removes the queued requests that can no longer meet their deadline. It
// returns them and the requests displaced since the last call.
func (c *Controller) Expire(now time.Time) []Refusal {
	out := c.displaced
	c.displaced = nil
	for len(c.expiries) > 0 && !c.expiries[0].latest.After(now) {
		e := c.expiries[0]
		c.remove(e)
		wait := c.rate.drain(c.tokens, c.slots)
		out = append(out, Refusal{ID: e.ID, RetryAfter: retryAfter(e.ID, wait), Reason: DeadlinePassed})
	}
	return out
}

// NextExpiry returns when Expire next has something to return: the zero time if
// nothing is due, a time in the past if something is due now.
func (c *Controller) NextExpiry() time.Time {
	if len(c.displaced) > 0 {
		return time.Unix(0, 1)
	}
	if len(c.expiries) == 0 {
		return time.Time{}
	}
	return c.expiries[0].latest
}

// Running returns the number of admitted requests that have not ended.
func (c *Controller) Running() int { return len(c.running) }

// QueuedRequests returns the number of queued requests.
func (c *Controller) QueuedRequests() int { return len(c.queued) }

// QueuedTokens returns the total tokens of queued requests.
func (c *Controller) QueuedTokens() int { return c.tokens }

func (c *Controller) refuse(r Request, reason Reason, wait time.Duration) Decision {
	return Decision{Status: Refused, RetryAfter: retryAfter(r.ID, wait), Reason: reason}
}

func (c *Controller) weight(workspace string) float64 {
	return float64(max(c.weights(workspace), 1))
}

func (c *Controller) usageOf(workspace string) *usage {
	u := c.usage[workspace]
	if u == nil {
		u = &usage{}
		c.usage[workspace] = u
	}
	return u
}

// dropIdleUsage deletes the usage of a workspace without running or queued
// requests.
func (c *Controller) dropIdleUsage(workspace string) {
	if u := c.usage[workspace]; u != nil && u.inFlight == 0 {
		delete(c.usage, workspace)
	}
}
