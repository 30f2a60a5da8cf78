package quarantine

import "time"

// maxAnswers bounds the parts in one of the two maps of answers.
const maxAnswers = 4096

// answers remembers when servers answered on parts last, for about the last maxAnswers
// parts: a part on which they did is judged after those on which they never did.
type answers struct{ recent, older map[uint64]time.Time }

func newAnswers() answers { return answers{recent: make(map[uint64]time.Time)} }

// add records an answer on a part, unless a later one is known.
func (a *answers) add(id uint64, at time.Time) {
	if a.last(id).After(at) {
		return
	}
	if len(a.recent) >= maxAnswers {
		a.older, a.recent = a.recent, make(map[uint64]time.Time)
	}
	a.recent[id] = at
}

// last returns when a server answered on a part last, zero if that is not known.
func (a *answers) last(id uint64) time.Time {
	if at, ok := a.recent[id]; ok {
		return at
	}
	return a.older[id]
}
