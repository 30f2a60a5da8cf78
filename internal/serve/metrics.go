package serve

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/frame"
)

var (
	servedTotal = metrics.NewCounter(`kumquat_serve_requests_total{outcome="served"}`)
	brokenTotal = metrics.NewCounter(`kumquat_serve_requests_total{outcome="broken"}`)
	// firstByteSeconds and requestSeconds start at the request's arrival.
	firstByteSeconds = metrics.NewHistogram("kumquat_serve_first_byte_seconds")
	requestSeconds   = metrics.NewHistogram("kumquat_serve_request_seconds")
	// chosenSlowdown is how much longer than usual in its pool work was taken to take at the server
	// that was chosen.
	chosenSlowdown = metrics.NewHistogram("kumquat_serve_chosen_server_slowdown")
)

// countRefused counts a request that was refused without a server's answer.
func countRefused(kind contract.ErrorKind, verdict contract.Verdict) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`kumquat_serve_requests_total{outcome="refused",kind=%q,verdict=%q}`, kind, verdict)).Inc()
}

// countAttempt counts a failed attempt.
func countAttempt(verdict contract.Verdict) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`kumquat_serve_attempts_failed_total{verdict=%q}`, verdict)).Inc()
}

// countMove counts an attempted move of a run to another server.
func countMove(err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`kumquat_serve_moves_total{moved="%t"}`, err == nil)).Inc()
}

// countStop counts a call that asks a server to stop a run.
func countStop(outcome stopOutcome) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`kumquat_serve_stops_total{outcome=%q}`, outcome)).Inc()
}

// countStreamEnd counts the end of a server's stream: regular is set if it did not break off.
func countStreamEnd(framing frame.Framing, stop stopState, regular bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`kumquat_serve_stream_ends_total{framing=%q,stop=%q,regular="%t"}`, framing, stop, regular)).Inc()
}

// countServed counts an answered request; with an error, the answer was truncated.
func (r *run) countServed(err error) {
	if err != nil {
		brokenTotal.Inc()
		return
	}
	servedTotal.Inc()
	requestSeconds.Update(time.Since(r.req.Arrived).Seconds())
}

// countHandOver counts an offer of a request to another instance.
func countHandOver(outcome string, err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`kumquat_serve_handovers_total{outcome=%q,failed="%t"}`, outcome, err != nil)).Inc()
}
