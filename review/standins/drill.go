//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"kumquatyard/internal/rollup"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// drills is the number of times that the holder is killed before the store goes back.
	drills = 7
	// drillTime is the time from one drill to the next.
	drillTime = 8 * time.Second
	// afterTaken is how long after the restarted process has taken the duties the store goes back.
	afterTaken = 470 * time.Millisecond
	// copyAge is how much older than the last report the copy is: the report before is lost as well.
	copyAge = 6 * time.Second
)

// drill: the process that holds the duties is killed, and starts again. Just after that the store comes
// back from a copy some seconds old, which lacks the last reports. That is played several times.
func drill(f *Fleet, trouble bool) (Verdict, error) {
	runs, out := &Runs{quiet: true}, &Outcomes{}
	for n, zone := range zones {
		s, err := f.NewServer(&Server{ID: fmt.Sprintf("i-app-%d", n), Service: "app", Zone: zone, Work: 20 * time.Millisecond}, runs)
		if err != nil {
			return CannotRun, err
		}
		s.Register()
	}
	if err := f.PutConfig(smallRoutes(), smallServices()); err != nil {
		return CannotRun, err
	}
	for n := range 6 {
		if err := f.AddEntry(n, "", ""); err != nil {
			return CannotRun, err
		}
	}
	// The first to start takes the duties. It is one that does not read the store for its zone.
	first := f.relayed(f.Entries[0], f.Entries[3])
	if err := first.Start(); err != nil {
		return CannotRun, err
	}
	if err := f.awaitHolder(first, 15*time.Second); err != nil {
		return CannotRun, err
	}
	for _, e := range f.Entries {
		if e == first {
			continue
		}
		if err := e.Start(); err != nil {
			return CannotRun, err
		}
	}
	if err := f.AwaitReady(10 * time.Second); err != nil {
		return CannotRun, err
	}
	done := make(chan struct{})
	wg := f.Load(4, done, 60*time.Millisecond, out, func(int) Call { return commitCall() })
	time.Sleep(5 * time.Second)
	for range drills {
		f.drillOnce(trouble)
		if len(f.Cloud.Violations()) > 0 {
			break
		}
	}
	close(done)
	wg.Wait()
	f.summarize(out)
	for _, v := range f.Cloud.Violations() {
		f.Printf("ONE: %s", v)
	}
	if len(f.Cloud.Violations()) > 0 {
		return Broken, nil
	}
	return Held, nil
}

// relayed returns the one of two instances of a zone that ranks last.
func (f *Fleet) relayed(a, b *Entry) *Entry {
	ranked := rollup.Rank([]*pb.Instance{{Name: a.Name, Zone: a.Zone, LinkMbps: 1000}, {Name: b.Name, Zone: b.Zone, LinkMbps: 1000}})
	if ranked[0].GetName() == a.Name {
		return b
	}
	return a
}

// drillOnce waits for the next report of a window, and then plays one drill.
func (f *Fleet) drillOnce(trouble bool) {
	end := time.Now().Add(drillTime + 4*time.Second)
	holder, reportedAt := f.awaitReport()
	if trouble && holder != nil {
		f.Printf("DISRUPTION: %s, which holds the duties, is killed", holder.Name)
		before := f.lockRevision()
		holder.Signal(syscall.SIGKILL)
		for limit := time.Now().Add(3 * time.Second); f.lockRevision() <= before && time.Now().Before(limit); {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(afterTaken)
		f.Printf("DISRUPTION: drill, the store comes back from a copy that lacks the last %v", (time.Since(reportedAt) + copyAge).Round(time.Millisecond))
		repeat := f.Store.Restore(time.Since(reportedAt) + copyAge)
		time.Sleep(800 * time.Millisecond)
		repeat()
	}
	time.Sleep(time.Until(end))
}

// awaitReport waits for the next accepted report of a window, and returns its sender.
func (f *Fleet) awaitReport() (*Entry, time.Time) {
	known := len(f.Cloud.Calls())
	for limit := time.Now().Add(8 * time.Second); time.Now().Before(limit); time.Sleep(2 * time.Millisecond) {
		for _, c := range f.Cloud.Calls()[known:] {
			if c.Path != "/usage" || c.Status != http.StatusOK {
				continue
			}
			for _, e := range f.Entries {
				if e.Name == c.Holder {
					return e, c.At
				}
			}
		}
	}
	return nil, time.Time{}
}

// lockRevision returns the revision of the duties' lock in the store, 0 if there is none.
func (f *Fleet) lockRevision() uint64 {
	resp, err := http.Get("http://" + f.storeAddress + "/kv-key?key=duty/duties/lock")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var item struct {
		Revision uint64 `json:"revision"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&item) != nil {
		return 0
	}
	return item.Revision
}

// summarize records how many requests were answered.
func (f *Fleet) summarize(out *Outcomes) {
	whole := 0
	for _, o := range out.All() {
		if o.Whole && o.Status == http.StatusOK {
			whole++
		}
	}
	f.Printf("%d requests sent, %d answered with success", len(out.All()), whole)
}
