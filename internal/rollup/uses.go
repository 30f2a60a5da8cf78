package rollup

import pb "kumquatyard/proto/kumquat/v1"

// use is what was requested of a quota and what of it was used. The amount used may
// decrease when a request is refunded.
type use struct{ requested, used int64 }

func (u use) plus(o use) use  { return use{u.requested + o.requested, u.used + o.used} }
func (u use) minus(o use) use { return use{u.requested - o.requested, u.used - o.used} }

// uses holds counters by the Key of the workspace's name.
type uses map[uint32]use

func usesOf(list []*pb.WorkspaceUse) uses {
	u := make(uses, len(list))
	for _, w := range list {
		u[w.GetWorkspace()] = use{int64(w.GetRequested()), int64(w.GetUsed())}
	}
	return u
}

// since returns what was added to the counters since they were as in counted.
func (u uses) since(counted uses) uses {
	changes := make(uses)
	for key, now := range u {
		if change := now.minus(counted[key]); change != (use{}) {
			changes[key] = change
		}
	}
	return changes
}

func (u uses) add(changes uses) {
	for key, change := range changes {
		u[key] = u[key].plus(change)
	}
}

func (u uses) encode() []*pb.WorkspaceUse {
	list := make([]*pb.WorkspaceUse, 0, len(u))
	for key, w := range u {
		list = append(list, &pb.WorkspaceUse{Workspace: key, Requested: uint64(max(w.requested, 0)), Used: uint64(max(w.used, 0))})
	}
	return list
}
