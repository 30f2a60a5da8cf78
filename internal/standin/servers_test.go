package standin_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"kumquatyard/internal/platform"
	"kumquatyard/internal/standin"
)

func TestServiceCountsOnlyCallsThatRan(t *testing.T) {
	for _, test := range []struct {
		name     string
		options  standin.ServiceOptions
		runs     int
		answered bool
	}{
		{name: "answers", runs: 1, answered: true},
		{name: "fails after the run", options: standin.ServiceOptions{FailAfterRun: 1}, runs: 1},
		{name: "closes before the run", options: standin.ServiceOptions{CloseBeforeRun: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := standin.NewService(test.options)
			url := "http://" + serve(t, s)
			req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/bookings", http.NoBody)
			req.Header.Set("X-Request-Id", "r")
			req.Header.Set("Idempotency-Key", "k")
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				_ = resp.Body.Close()
			}
			if answered := err == nil; answered != test.answered {
				t.Errorf("response received: %v (error %v), want the opposite", answered, err)
			}
			if got := s.Runs(); got.ByRequest["r"] != test.runs || got.ByKey["k"] != test.runs {
				t.Errorf("runs: %+v, want %d", got, test.runs)
			}
		})
	}
}

func TestCloudStartIsIdempotentAndListLags(t *testing.T) {
	fleet := standin.NewFleet()
	services := make(chan *standin.Service, 4)
	cloud := standin.NewCloud(fleet, standin.CloudOptions{
		Capacity: 1,
		Start: func(id string, r standin.StartRequest) (standin.Instance, standin.Member, error) {
			s := standin.NewService(standin.ServiceOptions{})
			services <- s
			return standin.Instance{ID: id, Kind: "service", Zone: r.Zone}, s, nil
		},
	})
	list := standin.NewInstances(fleet, 1)
	client := platform.NewCloud(serve(t, cloud), testTimeout)
	instances := platform.NewInstanceList(serve(t, list), testTimeout)
	request := platform.StartRequest{ClientToken: "t", Zone: "a", Class: "small", Market: platform.Reclaimable}

	cloud.ChangeFaults(func(f *standin.Faults) { f.RefuseStarts = true })
	if _, err := client.Start(t.Context(), request); !errors.Is(err, platform.ErrNoCapacity) {
		t.Errorf("refused start: %v, want ErrNoCapacity", err)
	}
	cloud.ChangeFaults(func(f *standin.Faults) { *f = standin.Faults{LoseAnswers: 1} })
	if _, err := client.Start(t.Context(), request); err == nil {
		t.Error("start succeeded although its response was lost")
	}
	cloud.ChangeFaults(func(f *standin.Faults) { *f = standin.Faults{} })
	started, err := client.Start(t.Context(), request)
	if err != nil || started.ID != "started-1" {
		t.Fatalf("repeated start: %+v, %v; want started-1", started, err)
	}
	<-services
	if _, err := client.Start(t.Context(), platform.StartRequest{ClientToken: "other"}); !errors.Is(err, platform.ErrNoCapacity) {
		t.Errorf("start beyond capacity: %v, want ErrNoCapacity", err)
	}
	waitFor(t, func() bool { all, _ := instances.List(t.Context()); return len(all) == 1 && all[0].State == "live" })

	list.ChangeFaults(func(f *standin.Faults) { f.LagMS = int(time.Hour.Milliseconds()) })
	if all, err := instances.List(t.Context()); err != nil || len(all) != 0 {
		t.Errorf("list with a lag of 1 h already shows %+v, %v", all, err)
	}
	list.ChangeFaults(func(f *standin.Faults) { f.LagMS = 0 })

	if ids := fleet.Reclaim("a", "", time.Hour); len(ids) != 1 {
		t.Fatalf("reclaimed %v, want one instance", ids)
	}
	notices, err := client.Notices(t.Context())
	if err != nil || len(notices) != 1 || notices[0].ID != started.ID || time.Until(notices[0].At()) < time.Minute {
		t.Errorf("notices %+v, %v; want one for the started instance", notices, err)
	}
	if all, _ := instances.List(t.Context()); len(all) != 1 || all[0].State != "leaving" {
		t.Errorf("list after the notice: %+v, want one leaving instance", all)
	}
	if err := client.Stop(t.Context(), started.ID); err != nil {
		t.Error(err)
	}
	if all, _ := instances.List(t.Context()); len(all) != 0 {
		t.Errorf("list after the stop: %+v, want none", all)
	}
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		if t.Context().Err() != nil {
			t.Fatal("condition did not hold before the end of the test")
		}
		time.Sleep(time.Millisecond)
	}
}
