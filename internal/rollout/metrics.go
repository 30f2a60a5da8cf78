package rollout

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// version names a version in metrics.
func version(isNew bool) string {
	if isNew {
		return "new"
	}
	return "old"
}

// countSent counts a request that is sent to a pool under a roll-out.
func countSent(pool string, isNew bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`kumquat_rollout_requests_total{pool=%q,version=%q}`, pool, version(isNew))).Inc()
}

// countAnswer counts an answer that is judged.
func countAnswer(pool, route string, isNew, failed bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`kumquat_rollout_answers_total{pool=%q,route=%q,version=%q,failed="%t"}`, pool, route, version(isNew), failed)).Inc()
}

// countStatus counts a status that this instance has written.
func countStatus(state State) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`kumquat_rollout_statuses_written_total{state=%q}`, state)).Inc()
}

// setGauges sets the gauges of a roll-out: its phase, this instance's share of exposed requests, and the
// most bad answers of the new version in a sum.
func (r *roll) setGauges() {
	labels := fmt.Sprintf(`{pool=%q}`, r.order.Pool)
	metrics.GetOrCreateGauge("kumquat_rollout_phase"+labels, nil).Set(float64(r.phase))
	metrics.GetOrCreateGauge("kumquat_rollout_exposed_share"+labels, nil).Set(float64(r.exposed) / max(float64(r.sent), 1))
	metrics.GetOrCreateGauge("kumquat_rollout_bad_answers"+labels, nil).Set(float64(r.mostBad))
}
