package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
)

// continuing answers the attempts after the first one of a movingBackend, as a server does that
// asks Wanted right before it sends a request.
func continuing(answer func(a *Attempt) (*Answer, error)) func(*Attempt) (*Answer, error) {
	return func(a *Attempt) (*Answer, error) {
		if a.Wanted != nil && !a.Wanted() {
			err := &contract.Error{Kind: contract.KindUnavailable, Verdict: contract.NotRun, Message: "unwanted"}
			return nil, errors.Join(err, ErrUnwanted)
		}
		return answer(a)
	}
}

var errRefusedConnection = contract.Unavailable(contract.NotRun, "connection refused", nil)

// newRuns returns the number of attempts that are new runs.
func newRuns(b *movingBackend) int {
	n := 0
	for _, a := range b.attempts {
		if a.Continue.ID == "" {
			n++
		}
	}
	return n
}

// Guards against a second run of a stream that must not be repeated: its server has stopped it, and
// no server can be reached that would continue it.
func TestStoppedStreamDoesNotRunAgain(t *testing.T) {
	for name, stopCopyFails := range map[string]bool{"copied": false, "not copied": true} {
		t.Run(name, func(t *testing.T) {
			b := &movingBackend{leavesIn: 1300 * time.Millisecond, stopCopyFails: stopCopyFails}
			b.next = continuing(func(a *Attempt) (*Answer, error) {
				if a.Continue.ID != "" {
					return nil, errRefusedConnection
				}
				return ok("id: 3\ndata: c\n\n"), nil
			})
			caller, err := serveDuringReclaim(t, b)
			if !errors.Is(err, ErrTruncated) || newRuns(b) != 1 {
				t.Errorf("%d runs, the caller got %q, %v; want one run and a truncated answer", newRuns(b), caller.body.String(), err)
			}
		})
	}
}

// Guards against a stream that ends early: its server stopped it but could not copy its KV cache,
// and says in its answers that it is leaving. It still continues the run that it stopped.
func TestStoppedStreamContinuesAtItsLeavingServer(t *testing.T) {
	b := &movingBackend{leavesIn: 1300 * time.Millisecond, stopCopyFails: true, announced: true}
	b.next = continuing(func(*Attempt) (*Answer, error) { return ok("id: 3\ndata: c\n\n"), nil })
	caller, err := serveDuringReclaim(t, b)
	if err != nil || caller.body.String() != completeStream {
		t.Errorf("the caller got %q, %v; want the complete stream", caller.body.String(), err)
	}
	if newRuns(b) != 1 {
		t.Errorf("%d runs, want 1", newRuns(b))
	}
}

// Guards against a stream that ends early: its KV cache was copied, but the destination does not
// take the continuation. The server that stopped it has the KV cache too.
func TestStoppedStreamGoesBackToItsServer(t *testing.T) {
	full := func(*Attempt) (*Answer, error) {
		return &Answer{Status: http.StatusServiceUnavailable, Refused: true, Header: http.Header{}, Body: http.NoBody}, nil
	}
	unreachable := func(*Attempt) (*Answer, error) { return nil, errRefusedConnection }
	for name, refuse := range map[string]func(*Attempt) (*Answer, error){"full": full, "unreachable": unreachable} {
		t.Run(name, func(t *testing.T) {
			b := &movingBackend{leavesIn: 1300 * time.Millisecond, announced: true}
			b.next = continuing(func(a *Attempt) (*Answer, error) {
				if a.Server.ID != b.attempts[0].Server.ID {
					return refuse(a)
				}
				return ok("id: 3\ndata: c\n\n"), nil
			})
			caller, err := serveDuringReclaim(t, b)
			if err != nil || caller.body.String() != completeStream || newRuns(b) != 1 {
				t.Errorf("%d runs, the caller got %q, %v; want one run and the complete stream", newRuns(b), caller.body.String(), err)
			}
		})
	}
}

// Guards against a request at a leaving server after its drain time: the run that it stopped does
// not go back to it then.
func TestStoppedStreamDoesNotGoBackAfterTheDrainTime(t *testing.T) {
	b := &movingBackend{leavesIn: 4 * time.Second, stopCopyFails: true, drainTime: 2 * time.Second}
	b.next = continuing(func(*Attempt) (*Answer, error) { return ok("id: 3\ndata: c\n\n"), nil })
	if _, err := serveDuringReclaim(t, b); !errors.Is(err, ErrTruncated) || len(b.attempts) != 1 {
		t.Errorf("%d attempts, %v; want one and a truncated answer", len(b.attempts), err)
	}
}

// Guards against a run that nobody continues: the answer to the call that stopped it was lost, and
// is the same for a second call.
func TestStopWithoutAnAnswerIsAskedAgain(t *testing.T) {
	b := &movingBackend{leavesIn: 1300 * time.Millisecond, loseStopAnswers: 1}
	caller, err := serveDuringReclaim(t, b)
	if err != nil || caller.body.String() != completeStream || newRuns(b) != 1 {
		t.Errorf("%d runs, the caller got %q, %v; want one run and the complete stream", newRuns(b), caller.body.String(), err)
	}
}

// simulatedOutcome is what a server does with an attempt in simulatedMoves.
type simulatedOutcome int

const (
	simulatedRun simulatedOutcome = iota
	simulatedBreak
	simulatedRefusal
	simulatedUnreachable
	simulatedSilence
	simulatedFailure
	simulatedOutcomes
)

