package autoscale

import "math"

// keepCover keeps servers that are due for release while the load would not be covered without
// them after the loss of any one zone's reclaimable servers. The plan has that cover once all of its
// servers serve; until the ordered ones do, only the running servers count. Cover that the running
// servers do not have cannot be kept.
func (s *Scaler) keepCover(in Input, counts *serverCounts, target map[groupKey]int, need float64) {
	goal := min(int(math.Ceil(need)), coverOf(in, counts, func(key groupKey) int { return counts.present[key] }))
	covers := func() bool {
		return coverOf(in, counts, func(key groupKey) int { return min(target[key], counts.present[key]) }) >= goal
	}
	if covers() {
		return
	}
	for _, zone := range in.zones() {
		key, other := groupKey{zone, true}, groupKey{zone, false}
		target[key] = max(target[key], min(counts.present[key], in.Pool.Scaling.Max-target[other]))
	}
	for _, zone := range in.zones() {
		for kept := true; kept && !covers(); {
			kept = keepOnDemand(in, counts, target, zone)
		}
	}
}

// keepOnDemand raises the target of a zone's on-demand servers by one of those that run, and reports
// whether it did. Where the zone's limit requires it, one reclaimable server fewer is ordered; those
// that run stay.
func keepOnDemand(in Input, counts *serverCounts, target map[groupKey]int, zone string) bool {
	onDemand, reclaimable := groupKey{zone, false}, groupKey{zone, true}
	if target[onDemand] >= counts.present[onDemand] {
		return false
	}
	if target[onDemand]+target[reclaimable] >= in.Pool.Scaling.Max {
		if target[reclaimable] <= counts.present[reclaimable] {
			return false
		}
		target[reclaimable]--
	}
	target[onDemand]++
	return true
}

// coverOf returns how many servers remain after the loss of any one zone's reclaimable servers, of
// those that servers returns for each group.
func coverOf(in Input, counts *serverCounts, servers func(groupKey) int) int {
	total, worst := 0, 0
	for key := range counts.present {
		total += servers(key)
	}
	for _, zone := range in.zones() {
		worst = max(worst, servers(groupKey{zone, true}))
	}
	return total - worst
}

// keepAll raises the targets to the servers that run. Where the zone's limit requires it, fewer
// servers are ordered.
func keepAll(in Input, counts *serverCounts, target map[groupKey]int) {
	for _, zone := range in.zones() {
		key, other := groupKey{zone, true}, groupKey{zone, false}
		target[key] = max(min(target[key], in.Pool.Scaling.Max-counts.present[other]), counts.present[key])
		target[other] = max(min(target[other], in.Pool.Scaling.Max-target[key]), counts.present[other])
	}
}
