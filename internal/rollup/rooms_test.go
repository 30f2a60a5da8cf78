package rollup

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Rooms that were added can be subtracted again, whatever they hold, and lists that are too
// short do no harm.
func TestRoomsAddAndSubtract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) Rooms {
			r := make(Rooms)
			for pool := range rapid.Uint32Range(0, 3).Draw(t, label+" pools") {
				room := Room{Near: 1, Pressed: rapid.Float64Range(0, 1e6).Draw(t, "pressed"), Served: rapid.Float64Range(0, 1e6).Draw(t, "served"), Offered: map[GroupKey]float64{}}
				for w := range rapid.Uint32Range(0, 5).Draw(t, "workspaces") {
					room.Offered[GroupKey{w, rapid.IntRange(0, 3).Draw(t, "rank")}] = rapid.Float64Range(0, 1e6).Draw(t, "offered")
				}
				r[pool] = room
			}
			return r
		}
		a, b := draw("a"), draw("b")
		sum := make(Rooms)
		sum.add(a.Encode())
		sum.add(b.Encode())
		again := make(Rooms)
		again.add(sum.Encode())
		again.subtract(b.Encode())
		for pool, want := range a {
			got := again[pool]
			if got.Near != want.Near || math.Abs(got.Pressed-want.Pressed) > 1 || math.Abs(got.Served-want.Served) > 1 {
				t.Fatalf("pool %d: %+v, want %+v", pool, got, want)
			}
			for key, offered := range want.Offered {
				if math.Abs(got.Offered[key]-offered) > 1 {
					t.Fatalf("%v: %v, want %v", key, got.Offered[key], offered)
				}
			}
		}
		for _, m := range sum.Encode() {
			m.Ranks, m.OfferedPerSecond = nil, nil
			again.add(append(sum.Encode(), m))
		}
	})
}

// The sum over all zones holds the rooms of the other instances, and a member subtracts its own.
func TestRoomsReachTheOtherInstances(t *testing.T) {
	a, b, c := newInstance("a", "1"), newInstance("b", "1"), newInstance("c", "2")
	now := start
	key := GroupKey{7, 1}
	for n, i := range []*instance{a, b, c} {
		state := i.state()
		state.Rooms = Rooms{9: {Near: 1, Pressed: 1, Served: 2, Offered: map[GroupKey]float64{key: float64(10 * (n + 1))}}}.Encode()
		i.member.Sent(state)
		target := a
		if i == c {
			target = c
		}
		target.aggregator.RecordMember(state, now)
	}
	a.aggregator.RecordZone(c.aggregator.ZoneSum(now), now)
	others, ok := a.member.Apply(a.aggregator.FleetSum(a.aggregator.ZoneSum(now), false, now), now)
	if !ok || others.Rooms[9].Near != 2 || others.Rooms[9].Offered[key] != 50 || others.Rooms[9].Served != 4 {
		t.Errorf("the rooms of the others are %+v", others.Rooms)
	}
}