// simulatedMoves is a backend whose servers take, refuse, break off and move runs at random.
type simulatedMoves struct {
	mu     sync.Mutex
	random *rand.Rand
	events int
	// runs counts the new runs, and continued those that a server continued.
	runs, continued int
	// handle is that of the stopped run, "" if there is none.
	handle string
	// stopped is closed when the run that is in flight is stopped; nil if there is none.
	stopped chan struct{}
}

func (b *simulatedMoves) LeavesIn(context.Context, *fleet.Server) (time.Duration, error) {
	return time.Second, nil
}

func (b *simulatedMoves) Copy(context.Context, string, *fleet.Server, *fleet.Server) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.random.IntN(4) == 0 {
		return errNoCapacity
	}
	return nil
}

func (b *simulatedMoves) Stop(_ context.Context, id string, from, _ *fleet.Server) (Handle, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped == nil && b.handle == "" {
		return Handle{}, ErrNotRunning
	}
	if b.stopped != nil {
		close(b.stopped)
		b.stopped, b.handle = nil, id
	}
	switch b.random.IntN(4) {
	case 0:
		return Handle{}, contract.Unavailable(contract.MayHaveRun, "no answer", nil)
	case 1:
		return Handle{Server: from.Address, ID: id}, errNoCapacity
	default:
		return Handle{Server: from.Address, ID: id}, nil
	}
}

func (b *simulatedMoves) Send(_ context.Context, a *Attempt) (*Answer, error) {
	if a.Wanted != nil && !a.Wanted() {
		return nil, errors.Join(errRefusedConnection, ErrUnwanted)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	kind := simulatedOutcome(b.random.IntN(int(simulatedOutcomes)))
	if kind == simulatedUnreachable {
		return nil, errRefusedConnection
	}
	if isUsed := a.Continue.ID != "" && b.handle != a.Continue.ID; isUsed || kind == simulatedRefusal {
		return &Answer{Status: http.StatusServiceUnavailable, Refused: true, Leaving: b.random.IntN(2) == 0, Header: http.Header{}, Body: http.NoBody}, nil
	}
	if a.Continue.ID == "" {
		b.runs++
	} else {
		b.continued++
	}
	b.handle = ""
	switch kind {
	case simulatedSilence:
		return nil, contract.Unavailable(contract.MayHaveRun, "no answer", nil)
	case simulatedFailure:
		return &Answer{Status: http.StatusInternalServerError, Header: http.Header{}, Body: http.NoBody, Authentic: true}, nil
	}
	answer := ok("")
	b.stopped = make(chan struct{})
	answer.Body, answer.Length = io.NopCloser(&simulatedBody{b: b, stopped: b.stopped, breaks: kind == simulatedBreak}), -1
	return answer, nil
}

// simulatedBody is a stream of an event each 300 ms until it ends, breaks off or is stopped.
type simulatedBody struct {
	b       *simulatedMoves
	stopped chan struct{}
	breaks  bool
	sent    int
}

const simulatedEvents = 6

func (s *simulatedBody) Read(p []byte) (int, error) {
	if s.sent > 0 {
		select {
		case <-s.stopped:
			return 0, io.ErrUnexpectedEOF
		case <-time.After(300 * time.Millisecond):
		}
	}
	s.b.mu.Lock()
	defer s.b.mu.Unlock()
	if s.sent >= simulatedEvents {
		if s.b.stopped == s.stopped {
			s.b.stopped = nil
		}
		if s.breaks {
			return 0, io.ErrUnexpectedEOF
		}
		return 0, io.EOF
	}
	s.sent++
	s.b.events++
	return copy(p, fmt.Sprintf("data: x\nid: %d\n\n", s.b.events)), nil
}

// Guards against a request that runs twice, whatever servers and moves do: one that must not be
// repeated is taken by a server as a new run at most once, and goes on only with the handle of the
// stopped run.
func TestRequestThatMustNotRepeatRunsOnce(t *testing.T) {
	const seeds = 400
	continued := 0
	for seed := range uint64(seeds) {
		b := &simulatedMoves{random: rand.New(rand.NewPCG(seed, 0))}
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(4, nil)
			f.Backend = b
			var snapshot atomic.Pointer[fleet.Snapshot]
			snapshot.Store(f.Snapshot())
			f.Snapshot = snapshot.Load
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				for ctx.Err() == nil {
					time.Sleep(250 * time.Millisecond)
					snapshot.Store(withDraining(withDraining(snapshot.Load(), "s0"), "s1"))
					f.Maintain(time.Now())
				}
			}()
			// What the caller gets does not matter here.
			_ = f.Serve(ctx, &Request{
				ID: "r", Method: http.MethodPost, Route: &stream, Prompt: &forecast.Prompt{Tokens: 100, MaxOutput: 40}, Arrived: time.Now(), Deadline: time.Now().Add(12 * time.Second),
			}, &fakeCaller{})
			cancel()
			time.Sleep(5 * time.Second)
		})
		if b.runs > 1 {
			t.Errorf("seed %d: the request ran %d times", seed, b.runs)
		}
		continued += b.continued
	}
	if continued == 0 {
		t.Error("no run was continued, so that nothing was tested")
	}
	t.Logf("%d runs were continued in %d courses", continued, seeds)
}
