package admit

import (
	"container/heap"
	"slices"
	"time"

	"kumquatyard/internal/contract"
)

// Indexes into Controller.classes.
const (
	interactive = iota
	deferrable
)

const (
	// deferrableShare is the fraction of the work, in tokens, that goes to
	// deferrable requests while interactive ones are queued as well.
	deferrableShare = 0.1
	// reservedShare is the minimum fraction of the slots that is reserved for
	// interactive requests.
	reservedShare = 0.125
	// demandDeviations is the headroom over the mean number of interactive
	// requests, in mean deviations.
	demandDeviations = 1.5
)

func classOf(p contract.Priority) int {
	if p == contract.Deferrable {
		return deferrable
	}
	return interactive
}

// entry is a queued request.
type entry struct {
	Request
	class int
	// latest is the latest start that meets the deadline; zero without a deadline.
	latest time.Time
	// position is the index in the expiry heap; -1 without a deadline.
	position int
}

// flow is the queue of a workspace in one class.
type flow struct {
	weight  float64
	entries []*entry
	tokens  int
	// start is the start tag of the next request.
	start float64
}

// class schedules flows by start-time fair queueing (Goyal, Vin, Cheng, 1996):
// a request's start tag is the larger of the virtual time and the finish tag of
// the flow's previous request, and the smallest start tag is served first.
type class struct {
	flows    map[string]*flow
	virtual  float64
	requests int
	tokens   int
}

func newClass() class { return class{flows: make(map[string]*flow)} }

func (c *class) flow(workspace string, weight float64) *flow {
	f := c.flows[workspace]
	if f == nil {
		f = &flow{start: c.virtual}
		c.flows[workspace] = f
	}
	f.weight = weight
	if len(f.entries) == 0 {
		f.start = max(f.start, c.virtual)
	}
	return f
}

// charge advances the virtual time and the flow's start tag for a request that
// starts now.
func (c *class) charge(workspace string, weight float64, tokens int) {
	f := c.flow(workspace, weight)
	c.virtual = max(c.virtual, f.start)
	f.start += float64(tokens) / f.weight
}

