package claim

import (
	"cmp"
	"slices"
	"time"

	"kumquatyard/internal/contract"
	pb "kumquatyard/proto/kumquat/v1"
)

// Reply is the reply to the claim or settlement with the given ticket. Claim and
// Err are both nil for a recorded settlement.
type Reply struct {
	Ticket uint64
	Claim  *pb.ClaimReply
	// AnswerKey is the key of the segment with the stored answer of the run
	// AnswerRun. It is set when Claim says that the request ran.
	AnswerKey string
	AnswerRun string
	Err       *contract.Error
}

// place is the collection that holds an item.
type place uint8

const (
	inDeferred place = iota + 1
	inQueue
	inCommit
	inWaiters
)

// item is a claim or a settlement without a reply so far.
type item struct {
	ticket uint64
	id     ID
	claim  *pb.ClaimRequest
	settle *pb.ClaimSettle
	// record is nil for a settlement that changes nothing and for a claim whose
	// record is already stored; both are answered after the next commit.
	record *pb.ClaimRecord
	// queuedAt is when the item was queued for a commit.
	queuedAt time.Time
	place    place
	// abandoned is set for a claim that was refused while its record was being
	// written. If the record is stored, the key is released again.
	abandoned bool
}

// Claim processes a claim. Replies returns its reply, at once or later. An error
// with the verdict NotRun means that no record of the claim can be stored. After
// MayHaveRun, the caller either claims again with the same run id or settles
// the run as not run.
func (s *Shard) Claim(now time.Time, ticket uint64, req *pb.ClaimRequest) {
	s.submit(now, &item{ticket: ticket, id: idOf(req.GetKey()), claim: req})
}

// Settle records the outcome of a run. Replies returns the reply.
func (s *Shard) Settle(now time.Time, ticket uint64, req *pb.ClaimSettle) {
	s.submit(now, &item{ticket: ticket, id: idOf(req.GetKey()), settle: req})
}

