package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgePercentile is the percentile of latency after which a read is hedged.
	hedgePercentile = 95
	// hedgeSamples is the number of samples before hedging starts.
	hedgeSamples = 50
	// hedgeWindow is the number of samples in one of two rotating histograms.
	hedgeWindow = 1000
	// Bounds of a recorded latency in microseconds and its precision in digits.
	hedgeMinMicros = 1
	hedgeMaxMicros = 600_000_000
	hedgeDigits    = 2
)

// Hedge learns after which delay a second copy of an idempotent read is worth
// sending: a percentile of the latency of the last one to two thousand reads.
// The copy has to be paid for from a Budget. It is not safe for concurrent use.
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

// Delay returns after which delay a request is hedged, and false when it must
// not be or too little is known.
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
