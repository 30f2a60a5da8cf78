package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgePercentile is the latency percentile after which a read is hedged.
	hedgePercentile = 95
	// hedgeSamples is the minimum number of samples for hedging.
	hedgeSamples = 50
	// hedgeWindow is the number of samples in each of the two rotating histograms.
	hedgeWindow = 1000
	// Recorded latencies are bounded to hedgeMinMicros and hedgeMaxMicros, in
	// microseconds, and have hedgeDigits significant digits.
	hedgeMinMicros = 1
	hedgeMaxMicros = 600_000_000
	hedgeDigits    = 2
)

// Hedge learns the delay after which to hedge an idempotent read with a second copy: a
// percentile of the latency of the last one to two thousand reads. The caller has to
// take the copy from a Budget. Hedge is not safe for concurrent use.
type Hedge struct{ current, last *hdrhistogram.Histogram }

// NewHedge returns a Hedge without samples.
func NewHedge() *Hedge {
	return &Hedge{current: newHistogram(), last: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(hedgeMinMicros, hedgeMaxMicros, hedgeDigits)
}

// Observe records the latency of a read.
func (h *Hedge) Observe(latency time.Duration) {
	micros := min(max(latency.Microseconds(), hedgeMinMicros), hedgeMaxMicros)
	_ = h.current.RecordValue(micros)
	if h.current.TotalCount() >= hedgeWindow {
		h.last.Reset()
		h.current, h.last = h.last, h.current
	}
}

// Delay returns the delay after which to hedge a request, and false when the request
// must not be hedged or there are too few samples.
func (h *Hedge) Delay(idempotent bool) (time.Duration, bool) {
	if !idempotent || h.current.TotalCount()+h.last.TotalCount() < hedgeSamples {
		return 0, false
	}
	micros := max(h.percentile(h.current), h.percentile(h.last))
	return time.Duration(micros) * time.Microsecond, true
}

func (h *Hedge) percentile(histogram *hdrhistogram.Histogram) int64 {
	if histogram.TotalCount() < hedgeSamples {
		return 0
	}
	return histogram.ValueAtPercentile(hedgePercentile)
}
