package gateway

import "sync"

// registry holds the runs in progress, which evacuation moves off leaving
// servers.
type registry struct{ runs sync.Map }

func (x *registry) add(r *run)    { x.runs.Store(r, struct{}{}) }
func (x *registry) remove(r *run) { x.runs.Delete(r) }

// each calls f for every run in progress.
func (x *registry) each(f func(*run)) {
	x.runs.Range(func(key, _ any) bool {
		f(key.(*run))
		return true
	})
}

// len returns the number of runs in progress.
func (x *registry) len() int {
	n := 0
	x.each(func(*run) { n++ })
	return n
}
