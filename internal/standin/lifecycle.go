package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatyard/internal/machine"
)

// lifecycle is the lifecycle state of a server that can be reclaimed.
type lifecycle struct {
	incarnation uint64
	// closeServer closes the server at the end of its reclaim notice.
	closeServer func()

	mu        sync.Mutex
	state     machine.Lifecycle
	reclaimAt time.Time
	timer     *time.Timer
}

func newLifecycle(closeServer func()) *lifecycle {
	return &lifecycle{incarnation: uint64(time.Now().UnixNano()), closeServer: closeServer, state: machine.Serving}
}

// reclaim makes the server leave and closes it after the duration in. A later
// call can only shorten the remaining time.
func (l *lifecycle) reclaim(in time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := time.Now().Add(in)
	l.state = max(l.state, machine.Leaving)
	if !l.reclaimAt.IsZero() && !at.Before(l.reclaimAt) {
		return
	}
	if l.timer != nil {
		l.timer.Stop()
	}
	l.reclaimAt = at
	l.timer = time.AfterFunc(in, l.terminate)
}

func (l *lifecycle) terminate() {
	l.mu.Lock()
	l.state = machine.Gone
	l.mu.Unlock()
	l.closeServer()
}

func (l *lifecycle) get() (state machine.Lifecycle, reclaimAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.reclaimAt
}

// leaving reports whether the server must refuse new work.
func (l *lifecycle) leaving() bool {
	state, _ := l.get()
	return state >= machine.Leaving
}

// handleReclaim handles POST /_reclaim.
func (l *lifecycle) handleReclaim(ctx *fasthttp.RequestCtx) {
	var notice struct {
		InMS int64 `json:"in_ms"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &notice); err != nil {
		fail(ctx, http.StatusBadRequest, "%v", err)
		return
	}
	l.reclaim(time.Duration(notice.InMS) * time.Millisecond)
	writeJSON(ctx, true)
}

// ServerState is the response to GET /v1/state.
type ServerState struct {
	Incarnation     uint64   `json:"incarnation"`
	Lifecycle       string   `json:"lifecycle"`
	ReclaimAtUnixMS int64    `json:"reclaim_at_unix_ms"`
	Running         int      `json:"running"`
	Queued          int      `json:"queued"`
	QueuedTokens    int      `json:"queued_tokens"`
	Slots           int      `json:"slots"`
	TokensPerSecond int      `json:"tokens_per_second"`
	Adapters        []string `json:"adapters"`
	Role            string   `json:"role"`
	FencingToken    uint64   `json:"fence"`
	// MeasuredAtUnixMS is when the load was measured. The lifecycle fields are
	// always current.
	MeasuredAtUnixMS int64 `json:"measured_at_unix_ms"`
}

// fillLifecycle sets the lifecycle fields of s, which do not lag.
func (l *lifecycle) fillLifecycle(s *ServerState) {
	state, at := l.get()
	s.Incarnation = l.incarnation
	s.Lifecycle = state.String()
	if !at.IsZero() {
		s.ReclaimAtUnixMS = at.UnixMilli()
	}
}
