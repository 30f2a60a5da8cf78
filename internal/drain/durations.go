package drain

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// kept is the number of requests of a route whose times are kept, and known the number from
	// which on they tell how long the next one takes.
	kept  = 64
	known = 8
	// margin is the factor by which a request may take longer than the longest of the earlier
	// ones if its outcome must be known, and usualShare the share of these that others are
	// compared with: most of those end, and a refusal may cost their callers more.
	margin     = 1.5
	usualShare = 0.75
)

// Durations tells how long requests take, by route. It is safe for concurrent use.
type Durations struct {
	routes sync.Map // string → *route
}

// route holds the times of the last requests, 0 where there is none.
type route struct {
	next  atomic.Uint64
	times [kept]atomic.Int64
}

// Record records how long a request of a route took.
func (d *Durations) Record(name string, took time.Duration) {
	found, ok := d.routes.Load(name)
	if !ok {
		found, _ = d.routes.LoadOrStore(name, new(route))
	}
	r := found.(*route)
	r.times[r.next.Add(1)%kept].Store(int64(max(took, 1)))
}

// Need returns the time that a request of a route needs: as long as most of the last ones or, if it
// must end, as the longest of them, with a margin. It is at most limit, the time that the request
// has, which is returned while little is known of the route.
func (d *Durations) Need(name string, mustEnd bool, limit time.Duration) time.Duration {
	times := d.times(name)
	if len(times) < known {
		return limit
	}
	slices.Sort(times)
	if mustEnd {
		return min(limit, time.Duration(margin*float64(times[len(times)-1])))
	}
	return min(limit, times[int(usualShare*float64(len(times)-1))])
}

func (d *Durations) times(name string) (list []time.Duration) {
	found, ok := d.routes.Load(name)
	if !ok {
		return nil
	}
	r := found.(*route)
	for n := range r.times {
		if took := r.times[n].Load(); took > 0 {
			list = append(list, time.Duration(took))
		}
	}
	return list
}

// Retain drops what is known of routes for which keep is false.
func (d *Durations) Retain(keep func(name string) bool) {
	d.routes.Range(func(name, _ any) bool {
		if !keep(name.(string)) {
			d.routes.Delete(name)
		}
		return true
	})
}
