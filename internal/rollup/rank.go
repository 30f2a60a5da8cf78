package rollup

import (
	"cmp"
	"slices"

	pb "kumquatyard/proto/kumquat/v1"
)

// AggregatorsPerZone is the number of aggregators to which a member sends its state.
const AggregatorsPerZone = 2

// Rank sorts the instances of a zone by their suitability as aggregators: first those
// with the widest links, as an aggregator sends the sum to all members of its zone, and
// among equals by a hash that differs from zone to zone.
func Rank(instances []*pb.Instance) []*pb.Instance {
	hashes := make(map[*pb.Instance]uint32, len(instances))
	for _, i := range instances {
		hashes[i] = Key(i.GetZone() + "/" + i.GetName())
	}
	ranked := slices.Clone(instances)
	slices.SortFunc(ranked, func(a, b *pb.Instance) int {
		return cmp.Or(
			cmp.Compare(b.GetLinkMbps(), a.GetLinkMbps()),
			cmp.Compare(hashes[a], hashes[b]),
			cmp.Compare(a.GetName(), b.GetName()),
		)
	})
	return ranked
}

// First returns the first instances in the order of Rank for which usable is true, at most
// AggregatorsPerZone. If there are none, it returns the first of all, so that a member
// always has an aggregator to ask again.
func First(ranked []*pb.Instance, usable func(*pb.Instance) bool) []*pb.Instance {
	var first []*pb.Instance
	for _, i := range ranked {
		if usable(i) {
			first = append(first, i)
		}
		if len(first) == AggregatorsPerZone {
			break
		}
	}
	if len(first) == 0 {
		return Top(ranked)
	}
	return first
}

// Top returns the first instances in the order of Rank, at most AggregatorsPerZone.
func Top(ranked []*pb.Instance) []*pb.Instance {
	return ranked[:min(len(ranked), AggregatorsPerZone)]
}
