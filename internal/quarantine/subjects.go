package quarantine

import (
	"maps"
	"time"
)

// subjects holds the evidence on the parts of prompts, or on requests.
type subjects struct {
	evidence map[uint64]*evidence
	// max bounds the subjects.
	max int
	// retention is how long a loss counts against a subject that is not quarantined, and
	// cleared how long one is kept that an answer has cleared.
	retention, cleared time.Duration
}

func newSubjects(limit int, retention, cleared time.Duration) *subjects {
	return &subjects{evidence: make(map[uint64]*evidence), max: limit, retention: retention, cleared: cleared}
}

// track returns the evidence on a subject; a new one was answered last at answeredAt. If
// there are too many subjects, another one is dropped.
func (s *subjects) track(id uint64, answeredAt time.Time) *evidence {
	if e := s.evidence[id]; e != nil {
		return e
	}
	if len(s.evidence) >= s.max {
		s.dropOne()
	}
	e := &evidence{losses: make(map[lossKey]loss), answeredAt: answeredAt}
	s.evidence[id] = e
	return e
}

// dropOne drops a subject that is not quarantined: of those with one loss, or else of all,
// the one whose last loss is the oldest.
func (s *subjects) dropOne() {
	var least uint64
	var chosen *evidence
	for id, e := range s.evidence {
		if !e.quarantined && (chosen == nil || e.isLessThan(chosen)) {
			least, chosen = id, e
		}
	}
	if chosen != nil {
		delete(s.evidence, least)
	}
}

// isLessThan reports whether e is dropped before o.
func (e *evidence) isLessThan(o *evidence) bool {
	if single := len(e.losses) < 2; single != (len(o.losses) < 2) {
		return single
	}
	return e.lastLossAt.Before(o.lastLossAt)
}

// retentionOf returns how long a loss is kept after its server ended.
func (s *subjects) retentionOf(e *evidence, l loss) time.Duration {
	if l.at.After(e.answeredAt) {
		return s.retention
	}
	return s.cleared
}

// expire drops old losses, and reports whether there were any. The evidence on quarantined
// subjects is kept until the quarantine ends.
func (s *subjects) expire(now time.Time) bool {
	expired := false
	for id, e := range s.evidence {
		if e.quarantined && now.Sub(e.lastLossAt) < quarantineTime {
			continue
		}
		before := len(e.losses)
		maps.DeleteFunc(e.losses, func(_ lossKey, l loss) bool { return now.Sub(l.at) >= s.retentionOf(e, l) })
		if len(e.losses) == 0 {
			delete(s.evidence, id)
		}
		expired = expired || len(e.losses) < before
	}
	return expired
}
