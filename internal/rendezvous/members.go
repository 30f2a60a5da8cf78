package rendezvous

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MemberRetention is how long an instance counts that is not listed any more: entries may be
// missing for a time after the store was away.
const MemberRetention = 10 * time.Second

// Members are the instances that share something, this one first. It is not safe for
// concurrent use.
type Members struct {
	self string
	// hashes are those of the members' names; there are none until they are known.
	hashes []uint64
	// listed are the names of the listed instances, and missingSince holds when the others
	// that count were found missing from the list.
	listed       []string
	missingSince map[string]time.Time
	generation   int
}

// NewMembers returns the members as known to the instance with the given name: none yet.
func NewMembers(self string) *Members {
	return &Members{self: self, missingSince: make(map[string]time.Time)}
}

// Set sets the names of the listed instances, with or without this one.
func (m *Members) Set(names []string, now time.Time) {
	for _, name := range m.listed {
		m.missingSince[name] = now
	}
	for _, name := range names {
		delete(m.missingSince, name)
	}
	m.listed = names
	m.count()
}

// Expire drops the instances that have been missing for long.
func (m *Members) Expire(now time.Time) {
	before := len(m.missingSince)
	maps.DeleteFunc(m.missingSince, func(_ string, since time.Time) bool { return now.Sub(since) >= MemberRetention })
	if len(m.missingSince) < before {
		m.count()
	}
}

// count sets the members: this instance, and those that are listed or have been missing for a
// short time.
func (m *Members) count() {
	m.hashes = []uint64{xxhash.Sum64String(m.self)}
	for _, name := range slices.AppendSeq(slices.Clone(m.listed), maps.Keys(m.missingSince)) {
		if name != m.self {
			m.hashes = append(m.hashes, xxhash.Sum64String(name))
		}
	}
	m.generation++
}

// Len returns the number of members; 0 until they are known.
func (m *Members) Len() int { return len(m.hashes) }

// Generation increases with each change of the members.
func (m *Members) Generation() int { return m.generation }

// Rank returns this instance's place, counted from 0, when the members are ordered by their
// scores for a key.
func (m *Members) Rank(key uint64) int {
	rank := 0
	for _, hash := range m.hashes {
		if Score(hash, key) > Score(m.hashes[0], key) {
			rank++
		}
	}
	return rank
}
