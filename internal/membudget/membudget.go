// Package membudget bounds the memory that bytes of others take while they are read: answers of
// services and bodies of requests, whose number and size this process does not choose.
package membudget

import "sync/atomic"

// Free is the number of bytes of one message that are not charged, so that small messages go on
// while large ones use the budget up.
const Free = 64 << 10

// Budget is a number of bytes that all messages together may take. It is safe for concurrent use.
// A nil Budget has no limit.
type Budget struct {
	limit int64
	// reserve is for the first Free bytes of each message, which are charged if it is not 0.
	reserve int64
	held    atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// NewWithReserve returns a budget of limit bytes, with reserve bytes more for the first Free bytes
// of each message. These are charged as well.
func NewWithReserve(limit, reserve int64) *Budget { return &Budget{limit: limit, reserve: reserve} }

// Take charges n bytes, and reports whether the budget had them.
func (b *Budget) Take(n int64) bool {
	if b == nil {
		return true
	}
	return b.take(n, b.limit)
}

// take charges n bytes unless more than limit are charged then.
func (b *Budget) take(n, limit int64) bool {
	if n <= 0 {
		return true
	}
	if b.held.Add(n) > limit {
		b.held.Add(-n)
		return false
	}
	return true
}

// Release returns n bytes that were charged.
func (b *Budget) Release(n int64) {
	if b != nil && n > 0 {
		b.held.Add(-n)
	}
}

// Held returns the number of bytes that are charged.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}

// Charge is what one message takes from a budget. It is not safe for concurrent use.
type Charge struct {
	budget *Budget
	taken  int64
}

// Charge returns an empty charge.
func (b *Budget) Charge() Charge { return Charge{budget: b} }

// Grow charges a message that has n bytes now, and reports whether the budget had them. A message
// never shrinks.
func (c *Charge) Grow(n int64) bool {
	if c.budget != nil && c.budget.reserve > 0 {
		return c.growWithReserve(n)
	}
	more := n - Free - c.taken
	if more <= 0 {
		return true
	}
	if !c.budget.Take(more) {
		return false
	}
	c.taken += more
	return true
}

// growWithReserve charges the whole message, its first Free bytes also from the reserve.
func (c *Charge) growWithReserve(n int64) bool {
	if first := min(n, Free) - c.taken; first > 0 {
		if !c.budget.take(first, c.budget.limit+c.budget.reserve) {
			return false
		}
		c.taken += first
	}
	return c.Cover(n)
}

// Cover charges n bytes in all, without any that are free, and reports whether the budget had
// them.
func (c *Charge) Cover(n int64) bool {
	more := n - c.taken
	if more <= 0 {
		return true
	}
	if !c.budget.Take(more) {
		return false
	}
	c.taken += more
	return true
}

// Release returns all that was charged.
func (c *Charge) Release() {
	c.budget.Release(c.taken)
	c.taken = 0
}
