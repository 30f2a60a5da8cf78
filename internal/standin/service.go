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
	// ServiceTime is the duration of a call.
	ServiceTime time.Duration
	// Slots limits the calls that run at once; 0 means no limit.
	Slots int
	// FailAfterRun is the share of calls that run but get no response.
	FailAfterRun float64
	// CloseBeforeRun is the share of calls whose connection is closed after
	// the request was read and before it runs.
	CloseBeforeRun float64
}

// Service is a stand-in for a plain service. It counts the runs of each request.
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

// restoreCounts implements countRestorer.
func (s *Service) restoreCounts(from Standin) {
	if previous, ok := from.(*Service); ok {
		s.runs = previous.runs
	}
}

// Reclaim makes the service leave and closes it after the duration in.
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
	s.fillLifecycle(&state)
	writeJSON(ctx, state)
}

func (s *Service) serveCall(ctx *fasthttp.RequestCtx) {
	if s.leaving() {
		refuse(ctx, http.StatusServiceUnavailable, "leaving")
		return
	}
	if s.faults.occurs(s.options.CloseBeforeRun) {
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
	if s.faults.occurs(s.options.FailAfterRun) {
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

// ServiceAnswer is the response of a Service to a call.
type ServiceAnswer struct {
	Path    string `json:"path"`
	Request string `json:"request"`
	// Run is the number of times the request has run, including this run.
	Run  int    `json:"run"`
	Echo string `json:"echo"`
}
