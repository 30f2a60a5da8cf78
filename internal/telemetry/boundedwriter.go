package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// pendingLines bounds the lines that wait for the writer.
	pendingLines = 2048
	flushTimeout = 200 * time.Millisecond
)

var droppedLines = metrics.NewCounter("kumquat_log_lines_dropped_total")

// BoundedWriter hands lines to a slower writer without ever waiting for it.
// Lines that find no room are dropped, counted, and told of in a later line.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	flushed chan chan struct{}
}

// NewBoundedWriter returns a BoundedWriter in front of out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, lines: make(chan []byte, pendingLines), flushed: make(chan chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer; it never blocks and never fails.
func (w *BoundedWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		droppedLines.Inc()
	}
	return len(p), nil
}

func (w *BoundedWriter) run() {
	reported := droppedLines.Get()
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case done := <-w.flushed:
			for range len(w.lines) {
				w.write(<-w.lines)
			}
			close(done)
		}
		if dropped := droppedLines.Get(); dropped != reported && len(w.lines) == 0 {
			w.write(fmt.Appendf(nil, "level=warning event=log_lines_dropped lines=%d msg=\"the log's reader was too slow\"\n", dropped-reported))
			reported = dropped
		}
	}
}

func (w *BoundedWriter) write(line []byte) {
	// A reader that is gone leaves nowhere to report to.
	_, _ = w.out.Write(line)
}

// Flush writes the lines that wait, for a short time at most.
func (w *BoundedWriter) Flush() {
	timeout := time.After(flushTimeout)
	done := make(chan struct{})
	select {
	case w.flushed <- done:
	case <-timeout:
		return
	}
	select {
	case <-done:
	case <-timeout:
	}
}
