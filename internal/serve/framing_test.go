package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/frame"
)

// closedAfter returns an answer without length and chunks whose connection the server
// closes after body.
func closedAfter(body string) *Answer {
	return &Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Framing: frame.Close, Body: io.NopCloser(strings.NewReader(body)), Authentic: true}
}

// completeEvents returns the complete events at the start of text.
func completeEvents(text string) string {
	return text[:strings.LastIndex("\n\n"+text, "\n\n")]
}

// Guards against inc1: a stream without length and chunks that broke off inside an event
// reached its caller as a complete answer.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	whole := events(1, 2, 3)
	for cut := range len(whole) {
		sent := whole[:cut]
		complete := completeEvents(sent)
		if sent != "" && sent == complete {
			continue
		}
		f := newFixture(3, func(int, context.Context, *Attempt) (*Answer, error) { return closedAfter(sent), nil })
		c := &fakeCaller{}
		err := f.Serve(t.Context(), request(stream), c)
		if err == nil {
			t.Fatalf("a stream that was closed after %q is taken as complete", sent)
		}
		if got := c.body.String(); got != complete {
			t.Errorf("after %q the caller got %q, want the complete events only", sent, got)
		}
		if complete != "" && !errors.Is(err, ErrTruncated) {
			t.Errorf("after %q the error is %v, want ErrTruncated", sent, err)
		}
		if complete == "" && contract.VerdictOf(err) == contract.NotRun {
			t.Errorf("after %q the error %v says that the request did not run", sent, err)
		}
	}
}

// Guards against inc1 where the stream may continue: at another server, after the last
// complete event.
func TestResumableStreamThatEndsInsideAnEventContinues(t *testing.T) {
	whole := events(1, 2, 3)
	for cut := range len(whole) {
		sent := whole[:cut]
		complete := completeEvents(sent)
		if sent != "" && sent == complete {
			continue
		}
		delivered := strings.Count(complete, "id:")
		f := newFixture(3, func(n int, _ context.Context, a *Attempt) (*Answer, error) {
			if n == 0 {
				return closedAfter(sent), nil
			}
			if want := fmt.Sprint(delivered); delivered > 0 && a.LastEventID != want {
				return nil, fmt.Errorf("asked to resume after event %q, want %s", a.LastEventID, want)
			}
			return closedAfter(whole[len(complete):]), nil
		})
		c := &fakeCaller{}
		if err := f.Serve(t.Context(), request(resumable), c); err != nil || c.body.String() != whole {
			t.Fatalf("after %q the caller got %q, error %v, want each event once", sent, c.body.String(), err)
		}
	}
}
