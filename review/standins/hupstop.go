//go:build review

package main

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// hupWhileStopping: the machines are stopped and started in turn. While one of them stops, the
// settings change, which the platform tells all machines by SIGHUP.
func hupWhileStopping(f *Fleet, trouble bool) (Verdict, error) {
	runs, out := &Runs{}, &Outcomes{}
	for n, zone := range zones {
		for k := range 2 {
			s, err := f.NewServer(&Server{ID: fmt.Sprintf("i-llm-%d-%d", n, k), Service: "llm", Zone: zone, Stream: true, Work: 100 * time.Millisecond, Events: 25, models: []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}}, runs)
			if err != nil {
				return CannotRun, err
			}
			s.Register()
		}
		s, err := f.NewServer(&Server{ID: fmt.Sprintf("i-app-%d", n), Service: "app", Zone: zone, Work: 200 * time.Millisecond}, runs)
		if err != nil {
			return CannotRun, err
		}
		s.Register()
	}
	if err := f.PutConfig(smallRoutes(), smallServices()); err != nil {
		return CannotRun, err
	}
	for n := range 3 {
		if err := f.AddEntry(n, "", ""); err != nil {
			return CannotRun, err
		}
	}
	if err := f.StartAll(10 * time.Second); err != nil {
		return CannotRun, err
	}
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	loads := []*sync.WaitGroup{
		f.Load(3, done, 200*time.Millisecond, out, func(int) Call { return guideCall() }),
		f.Load(5, done, 100*time.Millisecond, out, func(int) Call { return commitCall() }),
	}
	var stops []plannedStop
	time.Sleep(5 * time.Second)
	for n, e := range f.Entries {
		if !trouble {
			time.Sleep(4 * time.Second)
			continue
		}
		f.Printf("PLANNED WORK: %s is stopped", e.Name)
		stop := plannedStop{entry: e.Name, at: time.Now()}
		ended := make(chan struct{})
		go func() {
			e.Stop(syscall.SIGTERM)
			close(ended)
		}()
		time.Sleep(time.Second)
		f.Printf("PLANNED WORK: the settings change, which SIGHUP tells all machines")
		for _, other := range f.Entries {
			if err := other.changeSettings(n); err != nil {
				return CannotRun, err
			}
			other.Signal(syscall.SIGHUP)
		}
		<-ended
		f.Printf("%s: ended %v after SIGTERM", e.Name, time.Since(stop.at).Round(time.Millisecond))
		stops = append(stops, stop)
		time.Sleep(restartDelay)
		if err := e.Start(); err != nil {
			return CannotRun, err
		}
		if err := f.AwaitReady(10 * time.Second); err != nil {
			return CannotRun, err
		}
		time.Sleep(3 * time.Second)
	}
	close(done)
	for _, wg := range loads {
		wg.Wait()
	}
	return judgeStops(f, runs, out, stops), nil
}

// changeSettings writes another retry budget into the settings file.
func (e *Entry) changeSettings(n int) error {
	text, err := os.ReadFile(e.settings)
	if err != nil {
		return err
	}
	lines := strings.Split(string(text), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "budget_slack") {
			lines[i] = fmt.Sprintf("budget_slack = %d", 55+n)
		}
	}
	return os.WriteFile(e.settings, bytes.Join([][]byte{[]byte(strings.Join(lines, "\n"))}, nil), 0o600)
}

// plannedStop is a SIGTERM of a machine.
type plannedStop struct {
	entry string
	at    time.Time
}

// judgeStops checks that around a planned stop no connection ends without a complete answer to a
// request that a server had, but for those that the rule leaves out.
func judgeStops(f *Fleet, runs *Runs, out *Outcomes, stops []plannedStop) Verdict {
	byID := runs.ByID()
	lost := 0
	for _, o := range out.All() {
		// Nothing but the stop ends connections here: the servers are sound, and the clients wait
		// for their whole deadline.
		if o.Whole || o.Err == nil || isTimeout(o.Err) || len(byID[o.ID]) == 0 {
			continue
		}
		for _, s := range stops {
			graceEnd := s.at.Add(graceS * time.Second)
			if s.entry != o.Entry || o.EndedAt.Before(s.at) || o.SentAt.After(graceEnd.Add(time.Second)) {
				continue
			}
			if o.EndedAt.After(graceEnd.Add(-graceS*time.Second/6)) && o.SentAt.Before(s.at.Add(3*time.Second)) {
				continue // still at work in the last sixth of the grace period
			}
			lost++
			f.Printf("LOST: %s %s, passed on to %s at %.3f, ended without a complete answer %.0f ms after the SIGTERM of %s", o.ID, o.Path, byID[o.ID][0].Server, byID[o.ID][0].At.Sub(f.start).Seconds(), o.EndedAt.Sub(s.at).Seconds()*1000, o.Entry)
		}
	}
	f.Printf("%d requests were lost around planned work", lost)
	if lost > 0 {
		return Broken
	}
	return Held
}
