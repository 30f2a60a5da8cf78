package serve

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"kumquatyard/internal/handover"
)

const (
	// offerTime is the time that another instance takes to decline a request or to answer it.
	offerTime = 2 * time.Millisecond
	// cutTime is how long requests are sent to an instance without paths.
	cutTime = 20 * time.Second
	// minServedShare is the share of requests that an instance without paths has to serve at
	// their first attempt.
	minServedShare = 0.95
)

// cutFleet is a fleet of which some instances reach no server, as an instance in the first zone
// sees it.
type cutFleet struct {
	// zones holds the number of other instances in each zone, and cut how many of them reach no
	// server.
	zones, cut []int
	// perSecond is the rate of requests at this instance.
	perSecond float64
}

func (c cutFleet) helpers() (list []handover.Helper, isCut map[string]bool) {
	isCut = make(map[string]bool)
	for z, count := range c.zones {
		for n := range count {
			h := handover.Helper{Name: fmt.Sprintf("z%d-%d", z, n), Zone: fmt.Sprintf("z%d", z)}
			isCut[h.Name] = n < c.cut[z]
			list = append(list, h)
		}
	}
	return list, isCut
}

// played counts what became of the requests at an instance without paths.
type played struct{ served, requests, offers int }

// play sends requests to an instance without paths for cutTime.
func (c cutFleet) play(t *testing.T) (result played) {
	helpers, isCut := c.helpers()
	var mu sync.Mutex
	f, _ := newHelpedFixture(nil)
	f.Backend = offerCounter{fakeBackend: &fakeBackend{}, isCut: isCut, count: func() {
		mu.Lock()
		defer mu.Unlock()
		result.offers++
	}}
	f.Zone, f.Helpers, f.OtherInstances = "z0", handover.NewDirectory("z0"), func() []handover.Helper { return helpers }
	f.paths.Judge("p", false, time.Now())
	var wg sync.WaitGroup
	for range int(cutTime.Seconds() * c.perSecond) {
		wg.Go(func() {
			err := f.Serve(t.Context(), request(idempotent), &fakeCaller{})
			mu.Lock()
			defer mu.Unlock()
			result.requests++
			if err == nil {
				result.served++
			}
		})
		time.Sleep(time.Duration(float64(time.Second) / c.perSecond))
	}
	wg.Wait()
	return result
}

// offerCounter is a backend of an instance without paths beside others that decline if they have
// none either.
type offerCounter struct {
	*fakeBackend
	isCut map[string]bool
	count func()
}

// HandOver implements HandOver.
func (b offerCounter) HandOver(_ context.Context, helper handover.Helper, _ *Request, _ int) (*Answer, error) {
	b.count()
	time.Sleep(offerTime)
	if b.isCut[helper.Name] {
		return nil, declined()
	}
	return ok("answer"), nil
}

// Guards against callers of a cut zone that are refused although other zones reach the servers
// (issue 36, RECOVER).
func TestCallersOfACutZoneAreServed(t *testing.T) {
	for name, c := range map[string]cutFleet{
		"7, own zone":                     {[]int{2, 2, 2}, []int{2, 0, 0}, 12},
		"83, seven":                       {[]int{30, 26, 26}, []int{7, 0, 0}, 12},
		"83, half":                        {[]int{30, 26, 26}, []int{15, 13, 13}, 12},
		"83, most of the own zone":        {[]int{30, 26, 26}, []int{26, 0, 0}, 12},
		"83, most, few requests":          {[]int{30, 26, 26}, []int{26, 0, 0}, 2},
		"83, own zone":                    {[]int{30, 26, 26}, []int{30, 0, 0}, 12},
		"83, own zone, few requests":      {[]int{30, 26, 26}, []int{30, 0, 0}, 0.2},
		"83, own zone, many requests":     {[]int{30, 26, 26}, []int{30, 0, 0}, 120},
		"83, all but one":                 {[]int{30, 26, 26}, []int{30, 26, 25}, 12},
		"300, own zone":                   {[]int{99, 100, 100}, []int{99, 0, 0}, 12},
		"300, own zone, more requests":    {[]int{99, 100, 100}, []int{99, 0, 0}, 40},
		"300, two zones of three":         {[]int{99, 100, 100}, []int{99, 100, 0}, 12},
		"300, two zones, many requests":   {[]int{99, 100, 100}, []int{99, 100, 0}, 120},
		"300, four zones of five":         {[]int{59, 60, 60, 60, 60}, []int{59, 60, 60, 60, 0}, 12},
		"300, four zones, a rare request": {[]int{59, 60, 60, 60, 60}, []int{59, 60, 60, 60, 0}, 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := c.play(t)
				t.Logf("%d of %d requests served, %d offers", got.served, got.requests, got.offers)
				if share := float64(got.served) / float64(got.requests); share < minServedShare {
					t.Errorf("%d of %d requests served, want at least %v of them", got.served, got.requests, minServedShare)
				}
			})
		})
	}
}
