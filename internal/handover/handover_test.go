package handover

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"kumquatyard/internal/rollup"
)

var start = time.Unix(1_700_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// zones returns helpers in zones of the given sizes.
func zones(sizes ...int) (helpers []Helper) {
	for z, size := range sizes {
		for n := range size {
			helpers = append(helpers, Helper{Name: fmt.Sprintf("z%d-%d", z, n), Zone: fmt.Sprintf("z%d", z)})
		}
	}
	return helpers
}

// announceCut announces that some helpers do not reach a pool.
func announceCut(d *Directory, pool string, cut []Helper, now time.Time) {
	names := make(map[uint32]bool)
	for _, h := range cut {
		names[rollup.Key(h.Name)] = true
	}
	d.Announce(Unreached{rollup.Key(pool): names}, now)
}

// 300 instances hand requests over: no helper gets a multiple of the others' share.
func TestHelpersShareWhatIsHandedOver(t *testing.T) {
	d, helpers, r := NewDirectory("z0"), zones(60), random()
	count := make(map[string]int)
	const requests = 6000
	for range requests {
		h, _ := d.Search(helpers, "p", r).Next(start)
		count[h.Name]++
	}
	for name, n := range count {
		if mean := requests / len(helpers); n > 2*mean || n < mean/2 {
			t.Errorf("helper %s is chosen %d times, the mean is %d", name, n, mean)
		}
	}
}

// Most of a zone is cut: the few that are left get no more of the zone's work than they have by
// themselves; the rest is spread over the other zones.
func TestFewHelpersOfTheZoneAreNotPushedOver(t *testing.T) {
	d, helpers, r := NewDirectory("z0"), zones(30, 26, 26), random()
	announceCut(d, "p", helpers[:26], start)
	const requests = 10_000
	count := make(map[string]int)
	for range requests {
		h, _ := d.Search(helpers, "p", r).Next(start)
		count[h.Name]++
	}
	// 27 instances of the zone are cut, and each hands over as many requests as it gets.
	for name, n := range count {
		if own := float64(requests) / 27; float64(n)*1.0 > 1.4*own {
			t.Errorf("helper %s gets %.2f times what it has by itself", name, float64(n)/own)
		}
	}
	for n := range 26 {
		if count[helpers[n].Name] > 0 {
			t.Errorf("a request is offered to %s, which announced that it does not reach the pool", helpers[n].Name)
		}
	}
}

// A helper that declined is offered one request after its pause, not all that come then, and all
// of them once it took one. Its pauses grow.
func TestOneRequestTriesAHelperAgain(t *testing.T) {
	d, helpers, r := NewDirectory("z0"), zones(1), random()
	offered := func(now time.Time) bool {
		_, ok := d.Search(helpers, "p", r).Next(now)
		return ok
	}
	d.Declined(helpers[0], "p", start)
	if offered(after(minPause - 1)) {
		t.Error("a request is offered during the pause")
	}
	if _, ok := d.Search(helpers, "q", r).Next(start); !ok {
		t.Error("a request of another pool is not offered")
	}
	if !offered(after(minPause)) {
		t.Error("no request is offered after the pause")
	}
	if offered(after(minPause + 1)) {
		t.Error("a second request is offered before the outcome of the first is known")
	}
	d.Declined(helpers[0], "p", after(minPause+2))
	if offered(after(3*minPause + 1)) {
		t.Error("the second pause is no longer than the first")
	}
	d.Took(helpers[0], "p")
	for range 3 {
		if !offered(after(minPause + 3)) {
			t.Error("a helper that took a request is left out")
		}
	}
	for n := range 20 {
		d.Silent(helpers[0], "p", after(time.Duration(n)*time.Second))
	}
	if !offered(after(20*time.Second + maxPause)) {
		t.Errorf("a silent helper is left out for more than %v", maxPause)
	}
}

// What was announced ends with the next announcement that lacks it, or when nothing is announced
// any more.
func TestAnnouncementsEnd(t *testing.T) {
	d, helpers, r := NewDirectory("z0"), zones(1), random()
	offered := func(now time.Time) bool {
		_, ok := d.Search(helpers, "p", r).Next(now)
		return ok
	}
	announceCut(d, "p", helpers, start)
	if offered(after(announcementTime - 1)) {
		t.Error("a request is offered to an instance that announced that it does not reach the pool")
	}
	if !offered(after(announcementTime)) {
		t.Error("an announcement holds that is not repeated")
	}
	announceCut(d, "p", helpers, start)
	d.Declined(helpers[0], "p", start)
	d.Announce(nil, start)
	if !offered(start) {
		t.Error("an instance that reaches the pool again is left out, as it declined before")
	}
	d.Declined(helpers[0], "p", start)
	d.Retain(func(string) bool { return false })
	if !offered(start) {
		t.Error("what is known of an instance that is gone was kept")
	}
}

// Guards against a storm of offers (issue 36): all instances lose a pool at once, as its servers are
// gone, and each one asks each other one until the loss is announced.
func TestOffersInVainAreBounded(t *testing.T) {
	d, helpers, r := NewDirectory("z0"), zones(99, 100, 100), random()
	offers := 0
	const length, step = 3 * time.Second, 20 * time.Millisecond
	for at := time.Duration(0); at < length; at += step {
		d.Announce(nil, after(at))
		search := d.Search(helpers, "p", r)
		for {
			h, ok := search.Next(after(at))
			if !ok {
				break
			}
			offers++
			d.Declined(h, "p", after(at))
		}
	}
	if bound := vainBurst + int(vainPerSecond*length.Seconds()) + 1; offers > bound {
		t.Errorf("%d offers in %v, want at most %d", offers, length, bound)
	}
	d.Took(helpers[0], "p")
	for range vainBurst {
		if h, ok := d.Search(helpers, "p", r).Next(after(length)); !ok {
			t.Error("an instance that took a request is not asked")
		} else if h != helpers[0] {
			d.Declined(h, "p", after(length))
		}
	}
}

// simulatedFleet holds instances without paths, and silent ones.
type simulatedFleet struct {
	sizes []int
	// cut and silent are the probabilities that an instance of a zone has no paths, and that it is
	// silent.
	cut, silent []float64
	perSecond   float64
	// announced is set if what instances reach is exchanged, announceDelay after the cut.
	announced bool
}

const (
	announceDelay = 600 * time.Millisecond
	declineTime   = 2 * time.Millisecond
	silenceTime   = 300 * time.Millisecond
	requestTime   = 1500 * time.Millisecond
	// contactTime is the time after which the bounds hold.
	contactTime  = 4 * time.Second
	playTime     = 24 * time.Second
	windowTime   = 5 * time.Second
	minServed    = 0.95
	minInWindow  = 2.0 / 3
	maxOffers    = 1.2
	maxSlowShare = 0.1
)

// Any fleet, any set of instances without paths up to all but a few, silent helpers, any rate: the
// requests of an instance without paths are served, with few offers, and few of them are slowed
// down by helpers that are silent (issue 36, RECOVER).
func TestRequestsOfAnInstanceWithoutPaths(t *testing.T) {
	fleets := map[string]simulatedFleet{
		"6, own zone":              {sizes: []int{1, 2, 2}, cut: []float64{1, 0, 0}},
		"83, own zone":             {sizes: []int{30, 26, 26}, cut: []float64{1, 0, 0}},
		"83, half":                 {sizes: []int{30, 26, 26}, cut: []float64{0.5, 0.5, 0.5}},
		"83, own zone and silent":  {sizes: []int{30, 26, 26}, cut: []float64{1, 0, 0}, silent: []float64{0, 0.1, 0.1}},
		"83, silent near":          {sizes: []int{30, 26, 26}, cut: []float64{0.2, 0, 0}, silent: []float64{0.1, 0, 0}},
		"83, a zone silent":        {sizes: []int{30, 26, 26}, cut: []float64{1, 0, 0}, silent: []float64{0, 1, 0}},
		"83, most":                 {sizes: []int{30, 26, 26}, cut: []float64{1, 0.9, 0.9}},
		"300, two of three zones":  {sizes: []int{99, 100, 100}, cut: []float64{1, 1, 0}},
		"300, four of five, a few": {sizes: []int{59, 60, 60, 60, 60}, cut: []float64{1, 1, 1, 1, 0.9}},
		"300, own zone and silent": {sizes: []int{59, 60, 60, 60, 60}, cut: []float64{1, 0, 0, 0, 0}, silent: []float64{0, 0.05, 0.05, 0.05, 0.05}},
	}
	for name, f := range fleets {
		for _, rate := range []float64{0.2, 2, 12, 40, 100} {
			for _, announced := range []bool{true, false} {
				f.perSecond, f.announced = rate, announced
				t.Run(fmt.Sprintf("%s, %v a second, announced %v", name, rate, announced), func(t *testing.T) {
					for seed := range seeds(rate) {
						f.play(t, rand.New(rand.NewPCG(seed, 7)))
					}
				})
			}
		}
	}
}

// seeds returns the number of courses that are played at a rate.
func seeds(perSecond float64) uint64 {
	if perSecond > 12 {
		return 1
	}
	return 3
}

// play sends requests for playTime and checks what becomes of them.
func (f simulatedFleet) play(t *testing.T, r *rand.Rand) {
	d, helpers := NewDirectory("z0"), zones(f.sizes...)
	var cut []Helper
	isCut, isSilent := make(map[string]bool), make(map[string]bool)
	zone := 0
	for n, h := range helpers {
		if n > 0 && h.Zone != helpers[n-1].Zone {
			zone++
		}
		isCut[h.Name] = r.Float64() < f.cut[zone]
		isSilent[h.Name] = f.silent != nil && r.Float64() < f.silent[zone]
		if isCut[h.Name] {
			cut = append(cut, h)
		}
	}
	if len(cut) == len(helpers) {
		isCut[helpers[0].Name] = false
		cut = cut[1:]
	}
	step := time.Duration(float64(time.Second) / f.perSecond)
	requests, served, offers, slow := 0, 0, 0, 0
	windows := make(map[time.Duration][2]int)
	for at := time.Duration(0); at < playTime; at += step {
		if f.announced && at >= announceDelay {
			announceCut(d, "p", cut, after(at))
		}
		took, ok, n := f.request(d, helpers, isCut, isSilent, r, at)
		if at < contactTime {
			continue
		}
		requests++
		offers += n
		w := windows[at/windowTime]
		w[0]++
		if ok {
			served++
			w[1]++
		}
		windows[at/windowTime] = w
		if took >= silenceTime {
			slow++
		}
	}
	if float64(served) < minServed*float64(requests) {
		t.Errorf("%d of %d requests served", served, requests)
	}
	for n, w := range windows {
		if float64(w[1]) < minInWindow*float64(w[0]) {
			t.Errorf("%d of %d requests served from %v on", w[1], w[0], n*windowTime)
		}
	}
	if f.announced && f.perSecond >= 12 && float64(offers) > maxOffers*float64(requests) {
		t.Errorf("%d offers of %d requests", offers, requests)
	}
	if f.perSecond >= 40 && float64(slow) > maxSlowShare*float64(requests) {
		t.Errorf("%d of %d requests wait for a silent helper", slow, requests)
	}
}

// request searches a helper for a request that arrives at a time, and returns how long that took,
// whether one took it, and how many offers were made.
func (f simulatedFleet) request(d *Directory, helpers []Helper, isCut, isSilent map[string]bool, r *rand.Rand, at time.Duration) (took time.Duration, ok bool, offers int) {
	search := d.Search(helpers, "p", r)
	for took < requestTime {
		h, ok := search.Next(after(at + took))
		if !ok {
			break
		}
		switch {
		case isSilent[h.Name]:
			took += silenceTime
			d.Silent(h, "p", after(at+took))
		case isCut[h.Name]:
			took += declineTime
			d.Declined(h, "p", after(at+took))
		default:
			d.Took(h, "p")
			return took, true, search.Offers()
		}
	}
	return took, false, search.Offers()
}
