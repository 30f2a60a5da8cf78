// Package clock provides a time of day that does not follow jumps of the system
// clock: it advances with the monotonic clock from the time at the start, and is
// corrected by the median of the instances' clocks. Entry instances use it where
// they must agree on the time of day, as for the windows of usage reports.
package clock

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxReadingAge is the age after which a peer's reading is dropped.
	maxReadingAge = 5 * time.Second
	// minReadings is the number of peers' readings needed for a correction.
	minReadings = 2
)

// Clock is a corrected clock. It is safe for concurrent use.
type Clock struct {
	start time.Time

	mu       sync.Mutex
	readings map[string]reading
	offset   time.Duration
}

// reading is how far a peer's clock is ahead of this instance's uncorrected one, and
// when its message arrived.
type reading struct {
	ahead time.Duration
	at    time.Time
}

// New returns a Clock that starts at now.
func New(now time.Time) *Clock {
	return &Clock{start: now, readings: make(map[string]reading)}
}

// Now returns the corrected time. now is the current time with its monotonic reading.
func (c *Clock) Now(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.monotonic(now).Add(c.offset)
}

// Uncorrected returns the uncorrected time, which is the one to send to peers. If
// instances sent corrected times, the delay of each message would set all clocks
// back further.
func (c *Clock) Uncorrected(now time.Time) time.Time { return c.monotonic(now) }

// monotonic returns the time at the start plus the monotonic time elapsed since.
func (c *Clock) monotonic(now time.Time) time.Time {
	return c.start.Round(0).Add(now.Sub(c.start))
}

// RecordPeerTime records a peer's time from a message that arrived at now, and updates
// the correction.
func (c *Clock) RecordPeerTime(from string, theirs, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readings[from] = reading{ahead: theirs.Sub(c.monotonic(now)), at: now}
	ahead := []time.Duration{0}
	for name, r := range c.readings {
		if now.Sub(r.at) > maxReadingAge {
			delete(c.readings, name)
			continue
		}
		ahead = append(ahead, r.ahead)
	}
	if len(ahead) <= minReadings {
		return
	}
	slices.Sort(ahead)
	c.offset = ahead[len(ahead)/2]
}
