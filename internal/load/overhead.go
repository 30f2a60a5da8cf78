package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/iter"
	"github.com/valyala/fasthttp"
)

// Overhead configures a measurement of the latency and CPU time that a gateway
// adds to direct calls of a stand-in. The two paths are measured alternately in
// short slices, so that drift of the machine affects both equally.
type Overhead struct {
	Direct  string `yaml:"direct" validate:"required,hostname_port"`
	Gateway string `yaml:"gateway" validate:"required,hostname_port"`
	// GatewayPID is the process whose CPU time is measured; 0 disables this.
	GatewayPID int               `yaml:"gateway_pid" validate:"min=0"`
	Method     string            `yaml:"method"`
	Path       string            `yaml:"path" validate:"required"`
	Body       string            `yaml:"body"`
	Headers    map[string]string `yaml:"headers"`
	// Keyed sends a new Idempotency-Key with each request.
	Keyed bool `yaml:"keyed"`
	// Connections is the number of concurrent connections; default 64.
	Connections int `yaml:"connections" validate:"min=0"`
	// Rate is the request rate per second of the latency measurement; 0 means half
	// of the gateway's throughput at saturation.
	Rate float64 `yaml:"rate" validate:"min=0"`
	// Slice is the length of each measurement; default 2 s.
	Slice time.Duration `yaml:"slice" validate:"min=0"`
	// Rounds is the number of slices per path and phase; default 5.
	Rounds int `yaml:"rounds" validate:"min=0"`
}

func (o Overhead) withDefaults() Overhead {
	if o.Method == "" {
		o.Method = http.MethodGet
	}
	if o.Connections == 0 {
		o.Connections = 64
	}
	if o.Slice == 0 {
		o.Slice = 2 * time.Second
	}
	if o.Rounds == 0 {
		o.Rounds = 5
	}
	return o
}

// PathResult holds the measurements of one path to the stand-in.
type PathResult struct {
	Name string
	// PerSecond holds the successful requests per second of each saturating slice.
	PerSecond []float64
	// CPU is the CPU time per request at saturation, 0 if not measured.
	CPU time.Duration
	// Paced holds the latencies at the fixed rate.
	Paced  *hdrhistogram.Histogram
	Errors int64
}

// OverheadResult holds the measurements of both paths. Rate is the rate per
// second of the latency measurement.
type OverheadResult struct {
	Direct  PathResult
	Gateway PathResult
	Rate    float64
}

type overheadRunner struct {
	settings Overhead
	log      *logrus.Entry
	keys     atomic.Int64
	run      int64
}

// MeasureOverhead measures both paths alternately: first at saturation for the
// throughput, then at a fixed rate for the latency.
func MeasureOverhead(ctx context.Context, o Overhead, log *logrus.Entry) (*OverheadResult, error) {
	r := &overheadRunner{settings: o.withDefaults(), log: log, run: time.Now().UnixNano()}
	result := &OverheadResult{
		Direct:  PathResult{Name: "direct", Paced: newHistogram()},
		Gateway: PathResult{Name: "gateway", Paced: newHistogram()},
	}
	direct, gateway := newHostClient(r.settings.Direct), newHostClient(r.settings.Gateway)
	if err := r.saturate(ctx, result, direct, gateway); err != nil {
		return nil, err
	}
	result.Rate = r.settings.Rate
	if result.Rate == 0 {
		result.Rate = median(result.Gateway.PerSecond) / 2
	}
	if result.Rate <= 0 {
		return nil, fmt.Errorf("measure overhead: no request to gateway %s succeeded", r.settings.Gateway)
	}
	for range r.settings.Rounds {
		r.fixedRate(ctx, &result.Direct, direct, result.Rate)
		r.fixedRate(ctx, &result.Gateway, gateway, result.Rate)
	}
	return result, ctx.Err()
}

// saturate measures the throughput of both paths and the gateway's CPU time per
// request.
func (r *overheadRunner) saturate(ctx context.Context, result *OverheadResult, direct, gateway *fasthttp.HostClient) error {
	var cpu time.Duration
	var requests int64
	for round := range r.settings.Rounds {
		r.log.WithField("round", round).Info("saturating")
		n := r.closedLoop(ctx, &result.Direct, direct)
		result.Direct.PerSecond = append(result.Direct.PerSecond, float64(n)/r.settings.Slice.Seconds())
		before, err := cpuTime(r.settings.GatewayPID)
		if err != nil {
			return err
		}
		n = r.closedLoop(ctx, &result.Gateway, gateway)
		after, err := cpuTime(r.settings.GatewayPID)
		if err != nil {
			return err
		}
		result.Gateway.PerSecond = append(result.Gateway.PerSecond, float64(n)/r.settings.Slice.Seconds())
		cpu += after - before
		requests += n
	}
	if requests > 0 {
		result.Gateway.CPU = cpu / time.Duration(requests)
	}
	return nil
}

// closedLoop keeps all connections busy for a slice and returns the number of
// successful requests.
func (r *overheadRunner) closedLoop(ctx context.Context, p *PathResult, host *fasthttp.HostClient) int64 {
	var succeeded atomic.Int64
	end := time.Now().Add(r.settings.Slice)
	workers := make([]struct{}, r.settings.Connections)
	loop := iter.Iterator[struct{}]{MaxGoroutines: r.settings.Connections}
	loop.ForEach(workers, func(*struct{}) {
		for time.Now().Before(end) && ctx.Err() == nil {
			if r.call(p, host) {
				succeeded.Add(1)
			}
		}
	})
	return succeeded.Load()
}

// fixedRate sends requests at rate for a slice. Each connection has its own
// schedule, and latency counts from the scheduled time, so that a slow response
// does not hide the requests it delays (coordinated omission).
func (r *overheadRunner) fixedRate(ctx context.Context, p *PathResult, host *fasthttp.HostClient, rate float64) {
	interval := time.Duration(float64(r.settings.Connections) / rate * float64(time.Second))
	start := time.Now()
	latencies := make([][]time.Duration, r.settings.Connections)
	loop := iter.Iterator[[]time.Duration]{MaxGoroutines: r.settings.Connections}
	loop.ForEachIdx(latencies, func(i int, measured *[]time.Duration) {
		first := start.Add(interval * time.Duration(i) / time.Duration(r.settings.Connections))
		for due := first; due.Before(start.Add(r.settings.Slice)); due = due.Add(interval) {
			if sleepUntil(ctx, due) != nil {
				return
			}
			if r.call(p, host) {
				*measured = append(*measured, time.Since(due))
			}
		}
	})
	for _, measured := range latencies {
		for _, d := range measured {
			record(p.Paced, d)
		}
	}
}

// call sends a request and reports whether it succeeded.
func (r *overheadRunner) call(p *PathResult, host *fasthttp.HostClient) bool {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + host.Addr + r.settings.Path)
	req.Header.SetMethod(r.settings.Method)
	for name, value := range r.settings.Headers {
		req.Header.Set(name, value)
	}
	if r.settings.Keyed {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("overhead-%d-%d", r.run, r.keys.Add(1)))
	}
	if r.settings.Body != "" {
		req.SetBodyString(r.settings.Body)
	}
	req.SetTimeout(defaultCallerTimeout)
	err := host.Do(req, resp)
	if err == nil && resp.BodyStream() != nil {
		_, err = io.Copy(io.Discard, resp.BodyStream())
	}
	closeBody(resp)
	if err != nil || resp.StatusCode() != fasthttp.StatusOK {
		atomic.AddInt64(&p.Errors, 1)
		return false
	}
	return true
}
