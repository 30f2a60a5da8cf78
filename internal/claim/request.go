package claim

import (
	"cmp"
	"slices"
	"time"

	"kumquatyard/internal/contract"
	pb "kumquatyard/proto/kumquat/v1"
)

// Reply answers one ticket. A settlement that is recorded has neither Claim nor Err.
type Reply struct {
	Ticket uint64
	Claim  *pb.ClaimReply
	// AnswerKey is the segment that holds the answer of AnswerRun when Claim
	// says that the request ran.
	AnswerKey string
	AnswerRun string
	Err       *contract.Error
}

type place uint8

const (
	inHeld place = iota + 1
	inQueue
	inCommit
	inWaiters
)

// item is a claim or a settlement that has not been answered.
type item struct {
	ticket uint64
	id     ID
	claim  *pb.ClaimRequest
	settle *pb.ClaimSettle
	// record is nil for a settlement that changes nothing and for a claim whose
	// record is stored already; both are answered after the next commit.
	record *pb.ClaimRecord
	// at is when the item was queued.
	at    time.Time
	place place
	// abandoned claims have been answered with a refusal; when their record is
	// stored, the key is freed again.
	abandoned bool
}

// Claim decides a claim. The reply comes by Replies, at once or later. An error
// says NotRun when no record of the claim can be stored. After MayHaveRun, the
// holder of the run id either claims again with it or settles it as not run.
func (s *Shard) Claim(now time.Time, ticket uint64, req *pb.ClaimRequest) {
	s.enter(now, &item{ticket: ticket, id: idOf(req.GetKey()), claim: req})
}

// Settle records how a run ended.
func (s *Shard) Settle(now time.Time, ticket uint64, req *pb.ClaimSettle) {
	s.enter(now, &item{ticket: ticket, id: idOf(req.GetKey()), settle: req})
}

func (s *Shard) enter(now time.Time, it *item) {
	switch {
	case s.Owned():
		s.admit(now, it)
	case s.phase == idle && s.failing && now.Before(s.retryAt):
		s.refuse(it, s.unavailable())
	case s.phase == idle || s.leave:
		s.refuse(it, nil)
	case len(s.held) >= s.limits.Queue:
		s.refuse(it, overloaded(s.limits.RetryDelay))
	default:
		it.place = inHeld
		s.held = append(s.held, it)
		s.tickets[it.ticket] = it
	}
}

func (s *Shard) admit(now time.Time, it *item) {
	if it.claim != nil {
		s.admitClaim(now, it)
		return
	}
	s.admitSettle(now, it)
}

func (s *Shard) admitClaim(now time.Time, it *item) {
	e, held := s.table.entries[it.id]
	other := s.busy[it.id]
	switch {
	case held && s.holds(e, it) && !s.ending(it.id):
		s.enqueue(now, it, nil)
		return
	case held:
		s.admitRepeat(now, it, e)
		return
	case other != nil && other.claim.GetRunId() == it.claim.GetRunId():
		s.replace(other, it)
		return
	case other != nil:
		s.admitRepeat(now, it, pendingEntry(other, now))
		return
	}
	s.admitNew(now, it)
}

// holds reports whether it repeats the claim of the run that holds the key,
// because the reply was lost. It is granted again, once a commit has shown that
// this owner is still the owner.
func (s *Shard) holds(e entry, it *item) bool {
	return e.runID == it.claim.GetRunId() && e.verdict == pb.Verdict_VERDICT_UNSPECIFIED
}

// ending reports whether a settlement of the key waits for its commit.
func (s *Shard) ending(id ID) bool {
	ends := func(it *item) bool { return it.id == id && it.settle != nil && it.record != nil }
	return slices.ContainsFunc(s.queue, ends) || (s.commit != nil && slices.ContainsFunc(s.commit.items, ends))
}

// replace lets a repeated call of a claim that is being stored take the place
// of the earlier call, whose caller has gone.
func (s *Shard) replace(earlier, it *item) {
	s.refuse(earlier, s.inDoubt())
	earlier.ticket, earlier.abandoned = it.ticket, false
	s.tickets[it.ticket] = earlier
}

