package rollup

import (
	"maps"
	"slices"

	pb "kumquatyard/proto/kumquat/v1"
)

// unreachedPools lists the Keys of the instances that reach no server of a pool, or few, by the Key of the
// pool's name.
type unreachedPools map[uint32][]uint32

// add adds what a member's state says.
func (u unreachedPools) add(state *pb.MemberState) {
	for _, pool := range state.GetUnreachedPools() {
		u[pool] = append(u[pool], Key(state.GetFrom().GetName()))
	}
}

// addAll adds the list of a sum.
func (u unreachedPools) addAll(list []*pb.UnreachedPool) {
	for _, p := range list {
		u[p.GetPool()] = append(u[p.GetPool()], p.GetInstances()...)
	}
}

func (u unreachedPools) encode() []*pb.UnreachedPool {
	list := make([]*pb.UnreachedPool, 0, len(u))
	for _, pool := range slices.Sorted(maps.Keys(u)) {
		list = append(list, &pb.UnreachedPool{Pool: pool, Instances: u[pool]})
	}
	return list
}
