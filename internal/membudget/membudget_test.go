package membudget

import (
	"testing"

	"pgregory.net/rapid"
)

// Messages that grow and end in any order never take more than the budget, and give back all.
func TestMessagesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 20
		b := New(limit)
		charges, sizes := make([]Charge, 4), make([]int64, 4)
		for i := range charges {
			charges[i] = b.Charge()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(charges)-1).Draw(t, "message")
			size := sizes[i] + rapid.Int64Range(0, limit/2).Draw(t, "growth")
			switch {
			case rapid.IntRange(0, 3).Draw(t, "ends") == 0:
				charges[i].Release()
				sizes[i] = 0
			case charges[i].Grow(size):
				sizes[i] = size
			case size <= Free:
				t.Fatalf("a message of %d bytes was not taken", size)
			}
			total := int64(0)
			for _, n := range sizes {
				total += max(n-Free, 0)
			}
			if b.Held() != total || total > limit {
				t.Fatalf("%d bytes held for messages of %d, limit %d", b.Held(), total, limit)
			}
		}
		for i := range charges {
			charges[i].Release()
		}
		if b.Held() != 0 {
			t.Fatalf("%d bytes held after all messages ended", b.Held())
		}
	})
}

// Without a budget, everything is taken.
func TestNilBudgetHasNoLimit(t *testing.T) {
	var b *Budget
	c := b.Charge()
	if !c.Grow(1<<50) || b.Held() != 0 {
		t.Error("a nil budget has a limit")
	}
	c.Release()
}

// Large messages use a budget up; small ones still pass by its reserve, and everything is charged.
func TestReserveIsForSmallMessages(t *testing.T) {
	const limit, reserve = 4 * Free, 2 * Free
	b := NewWithReserve(limit, reserve)
	large, small, next, last := b.Charge(), b.Charge(), b.Charge(), b.Charge()
	if !large.Grow(limit) || b.Held() != limit {
		t.Fatalf("%d bytes held, want the large message's %d", b.Held(), limit)
	}
	if !small.Grow(Free) || !next.Grow(Free) || last.Grow(1) {
		t.Errorf("%d bytes held, want two small messages in the reserve and no third", b.Held())
	}
	if small.Grow(Free + 1) {
		t.Error("a message grew beyond its free part from the reserve")
	}
	large.Release()
	if !small.Grow(2 * Free) {
		t.Error("a message did not grow though the large one has ended")
	}
	small.Release()
	next.Release()
	last.Release()
	if b.Held() != 0 {
		t.Errorf("%d bytes held after all messages ended", b.Held())
	}
}
