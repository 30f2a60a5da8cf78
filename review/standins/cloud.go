//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// DutyCall is a call of a duty that had a valid fencing token.
type DutyCall struct {
	At      time.Time
	Path    string
	Subject string
	Holder  string
	Token   uint64
	Status  int
	Body    string
}

// Cloud is the platform's API for duties.
type Cloud struct {
	*Record
	address string

	mu sync.Mutex
	// highest holds the highest fencing token of each subject.
	highest map[string]uint64
	calls   []DutyCall
	// windows holds the last counts of each window, and violations the reports with others.
	windows    map[int64]map[string]int64
	violations []string
}

func newCloud(r *Record) *Cloud {
	return &Cloud{Record: r, highest: make(map[string]uint64), windows: make(map[int64]map[string]int64)}
}

// Calls returns the calls so far.
func (c *Cloud) Calls() []DutyCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]DutyCall(nil), c.calls...)
}

// Violations returns the reports of a window that had other counts than an earlier one.
func (c *Cloud) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// ServeHTTP implements http.Handler.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	token, err := strconv.ParseUint(r.Header.Get("X-Kumquatyard-Fencing-Token"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call := DutyCall{At: time.Now(), Path: r.URL.Path, Holder: r.Header.Get("X-Kumquatyard-Duty-Holder"), Token: token, Body: string(body)}
	answer := ""
	call.Subject, call.Status, answer = c.decide(call, body)
	c.calls = append(c.calls, call)
	c.Printf("platform: %s by %s token %d %s -> %d", call.Path, call.Holder, call.Token, body, call.Status)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(call.Status)
	_, _ = io.WriteString(w, answer)
}

// decide returns the subject of a call and the answer.
func (c *Cloud) decide(call DutyCall, body []byte) (subject string, status int, answer string) {
	switch call.Path {
	case "/usage":
		subject = "usage"
		if call.Token < c.highest[subject] {
			return subject, http.StatusConflict, `{"error":"a higher fence was seen"}`
		}
		c.highest[subject] = max(c.highest[subject], call.Token)
		var report struct {
			Window int64            `json:"window_id"`
			Counts map[string]int64 `json:"counts"`
		}
		if err := json.Unmarshal(body, &report); err != nil {
			return subject, http.StatusBadRequest, ""
		}
		if before, ok := c.windows[report.Window]; ok && !maps.Equal(before, report.Counts) {
			c.violations = append(c.violations, fmt.Sprintf("window %d was reported with %v and then with %v, and both were accepted", report.Window, before, report.Counts))
		}
		c.windows[report.Window] = report.Counts
		return subject, http.StatusOK, "{}"
	case "/scale":
		var order struct {
			Service string `json:"service"`
			Zone    string `json:"zone"`
		}
		if err := json.Unmarshal(body, &order); err != nil {
			return "", http.StatusBadRequest, ""
		}
		subject = order.Service + "/" + order.Zone
		if call.Token < c.highest[subject] {
			return subject, http.StatusConflict, `{"error":"a higher fence was seen"}`
		}
		c.highest[subject] = max(c.highest[subject], call.Token)
		return subject, http.StatusOK, "{}"
	default:
		return "", http.StatusNotFound, ""
	}
}
