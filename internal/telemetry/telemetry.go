// Package telemetry provides the logs, metrics, health endpoints and traces that
// are common to all processes.
package telemetry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	semconv "go.opentelemetry.io/otel/semconv/v1.26.0"
)

// Settings are the telemetry keys of each process's settings file.
type Settings struct {
	// Listen is the address of /metrics, /healthz and /readyz.
	Listen string `yaml:"listen" validate:"omitempty,hostname_port"`
	// LogLevel is a logrus level.
	LogLevel string `yaml:"log_level" validate:"omitempty,oneof=debug info warn error"`
	// OTLPEndpoint is host:port of a collector that accepts OTLP over HTTP.
	OTLPEndpoint string `yaml:"otlp_endpoint" validate:"omitempty,hostname_port"`
	// TraceFile is the file that spans are appended to if OTLPEndpoint is empty.
	TraceFile string `yaml:"trace_file"`
	// TraceRatio is the fraction of requests without a parent span that are
	// traced.
	TraceRatio float64 `yaml:"trace_ratio" validate:"min=0,max=1"`
}

const (
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes bounds the heads of requests at a door, to which net/http adds 4 KiB.
	maxHeaderBytes = 1 << 10
)

// NewLogger returns a logger that writes one line of key=value pairs per event to
// standard error.
func NewLogger(process, id, level string) *logrus.Entry {
	return NewLoggerTo(os.Stderr, process, id, level)
}

// NewLoggerTo is like NewLogger but writes to out.
func NewLoggerTo(out io.Writer, process, id, level string) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		logger.SetLevel(parsed)
	}
	return logger.WithFields(logrus.Fields{"process": process, "id": id})
}

// Health is the readiness of a process. The zero Health is not ready.
type Health struct{ ready atomic.Bool }

// SetReady sets the readiness that /readyz reports.
func (h *Health) SetReady(ready bool) { h.ready.Store(ready) }

// Ready reports whether the process accepts work.
func (h *Health) Ready() bool { return h.ready.Load() }

// Serve serves /metrics, /healthz, /readyz, the profiles at /debug/pprof/ and the
// extra handlers by pattern until ctx is done. If listen is empty, it only waits.
func Serve(ctx context.Context, listen string, health *Health, extra map[string]http.Handler) error {
	return ServeAt(ctx, nil, listen, health, extra)
}

// Door bounds what the clients of a server take.
type Door interface {
	Listen(l net.Listener) net.Listener
	Configure(s *http.Server)
}

// ServeAt is Serve with a door, nil for none.
func ServeAt(ctx context.Context, door Door, listen string, health *Health, extra map[string]http.Handler) error {
	if listen == "" {
		<-ctx.Done()
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { writeReady(w, health) })
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	for pattern, handler := range extra {
		mux.Handle(pattern, handler)
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("open metrics listener: %w", err)
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	if door != nil {
		server.MaxHeaderBytes = maxHeaderBytes
		door.Configure(server)
		listener = door.Listen(listener)
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve metrics: %w", err)
	}
	return nil
}

func writeReady(w http.ResponseWriter, health *Health) {
	if !health.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintln(w, "not ready")
		return
	}
	fmt.Fprintln(w, "ready")
}

// StartTracing installs W3C propagation and, if s names an endpoint or a file, a
// global tracer provider. The returned function flushes and stops the provider.
func StartTracing(ctx context.Context, process, id string, s Settings) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	exporter, err := newExporter(ctx, s)
	if err != nil || exporter == nil {
		return func(context.Context) error { return nil }, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.TraceRatio))),
		sdktrace.WithResource(resource.NewSchemaless(semconv.ServiceName(process), semconv.ServiceInstanceID(id))),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

// newExporter returns the exporter that s selects, or nil if it selects none.
func newExporter(ctx context.Context, s Settings) (sdktrace.SpanExporter, error) {
	if s.OTLPEndpoint != "" {
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(s.OTLPEndpoint), otlptracehttp.WithInsecure())
	}
	if s.TraceFile == "" {
		return nil, nil
	}
	file, err := os.OpenFile(s.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open trace file: %w", err)
	}
	return stdouttrace.New(stdouttrace.WithWriter(file))
}
