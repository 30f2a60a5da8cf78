package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxPendingLines bounds the lines waiting to be written.
	maxPendingLines = 2048
	flushTimeout    = 200 * time.Millisecond
)

var droppedLines = metrics.NewCounter("kumquat_log_lines_dropped_total")

// BoundedWriter buffers lines for a slower writer and never blocks on it. Lines
// that exceed the buffer are dropped and counted, and a later line reports how
// many were dropped.
type BoundedWriter struct {
	out           io.Writer
	lines         chan []byte
	flushRequests chan chan struct{}
}

// NewBoundedWriter returns a BoundedWriter that writes to out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, lines: make(chan []byte, maxPendingLines), flushRequests: make(chan chan struct{})}
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

// run writes the buffered lines to out. It never returns.
func (w *BoundedWriter) run() {
	reported := droppedLines.Get()
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case done := <-w.flushRequests:
			for range len(w.lines) {
				w.write(<-w.lines)
			}
			close(done)
		}
		if dropped := droppedLines.Get(); dropped != reported && len(w.lines) == 0 {
			w.write(fmt.Appendf(nil, "level=warning event=log_lines_dropped lines=%d msg=\"log lines were dropped because the log's reader was too slow\"\n", dropped-reported))
			reported = dropped
		}
	}
}

func (w *BoundedWriter) write(line []byte) {
	// If out cannot be written to, there is nowhere to report the error.
	_, _ = w.out.Write(line)
}

// Flush writes the buffered lines and waits for that at most flushTimeout.
func (w *BoundedWriter) Flush() {
	timeout := time.After(flushTimeout)
	done := make(chan struct{})
	select {
	case w.flushRequests <- done:
	case <-timeout:
		return
	}
	select {
	case <-done:
	case <-timeout:
	}
}
