// Package fairshare divides the room of a pool's servers among callers while more is asked
// than there is room for. Each instance decides for its own requests from sums over all
// instances; internal/rollup carries the sums. Divide and measure decide without I/O or a
// clock; Tracker counts requests and publishes the shares.
package fairshare

import (
	"kumquatyard/internal/rollup"
)

const (
	// floorPart is the least part of its work that a workspace is served, as a fraction of
	// the part that the pool serves, and a rank, as a fraction of its workspace's most
	// urgent one.
	floorPart = 0.3
	// levelSteps is the number of bisections in the search for the level of the
	// water-filling: the error is below a millionth of the range.
	levelSteps = 48
)

// Share is what a group asked for and what it gets, in tokens per second.
type Share struct{ Offered, Granted float64 }

// Part returns the part of the group's work that it gets, from 0 to 1.
func (s Share) Part() float64 {
	if s.Granted >= s.Offered || s.Offered <= 0 {
		return 1
	}
	return s.Granted / s.Offered
}

// Divide returns the shares of a room, in tokens per second, among groups that offer work.
// The workspaces share it by weighted max-min fairness: no workspace gets more while another
// one gets less for its weight and asks for more. Inside a workspace, a rank gets room after
// the more urgent ones. weights holds the weights of workspaces; others have the mean.
func Divide(room float64, offered map[rollup.GroupKey]float64, weights map[uint32]float64) map[rollup.GroupKey]Share {
	workspaces := make(map[uint32]*workspace)
	total := 0.0
	for key, work := range offered {
		if work <= 0 {
			continue
		}
		w := workspaces[key.Workspace]
		if w == nil {
			w = &workspace{ranks: make(map[int]float64)}
			workspaces[key.Workspace] = w
		}
		w.ranks[key.Rank] += work
		w.offered += work
		total += work
	}
	shares := make(map[rollup.GroupKey]Share, len(offered))
	for key, work := range offered {
		shares[key] = Share{work, work}
	}
	if total <= max(room, 0) {
		return shares
	}
	setWeights(workspaces, weights)
	fill(workspaces, max(room, 0), total)
	for id, w := range workspaces {
		for rank, granted := range w.divide() {
			shares[rollup.GroupKey{Workspace: id, Rank: rank}] = Share{w.ranks[rank], granted}
		}
	}
	return shares
}

// workspace is the work of a workspace, in tokens per second.
type workspace struct {
	weight           float64
	offered, granted float64
	// ranks holds the offered work by rank.
	ranks map[int]float64
}

// setWeights sets the weights of the workspaces.
func setWeights(workspaces map[uint32]*workspace, weights map[uint32]float64) {
	sum, n := 0.0, 0
	for id, w := range workspaces {
		if w.weight = weights[id]; w.weight > 0 {
			sum += w.weight
			n++
		}
	}
	mean := 1.0
	if n > 0 {
		mean = sum / float64(n)
	}
	for _, w := range workspaces {
		if w.weight <= 0 {
			w.weight = mean
		}
	}
}

// fill grants each workspace what it offers, up to a level that is in proportion to its
// weight, so that the grants add up to the room. The least grant is the workspace's floor.
func fill(workspaces map[uint32]*workspace, room, total float64) {
	floor := floorPart * room / total
	grantAll := func(level float64) float64 {
		sum := 0.0
		for _, w := range workspaces {
			w.granted = min(w.offered, max(level*w.weight, floor*w.offered))
			sum += w.granted
		}
		return sum
	}
	low, high := 0.0, 0.0
	for _, w := range workspaces {
		high = max(high, w.offered/w.weight)
	}
	for range levelSteps {
		if middle := (low + high) / 2; grantAll(middle) > room {
			high = middle
		} else {
			low = middle
		}
	}
	grantAll(low)
}

// divide returns the room of a workspace's ranks. Each rank gets all that it offers, after
// the more urgent ones and less the floors of the less urgent ones.
func (w *workspace) divide() map[int]float64 {
	granted := make(map[int]float64, len(w.ranks))
	room, behind := w.granted, w.offered
	first := -1.0
	for _, rank := range sortedRanks(w.ranks) {
		work := w.ranks[rank]
		behind -= work
		part := 0.0
		if first < 0 {
			part = min(1, room/(work+floorPart*behind))
			first = part
		} else {
			part = min(first, max(room-floorPart*first*behind, 0)/work)
		}
		granted[rank] = part * work
		room -= granted[rank]
	}
	return granted
}
