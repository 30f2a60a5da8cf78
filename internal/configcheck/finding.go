// Package configcheck judges a configuration before it is sent: entries that can never
// match, limits that contradict each other, and what differs from the version in force.
// It does no I/O. The form of a configuration and the names of its keys come from the
// caller, who decodes it with the parser that the processes use.
package configcheck

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"
	"time"
)

// Severity ranks a finding.
type Severity string

// Severities.
const (
	// Note is for what works as written but may not be meant.
	Note Severity = "note"
	// Warning is for an entry without effect and for limits that contradict each other.
	Warning Severity = "warning"
	// Error is for what the processes refuse, and for entries whose requests fail or are
	// counted for another workspace.
	Error Severity = "error"
)

// rank orders severities, the gravest first.
func (s Severity) rank() int { return slices.Index([]Severity{Error, Warning, Note}, s) }

// Finding is one thing that is wrong with a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// File is empty if the configuration is a single file.
	File string `json:"file,omitempty"`
	// Line is 0 if it is not known.
	Line int `json:"line,omitempty"`
	// Entry names the entry or the key.
	Entry   string `json:"entry"`
	Problem string `json:"problem"`
	Fix     string `json:"fix"`
}

// Report is the result of a check.
type Report struct {
	Findings []Finding `json:"findings"`
	// Changes says in words what differs from the version in force.
	Changes []string `json:"changes"`
}

// Exit statuses of a check.
const (
	StatusClean    = 0
	StatusWarnings = 1
	StatusErrors   = 2
)

// Status returns the exit status for the gravest finding. Notes do not count.
func (r Report) Status() int {
	status := StatusClean
	for _, f := range r.Findings {
		switch f.Severity {
		case Error:
			return StatusErrors
		case Warning:
			status = StatusWarnings
		}
	}
	return status
}

// Sort orders the findings by severity, then by place.
func (r Report) Sort() {
	slices.SortStableFunc(r.Findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity.rank(), b.Severity.rank()), cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Entry, b.Entry))
	})
}

// Known holds what the operator states about a deployment and its callers. A value of 0 is
// not known, and nothing is judged by it.
type Known struct {
	// RequestsPerSecond and TokensPerSecond are what all servers serve together.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Grace is the time from the stop signal until a process is killed.
	Grace time.Duration
	// BodyBytes is the size of the largest body that callers send.
	BodyBytes int64
}

// CheckGrace returns a finding if the longest timeout, that of entry, exceeds the grace
// period.
func (k Known) CheckGrace(entry, timeoutName string, longest time.Duration) []Finding {
	if k.Grace <= 0 || longest <= k.Grace {
		return nil
	}
	return []Finding{{
		Severity: Warning, Entry: entry,
		Problem: fmt.Sprintf("%s is %v, but a process is killed %v after the stop signal: requests that run longer are cut", timeoutName, longest, k.Grace),
		Fix:     fmt.Sprintf("raise the grace period to at least %v, or shorten %s", longest, timeoutName),
	}}
}

// fingerprintBytes is how much of a key's SHA-256 a report shows.
const fingerprintBytes = 4

// Fingerprint returns a short name for a secret, which does not reveal it.
func Fingerprint(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return "sha256:" + hex.EncodeToString(sum[:fingerprintBytes])
}

// longHex matches keys, digests and other secrets in hexadecimal.
var longHex = regexp.MustCompile(`[0-9A-Fa-f]{24,}`)

// Redact returns text with each long hexadecimal number replaced by its fingerprint.
func Redact(text string) string { return longHex.ReplaceAllStringFunc(text, Fingerprint) }
