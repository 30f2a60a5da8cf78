package gateway

import (
	"fmt"
	"sync"
	"time"

	"kumquatyard/internal/machine"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// journalRequests is the number of recent requests that can be explained.
	journalRequests = 4096
	// journalLines bounds the lines kept for one request.
	journalLines = 16
)

// journal keeps why recent requests went where they went.
type journal struct {
	mu    sync.Mutex
	lines map[string][]string
	order [journalRequests]string
	next  int
}

func newJournal() *journal { return &journal{lines: make(map[string][]string, journalRequests)} }

// note records an event of a request.
func (j *journal) note(requestID, format string, args ...any) {
	line := time.Now().UTC().Format(time.RFC3339Nano) + " " + fmt.Sprintf(format, args...)
	j.mu.Lock()
	defer j.mu.Unlock()
	lines, ok := j.lines[requestID]
	if !ok {
		delete(j.lines, j.order[j.next])
		j.order[j.next] = requestID
		j.next = (j.next + 1) % journalRequests
	}
	if len(lines) < journalLines {
		j.lines[requestID] = append(lines, line)
	}
}

func (j *journal) routed(requestID string, server machine.ID, reason fmt.Stringer, reusable int) {
	j.note(requestID, "sent to %s: %s, %d prompt tokens expected in its cache", server, reason, reusable)
}

// explain returns what is kept of a request.
func (j *journal) explain(requestID string) *pb.ExplainReply {
	j.mu.Lock()
	defer j.mu.Unlock()
	return &pb.ExplainReply{RequestId: requestID, Lines: append([]string(nil), j.lines[requestID]...)}
}
