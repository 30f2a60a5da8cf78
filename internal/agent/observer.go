package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"kumquatyard/internal/machine"
	"kumquatyard/internal/member"
)

const (
	// pollTick is the resolution of the polling schedule.
	pollTick = 100 * time.Millisecond
	// pollTimeout bounds one poll of a server.
	pollTimeout = 800 * time.Millisecond
	// failuresToUnreachable is the number of failed polls in a row after which
	// a server counts as unreachable.
	failuresToUnreachable = 2
	maxPolls              = 64
	// cacheEvery is the shortest time between reads of a server's cache events.
	cacheEvery     = 1900 * time.Millisecond
	maxAnswerBytes = 1 << 20
	// secondObserverFactor stretches the polls of a server's second observer.
	secondObserverFactor = 2
	// staleAfter is the age of a load after which the second observer reports
	// a server in the first one's place; digests and polls together bring at
	// most 4 s.
	staleAfter = 6 * time.Second
)

var (
	pollSeconds  = metrics.NewHistogram("kumquat_agent_poll_seconds")
	pollFailures = metrics.NewCounter("kumquat_agent_poll_failures_total")
)

// target is one server that the agent observes.
type target struct {
	server   machine.Server
	first    bool
	next     time.Time
	failures int
	polling  bool
	// cacheSeq is the last cache event read, at cacheAt.
	cacheSeq uint64
	cacheAt  time.Time
}

// observer polls the agent's share of the servers over HTTP.
type observer struct {
	agent  *Agent
	every  time.Duration
	client *fasthttp.Client

	// The last assignment and its inputs, used by one goroutine.
	lastIDs, lastLive []string
	assigned          map[string]member.Assignment

	mu      sync.Mutex
	targets map[machine.ID]*target
}

func newObserver(a *Agent, every time.Duration) *observer {
	return &observer{
		agent: a, every: every, targets: map[machine.ID]*target{},
		client: &fasthttp.Client{
			NoDefaultUserAgentHeader:  true,
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       maxAnswerBytes,
			MaxConnsPerHost:           maxPolls,
		},
	}
}

// assign sets the agent's share of servers. New targets start at a random part
// of the interval.
func (o *observer) assign(servers map[machine.ID]machine.Server, live []string) {
	ids := make([]string, 0, len(servers))
	for id := range servers {
		ids = append(ids, string(id))
	}
	assigned := o.assignments(ids, live)
	o.mu.Lock()
	defer o.mu.Unlock()
	self := o.agent.settings.ID
	for id, server := range servers {
		a := assigned[string(id)]
		if a.First != self && a.Second != self {
			o.drop(id)
			continue
		}
		t, known := o.targets[id]
		if !known {
			t = &target{next: time.Now().Add(rand.N(o.every))}
			o.targets[id] = t
		}
		t.server, t.first = server, a.First == self
	}
	for id := range o.targets {
		if _, ok := servers[id]; !ok {
			delete(o.targets, id)
		}
	}
}

// assignments returns who observes what; the last result is kept while its
// inputs stay the same.
func (o *observer) assignments(ids, live []string) map[string]member.Assignment {
	slices.Sort(ids)
	if !slices.Equal(ids, o.lastIDs) || !slices.Equal(live, o.lastLive) {
		o.lastIDs, o.lastLive = ids, live
		o.assigned = member.Assign(ids, live)
	}
	return o.assigned
}

// drop gives up a server; the agent's mutex is held.
func (o *observer) drop(id machine.ID) {
	if _, known := o.targets[id]; known {
		delete(o.targets, id)
		o.agent.publisher.Withdraw(id)
	}
}

func (o *observer) run(ctx context.Context) error {
	polls := pool.New().WithMaxGoroutines(maxPolls)
	defer polls.Wait()
	ticker := time.NewTicker(pollTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			for _, t := range o.due(now) {
				polls.Go(func() { o.poll(t) })
			}
		}
	}
}

func (o *observer) due(now time.Time) []*target {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []*target
	for _, t := range o.targets {
		if t.polling || now.Before(t.next) {
			continue
		}
		t.polling = true
		t.next = now.Add(jittered(o.interval(t)))
		out = append(out, t)
	}
	return out
}

