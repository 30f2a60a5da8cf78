package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatyard/internal/machine"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// journalShards is the number of independently locked shards, which keep
	// requests from contending for one lock.
	journalShards = 64
	// shardRequests is the number of recent requests that a shard keeps.
	shardRequests = 64
	// journalLines bounds the entries kept for one request.
	journalLines = 16
)

// journal keeps the routing decisions and failures of recent requests, for
// explain.
type journal struct{ shards [journalShards]journalShard }

type journalShard struct {
	mu      sync.Mutex
	entries map[string][]record
	order   [shardRequests]string
	next    int
}

// record is one event of a request. It is formatted only when explain
// reads it.
type record struct {
	at     time.Time
	format string
	args   []any
}

func (r record) String() string {
	return r.at.UTC().Format(time.RFC3339Nano) + " " + fmt.Sprintf(r.format, r.args...)
}

func newJournal() *journal {
	j := &journal{}
	for i := range j.shards {
		j.shards[i].entries = make(map[string][]record)
	}
	return j
}

func (j *journal) shard(requestID string) *journalShard {
	return &j.shards[xxhash.Sum64String(requestID)%journalShards]
}

// record adds an event to a request's entries. A new request replaces the
// oldest one of its shard.
func (j *journal) record(requestID, format string, args ...any) {
	s := j.shard(requestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	entries, ok := s.entries[requestID]
	if !ok {
		delete(s.entries, s.order[s.next])
		s.order[s.next] = requestID
		s.next = (s.next + 1) % shardRequests
	}
	if len(entries) < journalLines {
		s.entries[requestID] = append(entries, record{at: time.Now(), format: format, args: args})
	}
}

// routed records that a request was sent to a server, and why.
func (j *journal) routed(requestID string, server machine.ID, reason fmt.Stringer, reusable int) {
	j.record(requestID, "sent to %s: %s, %d prompt tokens expected in its cache", server, reason, reusable)
}

// explain returns the entries of a request.
func (j *journal) explain(requestID string) *pb.ExplainReply {
	s := j.shard(requestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &pb.ExplainReply{RequestId: requestID}
	for _, n := range s.entries[requestID] {
		reply.Lines = append(reply.Lines, n.String())
	}
	return reply
}
