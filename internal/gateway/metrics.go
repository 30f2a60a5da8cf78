package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"kumquatyard/internal/contract"
)

var (
	firstTokenSeconds    = metrics.NewHistogram("kumquat_gateway_first_token_seconds")
	admissionWaitSeconds = metrics.NewHistogram("kumquat_gateway_admission_wait_seconds")
	claimSeconds         = metrics.NewHistogram("kumquat_gateway_claim_seconds")
	attemptsTotal        = metrics.NewCounter("kumquat_gateway_attempts_total")
	retriesTotal         = metrics.NewCounter("kumquat_gateway_retries_total")
	hedgesTotal          = metrics.NewCounter("kumquat_gateway_hedges_total")
	movesTotal           = metrics.NewCounter("kumquat_gateway_moves_total")
	continuedTokensTotal = metrics.NewCounter("kumquat_gateway_continued_tokens_total")
	staleProbesTotal     = metrics.NewCounter("kumquat_gateway_stale_probes_total")
	streamsOpen          = metrics.NewCounter("kumquat_gateway_streams_open")
)

func countRequest(c contract.Contract, workspace string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`kumquat_gateway_requests_total{contract=%q,workspace=%q}`, c.Name, workspace)).Inc()
}

func countRefusal(e *contract.Error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`kumquat_gateway_refusals_total{type=%q,verdict=%q}`, e.Kind, e.Verdict)).Inc()
}

func since(start time.Time) float64 { return time.Since(start).Seconds() }
