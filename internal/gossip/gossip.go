// Package gossip holds what the messages between instances have in common: ages in place of
// times, as clocks differ, and how often something is told, as messages are lost.
package gossip

import "time"

// NewsSends is the number of messages in which something new is told.
const NewsSends = 12

// Telling counts the messages in which something was told.
type Telling struct {
	// Sends is the number of messages since it changed, and LastAt the time of the last one.
	Sends  int
	LastAt time.Time
}

// Change starts anew: there is news to tell.
func (t *Telling) Change() { t.Sends = 0 }

// Told records that it is in a message.
func (t *Telling) Told(now time.Time) { t.Sends, t.LastAt = t.Sends+1, now }

// IsNews reports whether it has to be told since it changed.
func (t *Telling) IsNews() bool { return t.Sends < NewsSends }

// IsDue reports whether it has to be told: it is news, or was not told for an interval, after
// which instances that have just started need to hear of it.
func (t *Telling) IsDue(interval time.Duration, now time.Time) bool {
	return t.IsNews() || now.Sub(t.LastAt) >= interval
}

// AgeMs returns the age of a time in milliseconds, 0 if it is to come.
func AgeMs(at, now time.Time) uint32 { return uint32(max(now.Sub(at).Milliseconds(), 0)) }

// Age returns the duration of an age in milliseconds.
func Age(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
