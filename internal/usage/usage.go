// Package usage counts the requests that started in each window of the wall clock,
// by workspace, and sums them over the instances. Counts only grow and are kept per
// incarnation of an instance, so that lost, repeated or reordered peer reports do
// not distort the sum.
package usage

import (
	"maps"
	"sync"
	"time"
)

// Window is the number of a window, counted from the Unix epoch: it begins Window
// times its length after 1970-01-01 00:00 UTC.
type Window int64

// Counts holds numbers of requests by workspace.
type Counts map[string]int64

// retainedWindows is the number of windows whose counts are kept.
const retainedWindows = 8

// Counter holds the counts of this instance and those reported by its peers. It is
// safe for concurrent use.
type Counter struct {
	length time.Duration

	mu     sync.Mutex
	own    map[Window]Counts
	others map[string]map[Window]Counts
}

// New returns a Counter for windows of the given length.
func New(length time.Duration) *Counter {
	return &Counter{length: length, own: make(map[Window]Counts), others: make(map[string]map[Window]Counts)}
}

// WindowAt returns the window that contains t.
func (c *Counter) WindowAt(t time.Time) Window {
	return Window(t.UnixMilli() / c.length.Milliseconds())
}

// WindowEnd returns the end of a window.
func (c *Counter) WindowEnd(w Window) time.Time {
	return time.UnixMilli(int64(w+1) * c.length.Milliseconds())
}

// RecordStart counts a request that started at t.
func (c *Counter) RecordStart(workspace string, t time.Time) {
	w := c.WindowAt(t)
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.own[w]
	if counts == nil {
		counts = make(Counts)
		c.own[w] = counts
		prune(c.own, w)
		c.pruneOthers(w)
	}
	counts[workspace]++
}

// pruneOthers drops the incarnations of other instances that have no retained counts.
func (c *Counter) pruneOthers(newest Window) {
	for incarnation, windows := range c.others {
		if prune(windows, newest); len(windows) == 0 {
			delete(c.others, incarnation)
		}
	}
}

func prune(windows map[Window]Counts, newest Window) {
	maps.DeleteFunc(windows, func(w Window, _ Counts) bool { return w <= newest-retainedWindows })
}

// LocalCounts returns a copy of this instance's counts, to send to its peers.
func (c *Counter) LocalCounts() map[Window]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[Window]Counts, len(c.own))
	for w, counts := range c.own {
		out[w] = maps.Clone(counts)
	}
	return out
}

// RecordPeerReport records the counts of one incarnation of another instance. Since
// counts only grow, it keeps the larger of two counts for the same window.
func (c *Counter) RecordPeerReport(from string, windows map[Window]Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.others[from]
	if known == nil {
		known = make(map[Window]Counts)
		c.others[from] = known
	}
	for w, counts := range windows {
		if known[w] == nil {
			known[w] = make(Counts)
			prune(known, w)
		}
		for workspace, n := range counts {
			known[w][workspace] = max(known[w][workspace], n)
		}
	}
}

// Total returns the counts of a window summed over all instances.
func (c *Counter) Total(w Window) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := maps.Clone(c.own[w])
	if total == nil {
		total = make(Counts)
	}
	for _, windows := range c.others {
		for workspace, n := range windows[w] {
			total[workspace] += n
		}
	}
	return total
}
