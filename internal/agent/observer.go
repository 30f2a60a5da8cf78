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
	// cacheInterval is the minimum time between reads of a server's cache events.
	cacheInterval    = 1900 * time.Millisecond
	maxResponseBytes = 1 << 20
	// secondObserverFactor is the poll interval of a server's second observer
	// relative to that of the first.
	secondObserverFactor = 2
	// staleAfter is the age of a load after which the second observer reports a
	// server in place of the first. Digest and poll intervals together cause an
	// age of at most 4 s.
	staleAfter = 6 * time.Second
)

var (
	pollSeconds  = metrics.NewHistogram("kumquat_agent_poll_seconds")
	pollFailures = metrics.NewCounter("kumquat_agent_poll_failures_total")
)

// observedServer is the polling state of a server that the agent observes.
type observedServer struct {
	server   machine.Server
	first    bool
	next     time.Time
	failures int
	polling  bool
	// cacheSeq is the sequence number of the last cache event read, cacheAt the
	// time of the last read.
	cacheSeq uint64
	cacheAt  time.Time
}

// observer polls the agent's share of the servers over HTTP.
type observer struct {
	agent        *Agent
	baseInterval time.Duration
	client       *fasthttp.Client

	// lastIDs, lastLive and assigned are the last assignment and its inputs. Only
	// the goroutine that calls assign uses them.
	lastIDs, lastLive []string
	assigned          map[string]member.Assignment

	mu      sync.Mutex
	targets map[machine.ID]*observedServer
}

func newObserver(a *Agent, baseInterval time.Duration) *observer {
	return &observer{
		agent: a, baseInterval: baseInterval, targets: map[machine.ID]*observedServer{},
		client: &fasthttp.Client{
			NoDefaultUserAgentHeader:  true,
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       maxResponseBytes,
			MaxConnsPerHost:           maxPolls,
		},
	}
}

// assign sets the agent's share of servers. The first poll of a new target comes
// after a random part of the interval.
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
			t = &observedServer{next: time.Now().Add(rand.N(o.baseInterval))}
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

// assignments returns the observers of each server. It reuses the last result
// while the inputs are unchanged.
func (o *observer) assignments(ids, live []string) map[string]member.Assignment {
	slices.Sort(ids)
	if !slices.Equal(ids, o.lastIDs) || !slices.Equal(live, o.lastLive) {
		o.lastIDs, o.lastLive = ids, live
		o.assigned = member.Assign(ids, live)
	}
	return o.assigned
}

// drop stops observing a server. The mutexes of the observer and of the agent are
// held.
func (o *observer) drop(id machine.ID) {
	if _, known := o.targets[id]; known {
		delete(o.targets, id)
		o.agent.publisher.Withdraw(id)
	}
}

// run polls the targets that are due until ctx is done.
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

// due returns the targets to poll at now and schedules their next poll.
func (o *observer) due(now time.Time) []*observedServer {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []*observedServer
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

func (o *observer) interval(t *observedServer) time.Duration {
	if t.first {
		return o.baseInterval
	}
	return secondObserverFactor * o.baseInterval
}

// poll reads the state of a server, and the cache events of an engine if they are
// due, and records the result.
func (o *observer) poll(t *observedServer) {
	o.mu.Lock()
	server, first, seq := t.server, t.first, t.cacheSeq
	start := time.Now()
	withCache := first && server.Kind == machine.Engine && start.Sub(t.cacheAt) >= cacheInterval
	if withCache {
		t.cacheAt = start
	}
	o.mu.Unlock()
	report, err := o.readState(server.Address)
	pollSeconds.UpdateDuration(start)
	var events cacheEventsResponse
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
		o.agent.recordState(report.state(server.ID), first)
		o.agent.recordCacheEvents(server.ID, events, seq)
	case unreachable:
		o.agent.recordUnreachable(server.ID, first)
	}
}

// stateResponse is the response of GET /v1/state.
type stateResponse struct {
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

func (s stateResponse) state(id machine.ID) machine.State {
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

// cacheEventsResponse is the response of GET /v1/cache/events.
type cacheEventsResponse struct {
	First  uint64 `json:"first"`
	Last   uint64 `json:"last"`
	Events []struct {
		Added   []string `json:"added"`
		Removed []string `json:"removed"`
	} `json:"events"`
}

// hashes returns the block hashes of all events in the order of the events.
func (c cacheEventsResponse) hashes() (added, removed []uint64) {
	for _, e := range c.Events {
		added = appendHex(added, e.Added)
		removed = appendHex(removed, e.Removed)
	}
	return added, removed
}

// appendHex appends the hexadecimal hashes in texts and skips invalid ones.
func appendHex(out []uint64, texts []string) []uint64 {
	for _, text := range texts {
		if hash, err := strconv.ParseUint(text, 16, 64); err == nil {
			out = append(out, hash)
		}
	}
	return out
}

func (o *observer) readState(address string) (s stateResponse, err error) {
	err = o.getJSON("http://"+address+"/v1/state", &s)
	return s, err
}

func (o *observer) readCache(address string, after uint64) (c cacheEventsResponse, err error) {
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
		return fmt.Errorf("GET %s answered with status %d, want 200", url, resp.StatusCode())
	}
	return json.Unmarshal(resp.Body(), out)
}
