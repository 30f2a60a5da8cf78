package standin

import "time"

// valueHistory records values with their times, so that they can be read with a
// lag.
type valueHistory[T any] struct {
	values []timed[T]
}

type timed[T any] struct {
	at    time.Time
	value T
}

// add appends a value recorded at now and drops the values that can no longer be
// read with a lag of at most keep.
func (l *valueHistory[T]) add(now time.Time, value T, keep time.Duration) {
	l.values = append(l.values, timed[T]{at: now, value: value})
	drop := 0
	for drop+1 < len(l.values) && now.Sub(l.values[drop+1].at) > keep {
		drop++
	}
	l.values = l.values[drop:]
}

// at returns the newest value that is at least lag old and the time at which it
// was recorded. If none is that old, it returns the oldest value; if there is
// none at all, the zero value and now.
func (l *valueHistory[T]) at(now time.Time, lag time.Duration) (value T, recordedAt time.Time) {
	if len(l.values) == 0 {
		return value, now
	}
	best := l.values[0]
	for _, v := range l.values {
		if now.Sub(v.at) < lag {
			break
		}
		best = v
	}
	return best.value, best.at
}
