package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// newsTime is how long news are in each message; all evidence is in the messages of
	// the first fullTime of each second, for instances that have just started.
	newsTime = 1500 * time.Millisecond
	fullTime = 200 * time.Millisecond
	// maxMessageParts bounds the parts in a message.
	maxMessageParts = 24
	// maxLossAge is the age up to which losses of parts that are not quarantined are
	// accepted. It is below lossRetention, so that instances do not tell each other of a
	// loss for ever.
	maxLossAge = lossRetention / 2
)

// FormatPart returns the id of a part as callers write it.
func FormatPart(id uint64) string { return strconv.FormatUint(id, 16) }

// Evidence returns the message form of the evidence for the other instances: what is new,
// and now and then all of it.
func (t *Tracker) Evidence(now time.Time) []*pb.PartEvidence {
	if len(t.view.Load().tracked) == 0 {
		return nil
	}
	full := now.Sub(now.Truncate(time.Second)) < fullTime
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []uint64
	for id, e := range t.parts {
		if now.Sub(e.changedAt) < newsTime || full {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, t.compareParts)
	list := make([]*pb.PartEvidence, 0, min(len(ids), maxMessageParts))
	for _, id := range ids[:min(len(ids), maxMessageParts)] {
		list = append(list, encode(id, t.parts[id], now))
	}
	return list
}

// compareParts orders the parts by how much the other instances need to know of them:
// quarantined ones, those with more losses, those that changed last.
func (t *Tracker) compareParts(a, b uint64) int {
	first, second := t.parts[a], t.parts[b]
	if first.quarantined != second.quarantined {
		if first.quarantined {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(len(second.losses), len(first.losses)),
		second.changedAt.Compare(first.changedAt),
		cmp.Compare(a, b),
	)
}

func encode(id uint64, e *evidence, now time.Time) *pb.PartEvidence {
	m := &pb.PartEvidence{Part: id, Quarantined: e.quarantined}
	for key, l := range e.losses {
		m.Servers = append(m.Servers, key.server)
		m.Requests = append(m.Requests, key.request)
		m.AgesMs = append(m.AgesMs, uint32(max(now.Sub(l.at).Milliseconds(), 0)))
		m.Begun = append(m.Begun, l.begun)
	}
	if !e.answeredAt.IsZero() {
		// 0 means that no answer is known.
		m.AnsweredAgeMs = uint32(max(now.Sub(e.answeredAt).Milliseconds(), 1))
	}
	return m
}

// Merge adds the evidence of another instance.
func (t *Tracker) Merge(list []*pb.PartEvidence, now time.Time) {
	if len(list) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range list {
		t.mergePart(m, now)
	}
	t.update(now)
}

func (t *Tracker) mergePart(m *pb.PartEvidence, now time.Time) {
	oldest := maxLossAge
	if m.GetQuarantined() {
		oldest = quarantineTime
	}
	n := min(len(m.GetServers()), len(m.GetRequests()), len(m.GetAgesMs()), len(m.GetBegun()))
	for i := range n {
		age := milliseconds(m.GetAgesMs()[i])
		if age < oldest {
			t.addLoss(m.GetPart(), lossKey{m.GetServers()[i], m.GetRequests()[i]}, loss{now.Add(-age), m.GetBegun()[i]}, now)
		}
	}
	if age := milliseconds(m.GetAnsweredAgeMs()); age > 0 {
		t.addAnswer(m.GetPart(), now.Add(-age), now)
	}
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
