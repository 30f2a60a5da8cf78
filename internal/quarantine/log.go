package quarantine

import (
	"time"

	"github.com/sirupsen/logrus"
)

// partStage is how far the ends under a part speak against it, if none of them is explained
// by something else.
type partStage int

const (
	unsuspected partStage = iota
	suspectedPart
	conclusivePart
)

func stageOf(t tally) partStage {
	switch {
	case t.isConclusive():
		return conclusivePart
	case t.moments >= suspectMoments:
		return suspectedPart
	}
	return unsuspected
}

// logParts logs the parts that came to a higher stage without being quarantined, with what
// counts against them and what is explained by other parts and requests.
func (t *Tracker) logParts(j partJudgment, now time.Time) {
	for id, e := range t.parts.evidence {
		if len(e.losses) == e.loggedLosses {
			continue
		}
		e.loggedLosses = len(e.losses)
		all := e.count(nil, nil)
		stage := stageOf(all)
		if stage > e.logged && !j.quarantined[id] {
			t.logPart(id, e, all, e.count(j.explained, j.conclusive), now)
		}
		e.logged = stage
	}
}

// logPart logs a part under which servers ended. left is the tally of the ends that nothing
// else explains.
func (t *Tracker) logPart(id uint64, e *evidence, all, left tally, now time.Time) {
	fields := logrus.Fields{
		"event": "part_suspected", "part": FormatID(id), "moments": all.moments, "begun_moments": all.begunMoments, "requests": all.requests,
		"unexplained_moments": left.momentsLeft, "requests_needed": left.requestsNeeded, "losses": len(e.losses),
		"first_loss_age_ms": now.Sub(all.since).Milliseconds(), "last_loss_age_ms": now.Sub(e.lastLossAt).Milliseconds(),
	}
	if !e.answeredAt.IsZero() {
		fields["answered_age_ms"] = now.Sub(e.answeredAt).Milliseconds()
	}
	message := "servers ended under a part of prompts; requests with it are not repeated"
	switch {
	case left.isConclusive():
		message = "servers ended under a part of prompts often enough to refuse it, unless an answer becomes known"
	case all.isConclusive():
		message = "servers ended under a part of prompts often enough to refuse it, but something else explains these ends"
	}
	t.log.WithFields(fields).Info(message)
}
