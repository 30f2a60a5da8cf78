package standin

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// ServiceOptions configure a Service.
type ServiceOptions struct {
	Seed uint64
	// ServiceTime is how long a call takes.
	ServiceTime time.Duration
	// Slots bounds the calls that run at once; 0 does not.
	Slots int
	// FailAfterRun is the share of calls that run and are not answered.
	FailAfterRun float64
	// CloseBeforeRun is the share of calls that are read and dropped unrun.
	CloseBeforeRun float64
}

// Service is a stand-in of a plain service. It counts the runs of each request.
type Service struct {
	*Endpoint
	*lifecycle
	options ServiceOptions
	runs    *runCounter
	running atomic.Int64
}

// NewService returns a Service.
func NewService(o ServiceOptions) *Service {
	s := &Service{options: o, runs: newRunCounter()}
	s.Endpoint = newEndpoint(o.Seed, s.handle)
	s.lifecycle = newLifecycle(s.Endpoint.Close)
	return s
}

// Runs returns how often each request ran.
func (s *Service) Runs() Runs { return s.runs.get() }

func (s *Service) inherit(from Standin) {
	if earlier, ok := from.(*Service); ok {
		s.runs = earlier.runs
	}
}

// Reclaim announces that the service is stopped after in.
func (s *Service) Reclaim(in time.Duration) { s.reclaim(in) }

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/_runs":
		writeJSON(ctx, s.Runs())
	case "/_reclaim":
		s.handleReclaim(ctx)
	case "/v1/state":
		s.writeState(ctx)
	default:
		s.serveCall(ctx)
	}
}

func (s *Service) writeState(ctx *fasthttp.RequestCtx) {
	state := ServerState{
		Running:          int(s.running.Load()),
		Slots:            s.options.Slots,
		MeasuredAtUnixMS: time.Now().UnixMilli(),
	}
	s.stamp(&state)
	writeJSON(ctx, state)
}

func (s *Service) serveCall(ctx *fasthttp.RequestCtx) {
	if s.leaving() {
		refuse(ctx, http.StatusServiceUnavailable, "leaving")
		return
	}
	if s.faults.hit(s.options.CloseBeforeRun) {
		drop(ctx)
		return
	}
	if running := s.running.Add(1); s.options.Slots > 0 && running > int64(s.options.Slots) {
		s.running.Add(-1)
		refuse(ctx, http.StatusServiceUnavailable, "no free slot")
		return
	}
	defer s.running.Add(-1)
	request := string(ctx.Request.Header.Peek("X-Request-Id"))
	runs := s.runs.add(request, string(ctx.Request.Header.Peek("Idempotency-Key")))
	if s.options.ServiceTime > 0 {
		s.sleep(time.Duration(float64(s.options.ServiceTime) * s.Faults().slowFactor()))
	}
	if s.faults.hit(s.options.FailAfterRun) {
		drop(ctx)
		return
	}
	writeJSON(ctx, ServiceAnswer{
		Path:    string(ctx.Path()),
		Request: request,
		Run:     runs,
		Echo:    string(ctx.PostBody()),
	})
}

// ServiceAnswer is what a Service answers to a call.
type ServiceAnswer struct {
	Path    string `json:"path"`
	Request string `json:"request"`
	// Run is how often the request has run, 1 for the first time.
	Run  int    `json:"run"`
	Echo string `json:"echo"`
}
