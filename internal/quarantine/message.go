package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"kumquatyard/internal/gossip"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// newsTime is how long news are in each message; the evidence on suspected parts is in the
	// messages of the first fullTime of each second, for instances that have just started.
	newsTime = 1500 * time.Millisecond
	fullTime = 200 * time.Millisecond
	// maxMessageParts and maxMessageRequests bound the parts and the requests in a message.
	maxMessageParts    = 24
	maxMessageRequests = 48
	// refreshInterval is how often what is known of suspected requests is told again.
	refreshInterval = time.Second
	// transitAllowance is taken for the time that a message was under way. Without it an answer
	// would come out later with each instance that tells of it, at last after the ends that
	// followed it.
	transitAllowance = 200 * time.Millisecond
	// maxLossAge is the age up to which losses are accepted. It is below lossRetention, so that
	// instances do not tell each other of a loss for ever.
	maxLossAge = lossRetention / 2
)

// FormatID returns the id of a part as callers write it, or the identity of a request.
func FormatID(id uint64) string { return strconv.FormatUint(id, 16) }

// Evidence returns the message form of the evidence for the other instances: what is new,
// and now and then all of it. Of single ends under requests, of which many are lost with a
// zone, an instance tells those that it saw; with relay, also those that it was told of.
func (t *Tracker) Evidence(relay bool, now time.Time) []*pb.PartEvidence {
	if !t.view.Load().isTracking {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return append(t.partEvidence(now), t.requestEvidence(relay, now)...)
}

func (t *Tracker) partEvidence(now time.Time) []*pb.PartEvidence {
	full := now.Sub(now.Truncate(time.Second)) < fullTime
	var ids []uint64
	for id, e := range t.parts.evidence {
		if now.Sub(e.changedAt) < newsTime || full && len(e.losses) >= suspectMoments {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, t.compareParts)
	ids = ids[:min(len(ids), maxMessageParts)]
	list := make([]*pb.PartEvidence, len(ids))
	for n, id := range ids {
		list[n] = encode(id, t.parts.evidence[id], now)
	}
	return list
}

// requestEvidence returns the message form of what is known of requests: news, and what is
// suspected now and then.
func (t *Tracker) requestEvidence(relay bool, now time.Time) []*pb.PartEvidence {
	requests := t.requests.evidence
	var ids []uint64
	for id, e := range requests {
		isDue := e.IsDue(refreshInterval, now)
		if len(e.losses) < suspectServers {
			isDue = e.IsNews() && (relay || e.isOwn)
		}
		if isDue {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(requests[a].Sends, requests[b].Sends), cmp.Compare(len(requests[b].losses), len(requests[a].losses)), cmp.Compare(a, b))
	})
	ids = ids[:min(len(ids), maxMessageRequests)]
	list := make([]*pb.PartEvidence, len(ids))
	for n, id := range ids {
		e := requests[id]
		e.Told(now)
		list[n] = encode(id, e, now)
		list[n].IsRequest = true
	}
	return list
}

// compareParts orders the parts by how much the other instances need to know of them:
// quarantined ones, those with more losses, those that changed last.
func (t *Tracker) compareParts(a, b uint64) int {
	first, second := t.parts.evidence[a], t.parts.evidence[b]
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
	// Earlier builds take older losses if Quarantined is set.
	m := &pb.PartEvidence{Part: id, Quarantined: e.quarantined}
	for key, l := range e.losses {
		m.Servers = append(m.Servers, key.server)
		m.Requests = append(m.Requests, key.request)
		m.AgesMs = append(m.AgesMs, gossip.AgeMs(l.at, now))
		m.SentAgesMs = append(m.SentAgesMs, gossip.AgeMs(l.sentAt, now))
		m.Begun = append(m.Begun, l.begun)
	}
	if !e.answeredAt.IsZero() {
		// 0 means that no answer is known.
		m.AnsweredAgeMs = max(gossip.AgeMs(e.answeredAt, now), 1)
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
		addLoss, addAnswer := t.addPartLoss, t.addPartAnswer
		if m.GetIsRequest() {
			addLoss, addAnswer = t.addRequestLoss, t.addRequestAnswer
		}
		mergeLosses(m, addLoss, now)
		if age := gossip.Age(m.GetAnsweredAgeMs()); age > 0 {
			addAnswer(m.GetPart(), now.Add(-age-transitAllowance), now)
		}
	}
	t.update(now)
}

// mergeLosses adds the losses of a message that are not too old.
func mergeLosses(m *pb.PartEvidence, add func(id uint64, key lossKey, l loss, now time.Time), now time.Time) {
	n := min(len(m.GetServers()), len(m.GetRequests()), len(m.GetAgesMs()), len(m.GetSentAgesMs()), len(m.GetBegun()))
	for i := range n {
		age := gossip.Age(m.GetAgesMs()[i])
		if age >= maxLossAge {
			continue
		}
		key := lossKey{m.GetServers()[i], m.GetRequests()[i]}
		l := loss{at: now.Add(-age), sentAt: now.Add(-gossip.Age(m.GetSentAgesMs()[i])), begun: m.GetBegun()[i]}
		add(m.GetPart(), key, l, now)
	}
}
