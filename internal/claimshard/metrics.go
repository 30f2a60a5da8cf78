package claimshard

import (
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"kumquatyard/internal/claim"
	"kumquatyard/internal/contract"
	pb "kumquatyard/proto/kumquat/v1"
)

var (
	takeovers      = metrics.NewCounter("kumquat_claim_takeovers_total")
	owned          = metrics.NewCounter("kumquat_claim_owned_shards")
	commitSeconds  = metrics.NewHistogram("kumquat_claim_commit_seconds")
	commitRecords  = metrics.NewHistogram("kumquat_claim_commit_records")
	commitsInDoubt = metrics.NewCounter("kumquat_claim_commits_in_doubt_total")
	answerFailures = metrics.NewCounter("kumquat_claim_answer_read_failures_total")
)

func countOwned(owning bool) {
	if owning {
		owned.Inc()
		return
	}
	owned.Dec()
}

var callNames = map[claim.OpKind]string{claim.OpGet: "get", claim.OpList: "list", claim.OpSwap: "swap", claim.OpDelete: "delete"}

// countCall counts a key-value call. For a commit, that is a swap that adds
// records, it also updates the commit metrics.
func countCall(op claim.Op, r claim.Result, err error, took time.Duration) {
	metrics.GetOrCreateCounter(`kumquat_claim_kv_calls_total{call="` + callNames[op.Kind] + `"}`).Inc()
	if op.Kind != claim.OpSwap || op.Records == 0 {
		return
	}
	commitSeconds.Update(took.Seconds())
	switch {
	case err == nil && r.Swapped:
		commitRecords.Update(float64(op.Records))
	case err != nil && contract.VerdictOf(err) != contract.NotRun:
		commitsInDoubt.Inc()
	}
}

var outcomeNames = map[pb.ClaimOutcome]string{
	pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED:      "granted",
	pb.ClaimOutcome_CLAIM_OUTCOME_RUNNING:      "running",
	pb.ClaimOutcome_CLAIM_OUTCOME_RAN:          "ran",
	pb.ClaimOutcome_CLAIM_OUTCOME_MAY_HAVE_RUN: "may_have_run",
	pb.ClaimOutcome_CLAIM_OUTCOME_MISMATCH:     "mismatch",
}

// countClaim counts a claim by its outcome or the kind of its refusal. Only the
// agent that received it from the gateway calls countClaim, so that forwarded
// claims are counted once.
func countClaim(resp *pb.Response, err error) {
	var refusal *contract.Error
	if errors.As(err, &refusal) {
		metrics.GetOrCreateCounter(`kumquat_claim_refusals_total{kind="` + refusal.Kind.String() + `"}`).Inc()
		return
	}
	metrics.GetOrCreateCounter(`kumquat_claim_requests_total{outcome="` + outcomeNames[resp.GetClaim().GetOutcome()] + `"}`).Inc()
}
