// Package clock tells the time of day without following jumps of the
// instance's own clock: it counts on from the start by the monotonic clock and
// is corrected by the median of what the other instances tell.
package clock

import (
	"slices"
	"sync"
	"time"
)

const (
	// forgetAfter is the age of a reading that counts no more.
	forgetAfter = 5 * time.Second
	// minReadings is the number of other clocks needed for a correction.
	minReadings = 2
)

// Clock is safe for concurrent use.
type Clock struct {
	start time.Time

	mu       sync.Mutex
	readings map[string]reading
	offset   time.Duration
}

// reading is how far another instance's clock is ahead of the uncorrected one.
type reading struct {
	ahead time.Duration
	at    time.Time
}

// New returns a Clock that starts at now.
func New(now time.Time) *Clock {
	return &Clock{start: now, readings: make(map[string]reading)}
}

// Now returns the corrected time; now is the current time with its monotonic reading.
func (c *Clock) Now(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.steady(now).Add(c.offset)
}

// Uncorrected returns the time to tell the other instances: the uncorrected one. If
// corrected times were told, each message's delay would set all clocks back anew.
func (c *Clock) Uncorrected(now time.Time) time.Time { return c.steady(now) }

// steady is the time of day by the monotonic clock alone.
func (c *Clock) steady(now time.Time) time.Time {
	return c.start.Round(0).Add(now.Sub(c.start))
}

// RecordPeerTime records another instance's time as it arrived.
func (c *Clock) RecordPeerTime(from string, theirs, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readings[from] = reading{ahead: theirs.Sub(c.steady(now)), at: now}
	ahead := []time.Duration{0}
	for name, r := range c.readings {
		if now.Sub(r.at) > forgetAfter {
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
