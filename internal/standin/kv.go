package standin

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

const (
	defaultWait     = 5 * time.Minute
	maxWait         = 10 * time.Minute
	maxValueBytes   = 1 << 20
	maxTxnOps       = 128
	expiryInterval  = 20 * time.Millisecond
	kvPathPrefix    = "/v1/kv/"
	renewPrefix     = "/v1/session/renew/"
	destroyPrefix   = "/v1/session/destroy/"
	sessionIDFormat = "%08x-%04x-%04x-%04x-%012x"
)

// KVOptions configure a KV. The zero KVOptions have no rate limits.
type KVOptions struct {
	// Now is the clock for session expiry; nil means time.Now.
	Now func() time.Time
	// Seed seeds the generators of session IDs and faults.
	Seed uint64
	// WritesPerSecond and ReadsPerSecond limit the calls; 0 means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// KVCounts counts the calls to a KV. A blocking query counts as one read.
// Limited are the calls that the rate limit refused; Waiting and Sessions are
// the current blocking queries and sessions.
type KVCounts struct {
	Reads    uint64 `json:"reads"`
	Writes   uint64 `json:"writes"`
	Limited  uint64 `json:"limited"`
	Waiting  int    `json:"waiting"`
	Sessions int    `json:"sessions"`
}

// KV is a stand-in for the key-value service.
type KV struct {
	*Endpoint
	now        func() time.Time
	writeLimit *rate.Limiter
	readLimit  *rate.Limiter

	mu      sync.Mutex
	store   *kvStore
	rng     *rand.Rand
	waiters map[*waiter]struct{}
	counts  KVCounts
}

// waiter is a blocking query that waits for a change.
type waiter struct {
	key     string
	recurse bool
	woken   chan struct{}
}

// NewKV returns an empty KV.
func NewKV(o KVOptions) *KV {
	k := &KV{
		now:        o.Now,
		writeLimit: newLimiter(o.WritesPerSecond),
		readLimit:  newLimiter(o.ReadsPerSecond),
		rng:        rand.New(rand.NewPCG(o.Seed, 1)),
		waiters:    make(map[*waiter]struct{}),
	}
	if k.now == nil {
		k.now = time.Now
	}
	k.store = newKVStore(k.wake)
	k.Endpoint = newEndpoint(o.Seed, k.handle)
	return k
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Serve implements Standin.
func (k *KV) Serve(l net.Listener) error {
	go k.expire()
	return k.Endpoint.Serve(l)
}

// expire ends sessions on time even if no calls arrive.
func (k *KV) expire() {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.ExpireSessions()
		case <-k.done:
			return
		}
	}
}

// ExpireSessions ends the sessions whose TTL has elapsed.
func (k *KV) ExpireSessions() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.store.expireSessions(k.now())
}

// Counts returns the current counts.
func (k *KV) Counts() KVCounts {
	k.mu.Lock()
	defer k.mu.Unlock()
	counts := k.counts
	counts.Waiting = len(k.waiters)
	counts.Sessions = len(k.store.sessions)
	return counts
}

// wake wakes the blocking queries on the changed keys. The caller holds k.mu.
func (k *KV) wake(keys []string) {
	for w := range k.waiters {
		for _, key := range keys {
			if key == w.key || (w.recurse && strings.HasPrefix(key, w.key)) {
				close(w.woken)
				delete(k.waiters, w)
				break
			}
		}
	}
}

func (k *KV) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.URI().PathOriginal())
	switch {
	case path == "/_counts":
		writeJSON(ctx, k.Counts())
	case !k.allow(ctx):
		refuse(ctx, http.StatusTooManyRequests, "rate limit exceeded")
	case strings.HasPrefix(path, kvPathPrefix):
		k.handleKey(ctx, path[len(kvPathPrefix):])
	case path == "/v1/txn":
		k.handleTxn(ctx)
	case path == "/v1/session/create":
		k.handleCreateSession(ctx)
	case strings.HasPrefix(path, renewPrefix):
		k.handleRenewSession(ctx, path[len(renewPrefix):])
	case strings.HasPrefix(path, destroyPrefix):
		k.handleDestroySession(ctx, path[len(destroyPrefix):])
	default:
		fail(ctx, http.StatusNotFound, "unknown path %s", path)
	}
}

// allow applies the rate limit for reads or writes and counts the call.
func (k *KV) allow(ctx *fasthttp.RequestCtx) bool {
	limit, counter := k.writeLimit, &k.counts.Writes
	if ctx.IsGet() {
		limit, counter = k.readLimit, &k.counts.Reads
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !limit.Allow() {
		k.counts.Limited++
		return false
	}
	*counter++
	k.store.expireSessions(k.now())
	return true
}
