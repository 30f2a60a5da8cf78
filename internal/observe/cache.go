package observe

import "kumquatyard/internal/machine"

// maxPendingHashes bounds the added and the removed block hashes kept for one
// server. When it is exceeded, the oldest are dropped and a gap is marked.
const maxPendingHashes = 1024

// CacheEvents are changes of one server's prefix cache, by block hash.
type CacheEvents struct {
	Added, Removed []uint64
	// Gap is set if events before these were lost.
	Gap bool
}

func (e CacheEvents) empty() bool { return len(e.Added) == 0 && len(e.Removed) == 0 && !e.Gap }

// cacheLog holds the cache events that have not been sent yet.
type cacheLog struct{ pending map[machine.ID]CacheEvents }

func newCacheLog() cacheLog { return cacheLog{pending: map[machine.ID]CacheEvents{}} }

// add records events of a server and reports whether there were any.
func (l *cacheLog) add(id machine.ID, added, removed []uint64, gap bool) bool {
	if len(added) == 0 && len(removed) == 0 && !gap {
		return false
	}
	e := l.pending[id]
	e.Gap = e.Gap || gap
	e.Added, e.Gap = appendBounded(e.Added, added, e.Gap)
	e.Removed, e.Gap = appendBounded(e.Removed, removed, e.Gap)
	l.pending[id] = e
	return true
}

// appendBounded appends more to log, drops the oldest hashes over
// maxPendingHashes, and returns the log and the resulting gap.
func appendBounded(log, more []uint64, gap bool) ([]uint64, bool) {
	log = append(log, more...)
	if over := len(log) - maxPendingHashes; over > 0 {
		return append([]uint64(nil), log[over:]...), true
	}
	return log, gap
}

// take removes the server's events and returns up to limit of the newest hashes.
// Hashes over the limit are dropped and a gap is marked.
func (l *cacheLog) take(id machine.ID, limit int) CacheEvents {
	e := l.pending[id]
	delete(l.pending, id)
	limit = max(limit, 0)
	removed := min(len(e.Removed), limit/2)
	added := min(len(e.Added), limit-removed)
	if added < len(e.Added) || removed < len(e.Removed) {
		e.Gap = true
	}
	e.Added = e.Added[len(e.Added)-added:]
	e.Removed = e.Removed[len(e.Removed)-removed:]
	return e
}
