package process

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Signals are the signals of a process, from HandleSignals on until it has exited.
type Signals struct {
	// Stop ends at the first SIGTERM or SIGINT.
	Stop context.Context
	// Reload receives after SIGHUP; several that come together count as one.
	Reload <-chan os.Signal
}

// HandleSignals takes over the signals that a process may get, and is called first in main. It is
// never undone: the default action of each of them ends the process, together with the requests
// that it still finishes.
func HandleSignals() Signals {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	// Not NotifyContext, whose stop function would give the signals their default actions back.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	// Without this, a write to a standard output that nobody reads any more ends the process.
	signal.Ignore(syscall.SIGPIPE)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-stop
		cancel()
	}()
	return Signals{Stop: ctx, Reload: reload}
}