func (s *Shard) admitNew(now time.Time, it *item) {
	switch {
	case s.full() && !s.stale(now):
		oldest := s.table.windows[0].newest.Add(s.limits.Retention + clockMargin)
		s.refuse(it, overloaded(max(oldest.Sub(now), time.Second)))
	case len(s.queue) >= s.limits.Queue:
		s.refuse(it, overloaded(s.limits.RetryDelay))
	case s.failing && now.Before(s.retryAt):
		s.refuse(it, s.unavailable())
	default:
		s.busy[it.id] = it
		s.enqueue(now, it, &pb.ClaimRecord{
			Key: it.claim.GetKey(), RunId: it.claim.GetRunId(), Fingerprint: it.claim.GetFingerprint(),
			RequestId: it.claim.GetRequestId(), RunTimeoutMs: it.claim.GetRunTimeoutMs(),
		})
	}
}

// pendingEntry describes a claim whose record is not stored yet.
func pendingEntry(it *item, now time.Time) entry {
	return entry{
		fingerprint: idOf(it.claim.GetFingerprint()),
		runID:       it.claim.GetRunId(),
		requestID:   it.claim.GetRequestId(),
		settleBy:    now.Add(time.Second),
	}
}

// admitRepeat answers a claim of a key that is held, or lets it wait while the
// holder runs.
func (s *Shard) admitRepeat(now time.Time, it *item, e entry) {
	outcome := e.outcome(idOf(it.claim.GetFingerprint()), now)
	if outcome == pb.ClaimOutcome_CLAIM_OUTCOME_RUNNING && it.claim.GetWaitMs() > 0 && s.waiting < s.limits.Queue {
		it.place = inWaiters
		s.waiters[it.id] = append(s.waiters[it.id], it)
		s.waiting++
		s.tickets[it.ticket] = it
		return
	}
	s.answer(it, Reply{
		Claim:     &pb.ClaimReply{Outcome: outcome, Holder: e.requestID},
		AnswerKey: s.answerKey(outcome, e), AnswerRun: e.runID,
	})
}

func (s *Shard) answerKey(outcome pb.ClaimOutcome, e entry) string {
	if outcome != pb.ClaimOutcome_CLAIM_OUTCOME_RAN {
		return ""
	}
	return e.segment.key(s.number)
}

// admitSettle queues the settlement of the run that holds the key. A
// settlement of any other run records nothing, yet is acknowledged only after
// the next commit: an owner that was superseded unawares does not know the runs
// granted since, and must not acknowledge their settlements.
func (s *Shard) admitSettle(now time.Time, it *item) {
	e, held := s.table.entries[it.id]
	if held && e.runID == it.settle.GetRunId() && e.verdict == pb.Verdict_VERDICT_UNSPECIFIED {
		s.enqueue(now, it, &pb.ClaimRecord{
			Key: it.settle.GetKey(), RunId: e.runID, Fingerprint: e.fingerprint[:], RequestId: e.requestID,
			Verdict: it.settle.GetVerdict(), Answer: s.bounded(it.settle.GetAnswer()),
		})
		return
	}
	if held && e.runID == it.settle.GetRunId() {
		s.answer(it, Reply{})
		return
	}
	pending := s.busy[it.id]
	if pending != nil && pending.record.GetRunId() == it.settle.GetRunId() && it.settle.GetVerdict() == pb.Verdict_VERDICT_NOT_RUN {
		s.abandon(now, pending)
	}
	s.enqueue(now, it, nil)
}

func (s *Shard) bounded(a *pb.StoredAnswer) *pb.StoredAnswer {
	if len(a.GetBody()) <= s.limits.AnswerBytes {
		return a
	}
	return &pb.StoredAnswer{Status: a.GetStatus(), ContentType: a.GetContentType(), Truncated: true}
}

func (s *Shard) enqueue(now time.Time, it *item, record *pb.ClaimRecord) {
	it.record, it.at, it.place = record, now, inQueue
	s.queue = append(s.queue, it)
	s.tickets[it.ticket] = it
}

