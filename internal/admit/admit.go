// Package admit decides which requests of a pool run now, which wait and which
// are refused. Workspaces share the pool by weight, interactive requests go
// before deferrable ones without starving them, and a request whose deadline
// cannot be met is refused at once.
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
	// Queued requests wait until they are admitted, expire or are cancelled.
	Queued
	// Refused requests have not run and will not.
	Refused
)

// Reason says why a request was refused.
type Reason uint8

const (
	// QueueFull means that the queue's bound is reached.
	QueueFull Reason = iota + 1
	// WorkspaceFull means that the workspace's bound on queued tokens is reached.
	WorkspaceFull
	// WorkspaceInFlight means that the workspace has its maximum in flight.
	WorkspaceInFlight
	// DeadlineUnreachable means that the deadline cannot be met at the measured rate.
	DeadlineUnreachable
	// DeadlinePassed means that the request waited until its deadline could not
	// be met any more.
	DeadlinePassed
	// Displaced means that the request gave way to a workspace under its share.
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

// Limits bound what a Controller holds. Zero bounds take the defaults.
type Limits struct {
	// Slots is the number of requests that run at once.
	Slots int
	// QueueTokens bounds the tokens of queued work.
	QueueTokens int
	// QueueRequests bounds the queued requests.
	QueueRequests int
	// WorkspaceTokens bounds the tokens of queued work of one workspace.
	WorkspaceTokens int
	// MaxInFlight returns the bound on a workspace's running and queued
	// requests; 0 is unbounded. A nil function bounds none.
	MaxInFlight func(workspace string) int
}

// Default bounds of a queue.
const (
	defaultQueueTokens   = 4_000_000
	defaultQueueRequests = 2_000
)

// Request is an offered request.
type Request struct {
	ID        uint64
	Workspace string
	Priority  contract.Priority
	// Tokens is the work of the request: prompt and output tokens.
	Tokens int
	// Deadline is when the first byte of the answer is due; zero is never.
	Deadline time.Time
}

// Decision answers an offer.
type Decision struct {
	Status Status
	// RetryAfter and Reason are set for refused requests.
	RetryAfter time.Duration
	Reason     Reason
}

// Outcome describes a finished request.
type Outcome struct {
	// Latency is the time from admission to the end of the answer.
	Latency time.Duration
	// FirstByte is the time from admission to the first byte; 0 if there was none.
	FirstByte time.Duration
	Failed    bool
}

// Refusal is the end of a queued request that was given up on.
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
	// credit is the work in tokens that deferrable requests are owed.
	credit   float64
	running  map[uint64]runningRequest
	deferred int
	queued   map[uint64]*entry
	expiries expiryHeap
	usage    map[string]*usage
	tokens   int
	rate     serviceRate
	// demand averages the interactive requests in the system as seen by arrivals.
	demand average
	// displaced requests wait to be handed out by Expire.
	displaced []Refusal
}

// usage is what a workspace holds.
type usage struct {
	inFlight     int
	queuedTokens int
}

type runningRequest struct {
	workspace string
	class     int
	tokens    int
}

// New returns a Controller. weights gives a workspace's share under
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

// Offer decides about a new request. Admitted requests must be ended by Done,
// queued ones may be ended by Cancel. An offer may displace queued requests,
// which the next Expire returns.
func (c *Controller) Offer(now time.Time, r Request) Decision {
	c.demand.observe(float64(len(c.running) - c.deferred + c.classes[interactive].requests))
	u := c.usageOf(r.Workspace)
	defer c.forget(r.Workspace)
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

// Done ends an admitted request and returns the requests that are admitted in
// its place.
func (c *Controller) Done(now time.Time, id uint64, outcome Outcome) []uint64 {
	r, ok := c.running[id]
	if !ok {
		return nil
	}
	delete(c.running, id)
	if r.class == deferrable {
		c.deferred--
	}
	c.usageOf(r.workspace).inFlight--
	c.forget(r.workspace)
	if !outcome.Failed {
		c.rate.observe(r.class, r.tokens, outcome)
	}
	return c.dispatch(now)
}

// Cancel drops a queued request whose caller went away.
func (c *Controller) Cancel(now time.Time, id uint64) {
	if e, ok := c.queued[id]; ok {
		c.remove(e)
	}
}

// SetCapacity sets the number of requests that run at once and returns the
// requests that are admitted by it. Running requests are never stopped.
func (c *Controller) SetCapacity(now time.Time, slots int) []uint64 {
	c.slots = slots
	return c.dispatch(now)
}

// Expire removes and returns the queued requests that are given up on: they
// can no longer meet their deadline, or they were displaced.
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

// NextExpiry returns when Expire has something to return: the zero time for
// never, a time in the past for at once.
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

// QueuedTokens returns the tokens of queued work.
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

// forget drops the record of a workspace that holds nothing.
func (c *Controller) forget(workspace string) {
	if u := c.usage[workspace]; u != nil && u.inFlight == 0 {
		delete(c.usage, workspace)
	}
}
