package standin

import (
	"strconv"
	"time"
)

// maxEvents limits the cache events that an engine retains.
const maxEvents = 4096

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Added and Removed are block hashes in hexadecimal.
	Added   []string `json:"added"`
	Removed []string `json:"removed"`
}

// CacheEvents is the response to GET /v1/cache/events?after=N. Events are
// missing if First is greater than N+1 or if Seq skips a number.
type CacheEvents struct {
	First  uint64       `json:"first"`
	Last   uint64       `json:"last"`
	Events []CacheEvent `json:"events"`
}

// eventLog holds the newest maxEvents cache events.
type eventLog struct {
	last   uint64
	events []timed[CacheEvent]
}

// add assigns the next sequence number to an event and stores the event. A
// lost event is not stored and leaves a gap.
func (l *eventLog) add(now time.Time, added, removed []uint64, lost bool) {
	if len(added) == 0 && len(removed) == 0 {
		return
	}
	l.last++
	if lost {
		return
	}
	event := CacheEvent{Seq: l.last, Added: hexHashes(added), Removed: hexHashes(removed)}
	l.events = append(l.events, timed[CacheEvent]{at: now, value: event})
	if len(l.events) > maxEvents {
		l.events = l.events[len(l.events)-maxEvents:]
	}
}

// since returns the events with a Seq greater than after that are at least lag
// old. Last is the newest Seq that is at least lag old, or after if none is.
func (l *eventLog) since(after uint64, now time.Time, lag time.Duration) CacheEvents {
	answer := CacheEvents{Last: after, Events: []CacheEvent{}}
	for _, e := range l.events {
		if now.Sub(e.at) < lag {
			break
		}
		answer.Last = e.value.Seq
		if e.value.Seq > after {
			answer.Events = append(answer.Events, e.value)
		}
	}
	if len(answer.Events) > 0 {
		answer.First = answer.Events[0].Seq
	}
	return answer
}

func hexHashes(hashes []uint64) []string {
	names := make([]string, len(hashes))
	for i, h := range hashes {
		names[i] = strconv.FormatUint(h, 16)
	}
	return names
}
