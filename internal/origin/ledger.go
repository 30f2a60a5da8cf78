package origin

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// retention is how long a stream that broke off, and a version that has left a pool, may
	// still be asked for. Callers resume a stream within seconds or give it up.
	retention = 30 * time.Second
	// retireAge is how long no server of a version was seen before it is marked as retiring, and
	// retireTime the least time that it is, before it leaves the list: an instance that was out of
	// step finds the list changed if the version serves again.
	retireAge  = 20 * time.Second
	retireTime = 10 * time.Second
	// recordRefresh is the age at which the record of a stream in flight is written again,
	// so that it outlives the lease that it was written under.
	recordRefresh = 20 * time.Second
	// maxEnded bounds the streams that have ended and are kept.
	maxEnded = 20_000
)

// Record says what began a stream.
type Record struct {
	Stream string
	Origin Origin
}

// stream is a stream that this instance began or continued.
type stream struct {
	mu     sync.Mutex
	origin Origin
	// sent is set once a record was handed to the store, which may have it from then on, and
	// recordedAt is when the store last confirmed one; zero before.
	sent       bool
	recordedAt time.Time
	// endedAt is when the stream ended or broke off here; zero while it is in flight.
	endedAt time.Time
}

// ledger holds the streams of this instance. It is safe for concurrent use.
type ledger struct {
	streams sync.Map // string → *stream
	ended   atomic.Int64
}

// begin records that a server is about to begin a stream. It has no effect on the origin of
// one that is known, which confirm decides.
func (l *ledger) begin(id string, o Origin) {
	found, loaded := l.streams.LoadOrStore(id, &stream{origin: o})
	if !loaded {
		return
	}
	s := found.(*stream)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.endedAt.IsZero() {
		s.endedAt = time.Time{}
		l.ended.Add(-1)
	}
	if !s.sent {
		s.origin = o
	}
}

// confirm reports whether a stream may begin with this origin: no other one was handed to the
// store. If there was another, the caller has to store the new one first.
func (l *ledger) confirm(id string, o Origin) bool {
	s := l.get(id)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origin.alike(o)
}

// replace sets the origin of a stream, which the store has confirmed.
func (l *ledger) replace(id string, o Origin, now time.Time) {
	if s := l.get(id); s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.origin, s.sent, s.recordedAt = o, true, now
	}
}

// end records that this instance no longer serves a stream. One that has not begun is
// forgotten.
func (l *ledger) end(id string, begun bool, now time.Time) {
	s := l.get(id)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	wasEnded := !s.endedAt.IsZero()
	if !begun || l.ended.Load() >= maxEnded {
		l.streams.Delete(id)
		if wasEnded {
			l.ended.Add(-1)
		}
		return
	}
	if !wasEnded {
		l.ended.Add(1)
	}
	s.endedAt = now
}

// origin returns what began a stream.
func (l *ledger) origin(id string) (Origin, bool) {
	s := l.get(id)
	if s == nil {
		return Origin{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origin, true
}

func (l *ledger) get(id string) *stream {
	if found, ok := l.streams.Load(id); ok {
		return found.(*stream)
	}
	return nil
}

// expire forgets streams that ended long ago.
func (l *ledger) expire(now time.Time) {
	l.streams.Range(func(id, value any) bool {
		s := value.(*stream)
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.endedAt.IsZero() && now.Sub(s.endedAt) > retention {
			l.streams.Delete(id)
			l.ended.Add(-1)
		}
		return true
	})
}

// due returns up to limit records to write, of the streams of the pools for which needsRecord
// is true, and marks them as handed to the store.
func (l *ledger) due(needsRecord func(pool string) bool, limit int, now time.Time) []Record {
	var records []Record
	l.streams.Range(func(id, value any) bool {
		s := value.(*stream)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.isDue(now) && needsRecord(s.origin.Pool) {
			s.sent = true
			records = append(records, Record{id.(string), s.origin})
		}
		return len(records) < limit
	})
	return records
}

// isDue reports whether the store lacks the stream's record, or will lose it while the stream
// is in flight.
func (s *stream) isDue(now time.Time) bool {
	return s.recordedAt.IsZero() || (s.endedAt.IsZero() && now.Sub(s.recordedAt) > recordRefresh)
}

// recorded notes that the store has confirmed records.
func (l *ledger) recorded(records []Record, now time.Time) {
	for _, r := range records {
		s := l.get(r.Stream)
		if s == nil {
			continue
		}
		s.mu.Lock()
		if s.origin == r.Origin {
			s.recordedAt = now
		}
		s.mu.Unlock()
	}
}
