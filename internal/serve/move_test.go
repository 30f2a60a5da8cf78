package serve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/machine"
)

// movingBackend is a fakeBackend whose servers can move runs. Its first answer is
// a stream of two events that goes on until the run is stopped or the server is
// gone.
type movingBackend struct {
	fakeBackend
	leavesIn time.Duration
	// gone is when the first server ends.
	gone time.Time
	// room lists the servers that take a copy; nil is all.
	room map[machine.ID]bool
	// copyLost makes the order to stop fail after the stop.
	copyLost bool
	// endsIn is when the run ends by itself; 0 is never.
	endsIn time.Duration

	mu      sync.Mutex
	begun   time.Time
	asked   int
	copies  []machine.ID
	stopped bool
}

func (b *movingBackend) LeavesIn(context.Context, *fleet.Server) (time.Duration, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked++
	if b.leavesIn == 0 {
		return 0, nil
	}
	return time.Until(b.gone), nil
}

var errNoRoom = contract.Unavailable(contract.NotRun, "no room", nil)

func (b *movingBackend) Copy(_ context.Context, _ string, _, to *fleet.Server) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.copies = append(b.copies, to.ID)
	if b.room != nil && !b.room[to.ID] {
		return errNoRoom
	}
	return nil
}

func (b *movingBackend) Stop(_ context.Context, _ string, from, _ *fleet.Server) (Handle, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended() {
		return Handle{}, ErrNotRunning
	}
	b.stopped = true
	if b.copyLost {
		return Handle{Server: from.Address, ID: "h"}, errNoRoom
	}
	return Handle{Server: from.Address, ID: "h"}, nil
}

func (b *movingBackend) ended() bool { return b.endsIn > 0 && time.Since(b.begun) >= b.endsIn }

// running is the body of the first answer.
type running struct {
	b    *movingBackend
	sent bool
}

func (r *running) Read(p []byte) (int, error) {
	if !r.sent {
		r.sent = true
		return copy(p, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), nil
	}
	for {
		time.Sleep(time.Millisecond)
		r.b.mu.Lock()
		stopped := r.b.stopped
		r.b.mu.Unlock()
		now := time.Now()
		if r.b.ended() {
			return 0, io.EOF
		}
		if stopped || (!r.b.gone.IsZero() && now.After(r.b.gone)) {
			return 0, io.ErrUnexpectedEOF
		}
	}
}

// withoutServer is a picture after a server's entry was removed.
func withoutServer(p *fleet.Snapshot, id machine.ID) *fleet.Snapshot {
	var rest []*fleet.Server
	for _, s := range p.Servers["p"] {
		if s.ID != id {
			rest = append(rest, s)
		}
	}
	return &fleet.Snapshot{Config: p.Config, Servers: map[string][]*fleet.Server{"p": rest}}
}

// evacuated serves a stream whose server is being taken back, and returns what
// the caller got.
func evacuated(t *testing.T, b *movingBackend) (*fakeCaller, error) {
	t.Helper()
	caller := &fakeCaller{}
	var outcome error
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(4, nil)
		var picture atomic.Pointer[fleet.Snapshot]
		picture.Store(f.Snapshot())
		f.Snapshot = picture.Load
		b.begun = time.Now()
		b.gone = time.Now().Add(b.leavesIn)
		if b.leavesIn == 0 {
			b.gone = time.Now().Add(10 * time.Second)
		}
		b.script = func(n int, _ context.Context, a *Attempt) (*Answer, error) {
			if n == 0 {
				picture.Store(withoutServer(picture.Load(), a.Server.ID))
				first := ok("")
				first.Body, first.Length = io.NopCloser(&running{b: b}), -1
				return first, nil
			}
			return ok("id: 3\ndata: c\n\n"), nil
		}
		f.Backend = b
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(250 * time.Millisecond):
					f.Maintain(time.Now())
				}
			}
		}()
		outcome = f.Serve(t.Context(), &Request{
			ID: "r", Method: http.MethodPost, Route: &stream, Prompt: &forecast.Prompt{Tokens: 12_000, MaxOutput: 400}, Arrived: time.Now(), Deadline: time.Now().Add(12 * time.Second),
		}, caller)
		close(stop)
		time.Sleep(3 * time.Second)
	})
	return caller, outcome
}

const wholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

// A zone is taken back with 1.3 s of notice, while long answers run there that
// must not be run again: they go on elsewhere.
func TestRunsMoveOffServersTakenBack(t *testing.T) {
	b := &movingBackend{leavesIn: 1300 * time.Millisecond}
	caller, err := evacuated(t, b)
	if err != nil || caller.body.String() != wholeStream {
		t.Fatalf("the caller got %q, %v; want the whole stream", caller.body.String(), err)
	}
	if len(b.attempts) != 2 {
		t.Fatalf("%d sends, want the first and the one that goes on", len(b.attempts))
	}
	second := b.attempts[1]
	if second.Continue.ID != "h" || second.LastEventID != "2" || second.Server.ID != b.copies[0] {
		t.Errorf("the run goes on at %s after %q with %+v, want at %s after 2 with the handle", second.Server.ID, second.LastEventID, second.Continue, b.copies[0])
	}
	if b.attempts[0].Server.ID == second.Server.ID {
		t.Error("the run was moved to its own server")
	}
}

// A server without room is passed over; the run goes on meanwhile.
func TestMoveAsksAnotherServerForRoom(t *testing.T) {
	b := &movingBackend{leavesIn: 1300 * time.Millisecond, room: map[machine.ID]bool{}}
	caller, err := evacuated(t, b)
	if !errors.Is(err, ErrTruncated) || len(b.copies) != moveTries {
		t.Errorf("%d servers were asked, the caller got %q, %v; want %d asked and the answer broken off", len(b.copies), caller.body.String(), err, moveTries)
	}
	if b.stopped {
		t.Error("the run was stopped although no server had room")
	}
}

// A run that was stopped and could not be copied goes on at its own server.
func TestRunGoesOnWhereItStopped(t *testing.T) {
	b := &movingBackend{leavesIn: 1300 * time.Millisecond, copyLost: true}
	caller, err := evacuated(t, b)
	if err != nil || caller.body.String() != wholeStream {
		t.Fatalf("the caller got %q, %v; want the whole stream", caller.body.String(), err)
	}
	if got, want := b.attempts[1].Server.ID, b.attempts[0].Server.ID; got != want {
		t.Errorf("the run goes on at %s, want %s, which holds its memory", got, want)
	}
}

// A run that ends while its move begins was answered whole, and is not sent on.
func TestRunThatEndsIsNotMoved(t *testing.T) {
	b := &movingBackend{leavesIn: 1300 * time.Millisecond, endsIn: 400 * time.Millisecond}
	caller, err := evacuated(t, b)
	if err != nil || len(b.attempts) != 1 {
		t.Errorf("%d sends, the caller got %q, %v; want one send and a whole answer", len(b.attempts), caller.body.String(), err)
	}
}

// A leaving server that names no time lets its runs end: nothing is moved.
func TestRunsStayWhereNoTimeIsNamed(t *testing.T) {
	b := &movingBackend{endsIn: 3 * time.Second}
	if _, err := evacuated(t, b); err != nil {
		t.Fatal(err)
	}
	if len(b.copies) != 0 || b.asked != reportTries {
		t.Errorf("%d copies after %d questions, want none after %d", len(b.copies), b.asked, reportTries)
	}
}
