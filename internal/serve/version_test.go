package serve

import (
	"context"
	"errors"
	"testing"
	"time"
)

// ofVersions gives the fixture's servers these software versions, in turn.
func ofVersions(f *fixture, versions ...string) {
	for i, s := range f.Snapshot().Servers["p"] {
		s.Version = versions[i%len(versions)]
	}
}

// breaksOnce answers the first attempt with two events and breaks it off; the others go on.
func breaksOnce(n int, _ context.Context, _ *Attempt) (*Answer, error) {
	if n == 0 {
		return truncatedAfter(events(1, 2)), nil
	}
	return ok(events(3, 4)), nil
}

// resumption returns the request of a caller that resumes the stream of an earlier request
// after an event.
func resumption(id, of, lastEvent string) *Request {
	req := request(resumable)
	req.ID, req.Resumes, req.LastEventID = id, of, lastEvent
	return req
}

// A stream whose server fails is continued by a server of another software version, so that
// the caller's text is of two versions (issue 30, ORDER).
func TestBrokenStreamContinuesAtItsSoftwareVersion(t *testing.T) {
	for range 40 {
		f := newFixture(8, breaksOnce)
		ofVersions(f, "v1", "v2", "v3", "v2")
		c := &fakeCaller{}
		if err := f.Serve(t.Context(), request(resumable), c); err != nil {
			t.Fatal(err)
		}
		first, second := f.backend.attempts[0].Server, f.backend.attempts[1].Server
		if first.Version != second.Version {
			t.Fatalf("the stream began at version %s and goes on at version %s", first.Version, second.Version)
		}
	}
}

// No server of the version that began a stream is left: the caller gets what there is and
// can tell that the stream is incomplete (issue 30, ORDER).
func TestStreamWithoutAServerOfItsVersionIsTruncated(t *testing.T) {
	f := newFixture(4, breaksOnce)
	ofVersions(f, "v1", "v2", "v3", "v4")
	c := &fakeCaller{}
	err := f.Serve(t.Context(), request(resumable), c)
	if !errors.Is(err, ErrTruncated) || c.body.String() != events(1, 2) {
		t.Errorf("the caller got %q with error %v, want the events of the first server and ErrTruncated", c.body.String(), err)
	}
}

// A caller resumes its stream at the instance that served the beginning: only servers of the
// version that began it may go on (issue 30, ORDER).
func TestResumedStreamContinuesAtItsSoftwareVersion(t *testing.T) {
	for range 40 {
		f := newFixture(8, breaksOnce)
		ofVersions(f, "v1", "v2", "v3", "v2")
		first := request(resumable)
		first.ID = "first"
		once := *first.Route
		once.MaxAttempts = 1
		first.Route = &once
		if err := f.Serve(t.Context(), first, &fakeCaller{}); !errors.Is(err, ErrTruncated) {
			t.Fatalf("error %v, want ErrTruncated", err)
		}
		if err := f.Serve(t.Context(), resumption("second", "first", "2"), &fakeCaller{}); err != nil {
			t.Fatal(err)
		}
		began, resumed := f.backend.attempts[0].Server, f.backend.attempts[1].Server
		if began.Version != resumed.Version {
			t.Fatalf("the stream began at version %s and is resumed at version %s", began.Version, resumed.Version)
		}
	}
}

// A caller resumes a stream at an instance that does not know what began it, while servers of
// two versions serve: nothing may be guessed (issue 30, ORDER).
func TestStreamOfUnknownVersionIsNotResumed(t *testing.T) {
	f := newFixture(4, func(int, context.Context, *Attempt) (*Answer, error) { return ok(events(3, 4)), nil })
	ofVersions(f, "v1", "v2")
	c := &fakeCaller{}
	if err := f.Serve(t.Context(), resumption("second", "elsewhere", "2"), c); err == nil || len(f.backend.attempts) > 0 {
		t.Errorf("%d attempts and answer %q, want a refusal without an attempt", len(f.backend.attempts), c.body.String())
	}
}

// A run is moved off a server that is reclaimed: the copy goes to a server of the same
// version (issue 30, ORDER).
func TestRunMovesToItsSoftwareVersion(t *testing.T) {
	for range 10 {
		b := &movingBackend{leavesIn: 1300 * time.Millisecond, versions: []string{"v1", "v2"}}
		caller, err := serveDuringReclaim(t, b)
		if err != nil || caller.body.String() != completeStream {
			t.Fatalf("the caller got %q, %v; want the complete stream", caller.body.String(), err)
		}
		if first, second := b.attempts[0].Server, b.attempts[1].Server; first.Version != second.Version {
			t.Fatalf("the run of version %s moved to a server of version %s", first.Version, second.Version)
		}
	}
}