// next returns the entry with the smallest start tag, or nil when none is
// queued. Ties are broken by the smallest id.
func (c *class) next() *entry {
	var best *flow
	for _, f := range c.flows {
		if len(f.entries) == 0 {
			continue
		}
		if best == nil || f.start < best.start ||
			(f.start == best.start && f.entries[0].ID < best.entries[0].ID) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.entries[0]
}

// dropIdleFlows deletes the empty flows whose start tag is not ahead of the
// virtual time; a new flow would get the same tag.
func (c *class) dropIdleFlows() {
	for name, f := range c.flows {
		if len(f.entries) == 0 && f.start <= c.virtual {
			delete(c.flows, name)
		}
	}
}

func (c *Controller) enqueue(r Request) {
	e := &entry{Request: r, class: classOf(r.Priority), position: -1}
	class := &c.classes[e.class]
	f := class.flow(r.Workspace, c.weight(r.Workspace))
	f.entries = append(f.entries, e)
	f.tokens += r.Tokens
	class.requests++
	class.tokens += r.Tokens
	c.tokens += r.Tokens
	c.queued[r.ID] = e
	u := c.usageOf(r.Workspace)
	u.inFlight++
	u.queuedTokens += r.Tokens
	if !r.Deadline.IsZero() {
		e.latest = r.Deadline.Add(-c.rate.firstByte(e.class))
		heap.Push(&c.expiries, e)
	}
}

// remove removes e from the queue and updates all counts.
func (c *Controller) remove(e *entry) {
	class := &c.classes[e.class]
	f := class.flows[e.Workspace]
	if f.entries[0] == e {
		f.entries[0] = nil
		f.entries = f.entries[1:]
	} else {
		i := slices.Index(f.entries, e)
		f.entries = slices.Delete(f.entries, i, i+1)
	}
	f.tokens -= e.Tokens
	class.requests--
	class.tokens -= e.Tokens
	class.dropIdleFlows()
	c.tokens -= e.Tokens
	delete(c.queued, e.ID)
	if e.position >= 0 {
		heap.Remove(&c.expiries, e.position)
	}
	u := c.usageOf(e.Workspace)
	u.inFlight--
	u.queuedTokens -= e.Tokens
	c.dropIdleUsage(e.Workspace)
}

// mayStart reports whether a request of the class may take a slot now.
func (c *Controller) mayStart(class int) bool {
	if len(c.running) >= c.slots {
		return false
	}
	if class == interactive || c.slots < 2 {
		return true
	}
	return c.deferrableRunning < c.slots-c.reserved()
}

// reserved returns the number of slots reserved for interactive requests: their
// recent demand with headroom. The reason is that a long deferrable request
// that starts between two bursts of interactive requests still occupies its
// slot in the next burst. At least a deferrableShare of the slots is never
// reserved.
func (c *Controller) reserved() int {
	least := max(1, reservedShare*float64(c.slots))
	most := (1 - deferrableShare) * float64(c.slots)
	demand := c.demand.mean + demandDeviations*c.demand.deviation
	return int(min(max(demand, least), max(most, 1)))
}

// start records a request as running.
func (c *Controller) start(id uint64, workspace string, class, tokens int) {
	c.running[id] = runningRequest{workspace: workspace, class: class, tokens: tokens}
	if class == deferrable {
		c.deferrableRunning++
	}
}

// dispatch starts queued requests while slots are free and returns their ids.
func (c *Controller) dispatch(now time.Time) []uint64 {
	var admitted []uint64
	for {
		e := c.pick(now)
		if e == nil {
			return admitted
		}
		c.classes[e.class].charge(e.Workspace, c.weight(e.Workspace), e.Tokens)
		c.remove(e)
		c.start(e.ID, e.Workspace, e.class, e.Tokens)
		c.usageOf(e.Workspace).inFlight++
		admitted = append(admitted, e.ID)
	}
}

// pick returns the queued request that starts next, or nil. It displaces
// requests that would miss their deadline; the next Expire returns them.
func (c *Controller) pick(now time.Time) *entry {
	first, second := c.head(interactive, now), c.head(deferrable, now)
	switch {
	case first == nil:
		return second
	case second == nil:
		return first
	case c.deferrableCredit >= float64(second.Tokens):
		c.deferrableCredit -= float64(second.Tokens)
		return second
	default:
		c.deferrableCredit += float64(first.Tokens) * deferrableShare / (1 - deferrableShare)
		return first
	}
}

// head returns the next request of the class that may start, or nil.
func (c *Controller) head(class int, now time.Time) *entry {
	if !c.mayStart(class) {
		return nil
	}
	for {
		e := c.classes[class].next()
		if e == nil || e.latest.IsZero() || e.latest.After(now) {
			return e
		}
		c.displace(e, DeadlinePassed)
	}
}

// displace removes e from the queue; the next Expire returns its refusal.
func (c *Controller) displace(e *entry, reason Reason) {
	c.remove(e)
	wait := c.rate.drain(c.tokens, c.slots)
	c.displaced = append(c.displaced, Refusal{ID: e.ID, RetryAfter: retryAfter(e.ID, wait), Reason: reason})
}

// makeRoom reports whether r fits in the queue, after displacing the newest
// requests of workspaces that hold more queued tokens per weight than r's
// workspace. It displaces none when that would not free enough tokens.
func (c *Controller) makeRoom(r *Request) bool {
	held := float64(c.usageOf(r.Workspace).queuedTokens+r.Tokens) / c.weight(r.Workspace)
	if c.excess(r.Workspace, held) < float64(c.tokens+r.Tokens-c.limits.QueueTokens) {
		return false
	}
	for len(c.queued)+1 > c.limits.QueueRequests || c.tokens+r.Tokens > c.limits.QueueTokens {
		victim := c.largestHolder(r.Workspace, held)
		if victim == nil {
			return false
		}
		c.displace(victim, Displaced)
	}
	return true
}

// excess returns the total queued tokens of workspaces other than except above
// held tokens per unit of weight.
func (c *Controller) excess(except string, held float64) float64 {
	sum := 0.0
	for name, u := range c.usage {
		if name != except {
			sum += max(0, float64(u.queuedTokens)-held*c.weight(name))
		}
	}
	return sum
}

// largestHolder returns the newest request, deferrable before interactive, of
// the workspace with the most queued tokens per weight. It returns nil when no
// workspace other than except has more than over.
func (c *Controller) largestHolder(except string, over float64) *entry {
	holder := ""
	for name, u := range c.usage {
		held := float64(u.queuedTokens) / c.weight(name)
		if name != except && held > over || held == over && holder != "" && name < holder {
			holder, over = name, held
		}
	}
	for class := deferrable; class >= interactive; class-- {
		if f := c.classes[class].flows[holder]; f != nil && len(f.entries) > 0 {
			return f.entries[len(f.entries)-1]
		}
	}
	return nil
}

// expiryHeap orders entries by their latest start.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].latest.Before(h[j].latest) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.position = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.position = -1
	return e
}
