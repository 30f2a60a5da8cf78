package standin

import "time"

// lagged keeps the past values of something, to show it with a lag.
type lagged[T any] struct {
	values []timed[T]
}

type timed[T any] struct {
	at    time.Time
	value T
}

// add appends a value of time now and forgets those that a lag of at most
// keep cannot show any more.
func (l *lagged[T]) add(now time.Time, value T, keep time.Duration) {
	l.values = append(l.values, timed[T]{at: now, value: value})
	drop := 0
	for drop+1 < len(l.values) && now.Sub(l.values[drop+1].at) > keep {
		drop++
	}
	l.values = l.values[drop:]
}

// at returns the newest value that is at least lag old, or else the oldest.
func (l *lagged[T]) at(now time.Time, lag time.Duration) (value T, measured time.Time) {
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
