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
	// journalShards keeps requests from waiting for each other's notes.
	journalShards = 64
	// shardRequests is the number of recent requests that a shard explains.
	shardRequests = 64
	// journalLines bounds the lines kept for one request.
	journalLines = 16
)

// journal keeps why recent requests went where they went.
type journal struct{ shards [journalShards]journalShard }

type journalShard struct {
	mu    sync.Mutex
	notes map[string][]note
	order [shardRequests]string
	next  int
}

// note is one event of a request, formatted only when somebody asks.
type note struct {
	at     time.Time
	format string
	args   []any
}

func (n note) String() string {
	return n.at.UTC().Format(time.RFC3339Nano) + " " + fmt.Sprintf(n.format, n.args...)
}

func newJournal() *journal {
	j := &journal{}
	for i := range j.shards {
		j.shards[i].notes = make(map[string][]note)
	}
	return j
}

func (j *journal) shard(requestID string) *journalShard {
	return &j.shards[xxhash.Sum64String(requestID)%journalShards]
}

// note records an event of a request.
func (j *journal) note(requestID, format string, args ...any) {
	s := j.shard(requestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	notes, ok := s.notes[requestID]
	if !ok {
		delete(s.notes, s.order[s.next])
		s.order[s.next] = requestID
		s.next = (s.next + 1) % shardRequests
	}
	if len(notes) < journalLines {
		s.notes[requestID] = append(notes, note{at: time.Now(), format: format, args: args})
	}
}

func (j *journal) routed(requestID string, server machine.ID, reason fmt.Stringer, reusable int) {
	j.note(requestID, "sent to %s: %s, %d prompt tokens expected in its cache", server, reason, reusable)
}

// explain returns what is kept of a request.
func (j *journal) explain(requestID string) *pb.ExplainReply {
	s := j.shard(requestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &pb.ExplainReply{RequestId: requestID}
	for _, n := range s.notes[requestID] {
		reply.Lines = append(reply.Lines, n.String())
	}
	return reply
}
