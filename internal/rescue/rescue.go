// Package rescue keeps a panic in the work for one request, or for one server, from ending the
// process and with it all other requests. The work itself is lost; whoever waits for it must get
// an error. Work that the whole instance depends on is not rescued: a new process starts from a
// sound state.
package rescue

import (
	"fmt"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

var panics = metrics.NewCounter("kumquat_panics_total")

// PanicError is the error of work that panicked.
type PanicError struct {
	// Work names what was done.
	Work  string
	Value any
}

func (e *PanicError) Error() string { return fmt.Sprintf("%s panicked: %v", e.Work, e.Value) }

// Do calls f. If it panics, Do logs and counts that, and returns a *PanicError. fields say which
// request or server the work was for.
func Do(work string, fields logrus.Fields, log *logrus.Entry, f func() error) (err error) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		panics.Inc()
		err = &PanicError{Work: work, Value: value}
		log.WithFields(fields).WithError(err).WithFields(logrus.Fields{"event": "panic", "stack": string(debug.Stack())}).Error("a fault of this program; the work is lost, all others go on")
	}()
	return f()
}

// Go calls f in a new goroutine as Do does.
func Go(work string, fields logrus.Fields, log *logrus.Entry, f func()) {
	go func() {
		// Do has logged the error.
		_ = Do(work, fields, log, func() error {
			f()
			return nil
		})
	}()
}
