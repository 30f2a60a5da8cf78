package soak

import (
	"net/http"
	"sync/atomic"
	"time"

	"kumquatyard/platform/standin"
)

const (
	// settleTime is when all is served again after the last fault.
	settleTime = 5 * time.Second
	// finalRequests are sent to each instance at the end.
	finalRequests = 5
	// leastServed is the part of all requests that must be served for a soak to
	// prove anything.
	leastServed = 0.3
)

// serviceOf names the service that a path's route leads to.
var serviceOf = map[string]string{lookupPath: "lookup", addedPath: "lookup", orderPath: "order", draftPath: "draft"}

// judge checks what the servers ran against what the callers sent and got.
func judge(f *fleet, r *record) {
	r.mu.Lock()
	outcomes := append([]outcome(nil), r.outcomes...)
	r.mu.Unlock()
	sent := make(map[string]outcome, len(outcomes))
	for _, o := range outcomes {
		sent[o.id] = o
	}
	runs := make(map[string]int)
	for _, run := range f.runs.All() {
		runs[run.ID]++
		judgeRun(r, run, sent)
	}
	served := 0
	for _, o := range outcomes {
		n := runs[o.id]
		if o.path == orderPath && n > 1 {
			r.breach("order %s ran %d times", o.id, n)
		}
		if o.path == orderPath && n > 0 && promisesNotRun(o.status) && !o.broken {
			r.breach("order %s was answered %d and has run", o.id, o.status)
		}
		// A process that is stopped answers nobody (seed 8011).
		late := o.took > deadline+answerSlack && !o.unanswered
		if late && !f.paused(o.instance, span{o.at, o.at.Add(o.took)}) {
			r.breach("request %s to %s was answered with %d after %v", o.id, o.path, o.status, o.took)
		}
		if o.status == http.StatusOK && !o.broken {
			served++
		}
	}
	if float64(served) < leastServed*float64(len(outcomes)) {
		r.breach("%d of %d requests were served", served, len(outcomes))
	}
	for _, b := range f.duties.Violations() {
		r.breach("duties: %s", b)
	}
}

func judgeRun(r *record, run standin.Run, sent map[string]outcome) {
	o, ok := sent[run.ID]
	switch {
	case !ok:
		r.breach("server %s ran %q, which no caller sent", run.Server, run.ID)
	case run.Path != o.path || serviceOf[o.path] != run.Service:
		r.breach("request %s to %s ran at a server of %s as %s", o.id, o.path, run.Service, run.Path)
	case run.Workspace != workspace || run.APIKeyForwarded:
		r.breach("request %s ran for workspace %q, key shown: %v", o.id, run.Workspace, run.APIKeyForwarded)
	}
}

// promisesNotRun reports whether a status says that a request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// judgeCalm asks every instance, some time after the last fault: each serves, and
// by the last configuration.
func judgeCalm(f *fleet, c *chaos, r *record, ids *atomic.Int64) {
	for _, i := range f.instances {
		if !i.ready() {
			r.breach("%s is not ready after %v of calm", i.name, settleTime)
			continue
		}
		ask := func(path, key string) int {
			one := &caller{f: f, record: r, ids: ids, key: key}
			if !one.connectTo(i.callers) {
				return 0
			}
			defer one.hangUp()
			o := one.send(path)
			r.add(o)
			return o.status
		}
		for range finalRequests {
			if got := ask(lookupPath, apiKey); got != http.StatusOK {
				r.breach("%s answers %d after %v of calm", i.name, got, settleTime)
			}
		}
		want := map[bool]int{true: http.StatusOK, false: http.StatusNotFound}[c.added]
		if got := ask(addedPath, apiKey); got != want {
			r.breach("%s answers %d on the added route, want %d by %v", i.name, got, want, c)
		}
		want = map[bool]int{true: http.StatusOK, false: http.StatusUnauthorized}[c.second]
		if got := ask(lookupPath, secondKey); got != want {
			r.breach("%s answers %d to the second key, want %d by %v", i.name, got, want, c)
		}
	}
}
