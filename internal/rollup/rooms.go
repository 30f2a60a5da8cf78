package rollup

import (
	"cmp"
	"maps"
	"slices"

	pb "kumquatyard/proto/kumquat/v1"
)

// GroupKey identifies the requests of a workspace, by the Key of its name, of one rank: 0 is
// the most urgent one.
type GroupKey struct {
	Workspace uint32
	Rank      int
}

// Room is what callers ask of a pool that is short of room, or nearly so. Work is in tokens
// per second.
type Room struct {
	// Near is the number of instances for which the pool is short, or nearly so.
	Near int
	// Pressed is the work that was asked for while servers had no spare room, and Served the
	// work of the requests whose answers began.
	Pressed, Served float64
	// Offered is the work that was asked for by group.
	Offered map[GroupKey]float64
}

// Rooms holds rooms by the Key of the pool's name.
type Rooms map[uint32]Room

// add adds the rooms of a message.
func (r Rooms) add(list []*pb.RoomPool) {
	for _, m := range list {
		room := r.room(m.GetPool())
		room.Near += int(m.GetNear())
		room.Pressed += float64(m.GetPressedPerSecond())
		room.Served += float64(m.GetServedPerSecond())
		for i, workspace := range m.GetWorkspaces() {
			key := GroupKey{workspace, element(m.GetRanks(), i)}
			room.Offered[key] += rateAt(m.GetOfferedPerSecond(), i)
		}
		r[m.GetPool()] = room
	}
}

// subtract removes the rooms of a message that was added before.
func (r Rooms) subtract(list []*pb.RoomPool) {
	for _, m := range list {
		room := r.room(m.GetPool())
		room.Near = max(room.Near-int(m.GetNear()), 0)
		room.Pressed = max(room.Pressed-float64(m.GetPressedPerSecond()), 0)
		room.Served = max(room.Served-float64(m.GetServedPerSecond()), 0)
		for i, workspace := range m.GetWorkspaces() {
			key := GroupKey{workspace, element(m.GetRanks(), i)}
			room.Offered[key] = max(room.Offered[key]-rateAt(m.GetOfferedPerSecond(), i), 0)
		}
		r[m.GetPool()] = room
	}
}

// room returns the room of a pool, an empty one if there is none.
func (r Rooms) room(pool uint32) Room {
	room := r[pool]
	if room.Offered == nil {
		room.Offered = make(map[GroupKey]float64)
	}
	return room
}

// rateAt returns an element of a list, 0 if a malformed message has a shorter one.
func rateAt(list []float32, i int) float64 {
	if i >= len(list) {
		return 0
	}
	return float64(list[i])
}

// Encode returns the message form of the rooms.
func (r Rooms) Encode() []*pb.RoomPool {
	list := make([]*pb.RoomPool, 0, len(r))
	for pool, room := range r {
		m := &pb.RoomPool{Pool: pool, Near: uint32(room.Near), PressedPerSecond: float32(room.Pressed), ServedPerSecond: float32(room.Served)}
		for _, key := range slices.SortedFunc(maps.Keys(room.Offered), compareGroups) {
			m.Workspaces = append(m.Workspaces, key.Workspace)
			m.Ranks = append(m.Ranks, uint32(max(key.Rank, 0)))
			m.OfferedPerSecond = append(m.OfferedPerSecond, float32(room.Offered[key]))
		}
		list = append(list, m)
	}
	return list
}

func compareGroups(a, b GroupKey) int {
	return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Rank, b.Rank))
}