func (o *observer) interval(t *target) time.Duration {
	if t.first {
		return o.every
	}
	return secondObserverFactor * o.every
}

func (o *observer) poll(t *target) {
	o.mu.Lock()
	server, first, seq := t.server, t.first, t.cacheSeq
	start := time.Now()
	withCache := first && server.Kind == machine.Engine && start.Sub(t.cacheAt) >= cacheEvery
	if withCache {
		t.cacheAt = start
	}
	o.mu.Unlock()
	report, err := o.readState(server.Address)
	pollSeconds.UpdateDuration(start)
	var events cacheAnswer
	if err == nil && withCache {
		events, _ = o.readCache(server.Address, seq)
	}
	o.mu.Lock()
	t.polling = false
	t.failures++
	if err == nil {
		t.failures = 0
	} else {
		pollFailures.Inc()
	}
	if events.Last > seq {
		t.cacheSeq = events.Last
	}
	unreachable := t.failures >= failuresToUnreachable
	o.mu.Unlock()
	switch {
	case err == nil:
		o.agent.observed(report.state(server.ID), first)
		o.agent.observedCache(server.ID, events, seq)
	case unreachable:
		o.agent.observedUnreachable(server.ID, first)
	}
}

// stateAnswer is the answer of GET /v1/state.
type stateAnswer struct {
	Incarnation      uint64   `json:"incarnation"`
	Lifecycle        string   `json:"lifecycle"`
	ReclaimAtUnixMS  int64    `json:"reclaim_at_unix_ms"`
	Running          int      `json:"running"`
	Queued           int      `json:"queued"`
	QueuedTokens     int      `json:"queued_tokens"`
	Slots            int      `json:"slots"`
	TokensPerSecond  float64  `json:"tokens_per_second"`
	Adapters         []string `json:"adapters"`
	MeasuredAtUnixMS int64    `json:"measured_at_unix_ms"`
}

var lifecycles = map[string]machine.Lifecycle{
	"starting": machine.Starting, "serving": machine.Serving, "leaving": machine.Leaving, "gone": machine.Gone,
}

func (s stateAnswer) state(id machine.ID) machine.State {
	out := machine.State{
		ID: id, Incarnation: s.Incarnation, Lifecycle: lifecycles[s.Lifecycle],
		Load: machine.Load{
			At: time.UnixMilli(s.MeasuredAtUnixMS), Running: s.Running, Queued: s.Queued,
			QueuedTokens: s.QueuedTokens, Slots: s.Slots,
			TokensPerSecond: int(s.TokensPerSecond), Adapters: s.Adapters,
		},
	}
	if s.MeasuredAtUnixMS == 0 {
		out.Load.At = time.Now()
	}
	if s.ReclaimAtUnixMS != 0 {
		out.ReclaimAt = time.UnixMilli(s.ReclaimAtUnixMS)
	}
	return out
}

// cacheAnswer is the answer of GET /v1/cache/events.
type cacheAnswer struct {
	First  uint64 `json:"first"`
	Last   uint64 `json:"last"`
	Events []struct {
		Added   []string `json:"added"`
		Removed []string `json:"removed"`
	} `json:"events"`
}

// hashes returns the block hashes of all events; later events win.
func (c cacheAnswer) hashes() (added, removed []uint64) {
	for _, e := range c.Events {
		added = appendHex(added, e.Added)
		removed = appendHex(removed, e.Removed)
	}
	return added, removed
}

func appendHex(out []uint64, texts []string) []uint64 {
	for _, text := range texts {
		if hash, err := strconv.ParseUint(text, 16, 64); err == nil {
			out = append(out, hash)
		}
	}
	return out
}

func (o *observer) readState(address string) (s stateAnswer, err error) {
	err = o.getJSON("http://"+address+"/v1/state", &s)
	return s, err
}

func (o *observer) readCache(address string, after uint64) (c cacheAnswer, err error) {
	err = o.getJSON(fmt.Sprintf("http://%s/v1/cache/events?after=%d", address, after), &c)
	return c, err
}

func (o *observer) getJSON(url string, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	if err := o.client.DoTimeout(req, resp, pollTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("GET %s: status %d", url, resp.StatusCode())
	}
	return json.Unmarshal(resp.Body(), out)
}