func (s *Shard) submit(now time.Time, it *item) {
	switch {
	case s.Owned():
		s.admit(now, it)
	case s.phase == idle && s.failing && now.Before(s.retryAt):
		s.refuse(it, s.unavailable())
	case s.phase == idle || s.releaseRequested:
		s.refuse(it, nil)
	case len(s.deferred) >= s.limits.Queue:
		s.refuse(it, overloaded(s.limits.RetryDelay))
	default:
		it.place = inDeferred
		s.deferred = append(s.deferred, it)
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
	other := s.uncommitted[it.id]
	switch {
	case held && s.holds(e, it) && !s.settling(it.id):
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

// holds reports whether the claim it has the run id that holds the key, so that it
// repeats a claim whose reply was lost. Such a claim is granted again after the
// next commit, which proves that this process is still the owner.
func (s *Shard) holds(e entry, it *item) bool {
	return e.runID == it.claim.GetRunId() && e.verdict == pb.Verdict_VERDICT_UNSPECIFIED
}

// settling reports whether a settlement of the key is queued or being committed.
func (s *Shard) settling(id ID) bool {
	ends := func(it *item) bool { return it.id == id && it.settle != nil && it.record != nil }
	return slices.ContainsFunc(s.queue, ends) || (s.commit != nil && slices.ContainsFunc(s.commit.items, ends))
}

// replace handles a repeated call for a claim whose record is not stored yet: the
// earlier call, which has no caller any more, is refused, and the repeated call
// gets its reply.
func (s *Shard) replace(earlier, it *item) {
	s.refuse(earlier, s.inDoubt())
	earlier.ticket, earlier.abandoned = it.ticket, false
	s.tickets[it.ticket] = earlier
}

func (s *Shard) admitNew(now time.Time, it *item) {
	switch {
	case s.full() && !s.oldestExpired(now):
		oldest := s.table.segments[0].newest.Add(s.limits.Retention + clockMargin)
		s.refuse(it, overloaded(max(oldest.Sub(now), time.Second)))
	case len(s.queue) >= s.limits.Queue:
		s.refuse(it, overloaded(s.limits.RetryDelay))
	case s.failing && now.Before(s.retryAt):
		s.refuse(it, s.unavailable())
	default:
		s.uncommitted[it.id] = it
		s.enqueue(now, it, &pb.ClaimRecord{
			Key: it.claim.GetKey(), RunId: it.claim.GetRunId(), Fingerprint: it.claim.GetFingerprint(),
			RequestId: it.claim.GetRequestId(), RunTimeoutMs: it.claim.GetRunTimeoutMs(),
		})
	}
}

// pendingEntry returns the entry for a claim whose record is not stored yet.
func pendingEntry(it *item, now time.Time) entry {
	return entry{
		fingerprint: idOf(it.claim.GetFingerprint()),
		runID:       it.claim.GetRunId(),
		requestID:   it.claim.GetRequestId(),
		settleBy:    now.Add(time.Second),
	}
}

// admitRepeat answers a claim for a key that another run holds, or makes it wait
// while that run is in progress.
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

// answerKey returns the key of the segment with the stored answer, empty unless
// the request ran.
func (s *Shard) answerKey(outcome pb.ClaimOutcome, e entry) string {
	if outcome != pb.ClaimOutcome_CLAIM_OUTCOME_RAN {
		return ""
	}
	return e.segment.key(s.number)
}

// admitSettle queues the settlement of the run that holds the key. A settlement
// of any other run records nothing, but is acknowledged only after the next
// commit: an owner that was superseded without noticing does not know the runs
// granted since, and must not acknowledge their settlements.
func (s *Shard) admitSettle(now time.Time, it *item) {
	e, held := s.table.entries[it.id]
	if held && e.runID == it.settle.GetRunId() && e.verdict == pb.Verdict_VERDICT_UNSPECIFIED {
		s.enqueue(now, it, &pb.ClaimRecord{
			Key: it.settle.GetKey(), RunId: e.runID, Fingerprint: e.fingerprint[:], RequestId: e.requestID,
			Verdict: it.settle.GetVerdict(), Answer: s.boundAnswer(it.settle.GetAnswer()),
		})
		return
	}
	if held && e.runID == it.settle.GetRunId() {
		s.answer(it, Reply{})
		return
	}
	pending := s.uncommitted[it.id]
	if pending != nil && pending.record.GetRunId() == it.settle.GetRunId() && it.settle.GetVerdict() == pb.Verdict_VERDICT_NOT_RUN {
		s.abandon(now, pending)
	}
	s.enqueue(now, it, nil)
}

// boundAnswer returns a, without its body if that is over the limit.
func (s *Shard) boundAnswer(a *pb.StoredAnswer) *pb.StoredAnswer {
	if len(a.GetBody()) <= s.limits.AnswerBytes {
		return a
	}
	return &pb.StoredAnswer{Status: a.GetStatus(), ContentType: a.GetContentType(), Truncated: true}
}

func (s *Shard) enqueue(now time.Time, it *item, record *pb.ClaimRecord) {
	it.record, it.queuedAt, it.place = record, now, inQueue
	s.queue = append(s.queue, it)
	s.tickets[it.ticket] = it
}

// Cancel answers a claim whose caller stops waiting. A claim that waits for a run
// in progress is answered with what is known of the run; any other is refused.
// The refusal has the verdict MayHaveRun if the claim's record may be stored; a
// stored record is then settled as not run.
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

// StopWaiting answers a claim that waits for a run in progress. It does not
// affect other claims.
func (s *Shard) StopWaiting(now time.Time, ticket uint64) {
	if it := s.tickets[ticket]; it != nil && it.place == inWaiters {
		s.Cancel(now, ticket)
	}
}

func (s *Shard) abandon(now time.Time, it *item) {
	switch it.place {
	case inDeferred:
		s.refuse(it, s.unavailable())
		s.deferred = without(s.deferred, it)
	case inQueue:
		s.refuse(it, s.unavailable())
		s.queue = without(s.queue, it)
		s.clearUncommitted(it)
		s.retryWaiters(now, it.id)
	case inCommit:
		s.refuse(it, s.inDoubt())
		it.abandoned = true
	}
}

// clearUncommitted removes it from the uncommitted claims, on which later claims
// for the same key depend.
func (s *Shard) clearUncommitted(it *item) {
	if s.uncommitted[it.id] == it {
		delete(s.uncommitted, it.id)
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

// retryWaiters admits again the claims that waited for the key to change.
func (s *Shard) retryWaiters(now time.Time, id ID) {
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

func (s *Shard) refuseDeferred(err *contract.Error) {
	deferred := s.deferred
	s.deferred = nil
	for _, it := range deferred {
		s.refuse(it, err)
	}
}

// refuse answers with err. If err is nil, it answers that this process is not the
// owner, with the owner's address as far as it is known.
func (s *Shard) refuse(it *item, err *contract.Error) {
	if err != nil {
		s.answer(it, Reply{Err: err})
		return
	}
	s.answer(it, Reply{Claim: &pb.ClaimReply{
		Outcome: pb.ClaimOutcome_CLAIM_OUTCOME_NOT_OWNER, OwnerAddress: s.ownerAddress,
	}})
}

// answer sends the reply to an item. An abandoned item already has its reply, and
// an item without a ticket gets none.
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