// Cancel answers a claim whose caller waits no longer: a repeat hears what is
// known of the run, any other claim is refused. The refusal says MayHaveRun
// when the claim's record may be stored, in which case it is freed again.
func (s *Shard) Cancel(now time.Time, ticket uint64) {
	it := s.tickets[ticket]
	if it == nil {
		return
	}
	if it.place == inWaiters {
		s.removeWaiter(it)
		it.claim.WaitMs = 0
		s.admitClaim(now, it)
		return
	}
	s.abandon(now, it)
}

// StopWaiting answers a claim that waits for a run in progress. Any other
// claim stays.
func (s *Shard) StopWaiting(now time.Time, ticket uint64) {
	if it := s.tickets[ticket]; it != nil && it.place == inWaiters {
		s.Cancel(now, ticket)
	}
}

func (s *Shard) abandon(now time.Time, it *item) {
	switch it.place {
	case inHeld:
		s.refuse(it, s.unavailable())
		s.held = without(s.held, it)
	case inQueue:
		s.refuse(it, s.unavailable())
		s.queue = without(s.queue, it)
		s.unblock(it)
		s.wake(now, it.id)
	case inCommit:
		s.refuse(it, s.inDoubt())
		it.abandoned = true
	}
}

// unblock forgets that it is the claim that other claims of the key wait for.
func (s *Shard) unblock(it *item) {
	if s.busy[it.id] == it {
		delete(s.busy, it.id)
	}
}

func without(items []*item, it *item) []*item {
	return slices.DeleteFunc(items, func(other *item) bool { return other == it })
}

func (s *Shard) removeWaiter(it *item) {
	s.waiters[it.id] = without(s.waiters[it.id], it)
	s.waiting--
	if len(s.waiters[it.id]) == 0 {
		delete(s.waiters, it.id)
	}
}

// wake decides anew the claims that waited for a change of the key.
func (s *Shard) wake(now time.Time, id ID) {
	waiters := s.waiters[id]
	delete(s.waiters, id)
	s.waiting -= len(waiters)
	for _, it := range waiters {
		s.admitClaim(now, it)
	}
}

func (s *Shard) refuseWaiters() {
	var all []*item
	for _, waiters := range s.waiters {
		all = append(all, waiters...)
	}
	clear(s.waiters)
	s.waiting = 0
	slices.SortFunc(all, byTicket)
	for _, it := range all {
		s.refuse(it, nil)
	}
}

func byTicket(a, b *item) int { return cmp.Compare(a.ticket, b.ticket) }

func (s *Shard) refuseHeld(err *contract.Error) {
	held := s.held
	s.held = nil
	for _, it := range held {
		s.refuse(it, err)
	}
}

// refuse answers with err, or with the owner that is known when err is nil.
func (s *Shard) refuse(it *item, err *contract.Error) {
	if err != nil {
		s.answer(it, Reply{Err: err})
		return
	}
	s.answer(it, Reply{Claim: &pb.ClaimReply{
		Outcome: pb.ClaimOutcome_CLAIM_OUTCOME_NOT_OWNER, OwnerAddress: s.known,
	}})
}

// answer sends the only reply to an item.
func (s *Shard) answer(it *item, r Reply) {
	delete(s.tickets, it.ticket)
	if it.ticket == 0 || it.abandoned {
		return
	}
	r.Ticket = it.ticket
	s.replies = append(s.replies, r)
}

func (s *Shard) unavailable() *contract.Error {
	return &contract.Error{
		Kind: contract.KindUnavailable, Verdict: contract.NotRun,
		Message: "the claim of the idempotency key could not be stored", RetryAfter: time.Second,
	}
}

func (s *Shard) inDoubt() *contract.Error {
	err := s.unavailable()
	err.Verdict = contract.MayHaveRun
	return err
}

func overloaded(retryAfter time.Duration) *contract.Error {
	return &contract.Error{
		Kind: contract.KindOverloaded, Verdict: contract.NotRun,
		Message: "too many idempotency keys are remembered or waiting", RetryAfter: retryAfter,
	}
}
