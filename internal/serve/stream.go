package serve

import (
	"bytes"
	"errors"
	"io"
	"iter"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/frame"
)

// eventIDs yields the ids of events, in order.
func eventIDs(events []byte) iter.Seq[string] {
	return func(yield func(string) bool) {
		for line := range bytes.Lines(events) {
			value, ok := bytes.CutPrefix(line, []byte("id:"))
			if ok && !yield(string(bytes.TrimSpace(value))) {
				return
			}
		}
	}
}

// lastEventID returns the id of the last event that has one, or "".
func lastEventID(events []byte) string {
	last := ""
	for id := range eventIDs(events) {
		last = id
	}
	return last
}

// relayStream forwards events as they arrive. After a failure, a resumable stream
// continues at another server.
func (r *run) relayStream(a *Answer, job *forecast.Job, server *fleet.Server, stopTimer func()) (done bool, err error) {
	if !a.Authentic {
		return false, r.recordUnauthenticated()
	}
	if r.headSent && mediaType(a.Header.Get(headerContentType)) != mediaType(r.contentType) {
		return false, r.recordFailedResume(a, server)
	}
	events := frame.NewEvents(a.Body, a.Framing)
	a.Length = -1
	registered := false
	var begunAt time.Time
	for {
		part, err := events.Next()
		if len(part) > 0 {
			stopTimer()
			r.exposure.noteFirst(time.Now())
			job.FirstToken(time.Now())
			r.recordShareServed(time.Now())
			r.server.paths.Heard(pathTo(server), time.Now())
			if err := r.confirmOrigin(server); err != nil {
				return false, err
			}
			if err := r.checkContinuation(part); err != nil {
				return false, err
			}
			if err := r.forward(a, part); err != nil {
				return true, err
			}
			r.noteProgress(&begunAt)
		}
		if err == nil && !registered {
			registered = true
			r.server.streams.add(server, r)
			defer r.server.streams.remove(server.ID, r)
		}
		if err != nil {
			m := r.server.streams.remove(server.ID, r)
			stopped := r.outcome(m, errors.Is(err, io.EOF) && a.Framing != frame.Close)
			r.noteStreamEnd(m, err)
			if stopped != nil {
				r.execution.record(contract.Ran)
				return false, stopped
			}
			if errors.Is(err, io.EOF) && a.Framing == frame.Close {
				err = frame.End(a.Framing, r.endCause(server, time.Now(), endConfirmTime))
			}
		}
		if errors.Is(err, io.EOF) {
			r.server.observe(server.ID, false)
			r.recordAnswered()
			return true, r.begin(a)
		}
		if err != nil {
			r.incompleteBytes = events.IncompleteBytes()
			r.execution.record(contract.MayHaveRun)
			if !r.isOver() && !isOwnDoing(err) && r.stop == notStopped {
				r.server.observe(server.ID, true)
			}
			return false, contract.Unavailable(contract.MayHaveRun, "the server's stream broke off", err)
		}
	}
}

// forward sends complete events to the caller and records the last event id.
func (r *run) forward(a *Answer, events []byte) error {
	if err := r.begin(a); err != nil {
		return err
	}
	if id := lastEventID(events); id != "" {
		r.lastEvent = id
	}
	if err := r.caller.Write(events); err != nil {
		return ErrTruncated
	}
	return nil
}
