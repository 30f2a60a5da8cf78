package standin

import (
	"maps"
	"sync"
)

// Runs counts how often each request ran, the ground truth for at-most-once
// checks.
type Runs struct {
	ByRequest map[string]int `json:"by_request"`
	ByKey     map[string]int `json:"by_key"`
}

type runCounter struct {
	mu   sync.Mutex
	runs Runs
}

func newRunCounter() *runCounter {
	return &runCounter{runs: Runs{ByRequest: make(map[string]int), ByKey: make(map[string]int)}}
}

// add counts a run and returns the request's number of runs so far.
func (c *runCounter) add(request, key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request != "" {
		c.runs.ByRequest[request]++
	}
	if key != "" {
		c.runs.ByKey[key]++
	}
	return c.runs.ByRequest[request]
}

func (c *runCounter) get() Runs {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Runs{ByRequest: maps.Clone(c.runs.ByRequest), ByKey: maps.Clone(c.runs.ByKey)}
}
