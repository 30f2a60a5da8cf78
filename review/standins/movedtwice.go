//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// movedTwice: the model servers of a zone are reclaimed while long streams run there, which must not
// run twice. They are to be moved, but their destinations have no room for all of their memory.
func movedTwice(f *Fleet, trouble bool) (Verdict, error) {
	runs, out := &Runs{}, &Outcomes{}
	var reclaimed []*Server
	for n, zone := range zones {
		for k := range 2 {
			s, err := f.NewServer(&Server{
				ID: fmt.Sprintf("i-llm-%d-%d", n, k), Service: "llm", Zone: zone, Spot: true, Stream: true, Work: 100 * time.Millisecond, Events: 30, MoreEvents: 40,
				models: []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
			}, runs)
			if err != nil {
				return CannotRun, err
			}
			s.Register()
			if n == 0 {
				reclaimed = append(reclaimed, s)
			}
		}
	}
	services := smallServices()
	services[0].Scaling = &Scaling{Min: 1, Max: 6, BootS: 4, SpotPrice: 0.18, Prices: map[string]float64{"zone-a": 1, "zone-b": 1, "zone-c": 1}}
	if err := f.PutConfig(smallRoutes(), services); err != nil {
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
		f.Load(6, done, 200*time.Millisecond, out, func(int) Call { return guideCall() }),
		f.Load(4, done, 100*time.Millisecond, out, func(int) Call { return askCall() }),
	}
	time.Sleep(8 * time.Second)
	if trouble {
		f.Printf("DISRUPTION: the servers of %s are reclaimed, 2.5 s after the notice", zones[0])
		var wg sync.WaitGroup
		for _, s := range reclaimed {
			wg.Go(func() { s.Reclaim(2500 * time.Millisecond) })
		}
		wg.Wait()
	} else {
		time.Sleep(2500 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	close(done)
	for _, wg := range loads {
		wg.Wait()
	}
	return judgeTwice(f, runs, out), nil
}

// judgeTwice checks that no request of the route that may neither be repeated nor resumed has run
// more than once. A run that goes on with Kv-From counts as the same.
func judgeTwice(f *Fleet, runs *Runs, out *Outcomes) Verdict {
	byID := runs.ByID()
	twice := 0
	for _, o := range out.All() {
		if !strings.HasPrefix(o.Path, "/guide/") {
			continue
		}
		var servers []string
		for _, r := range byID[o.ID] {
			if r.From == "" {
				servers = append(servers, fmt.Sprintf("%s at %.3f after event %q", r.Server, r.At.Sub(f.start).Seconds(), r.LastEvent))
			}
		}
		if len(servers) > 1 {
			twice++
			f.Printf("TWICE: %s %s ran at %s", o.ID, o.Path, strings.Join(servers, " and at "))
		}
	}
	f.Printf("%d requests that must not be repeated ran more than once", twice)
	if twice > 0 {
		return Broken
	}
	return Held
}
