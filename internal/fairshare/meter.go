package fairshare

import "time"

const (
	// slot is the resolution of a meter, and slots the number of slots in it, the current one
	// included.
	slot  = 250 * time.Millisecond
	slots = 9
	// recentSlots is the number of slots for what changes fast, and allSlots for what does not.
	recentSlots = 4
	allSlots    = slots - 1
)

// meter holds the sums of the last slots.
type meter struct {
	sums        [slots]float64
	first, last int64
}

func slotOf(t time.Time) int64 { return t.UnixNano() / int64(slot) }

func newMeter(now time.Time) *meter { return &meter{first: slotOf(now), last: slotOf(now)} }

func (m *meter) advance(now time.Time) {
	to := slotOf(now)
	if to-m.last > slots {
		m.last = to - slots
	}
	for m.last < to {
		m.last++
		m.sums[m.last%slots] = 0
	}
}

func (m *meter) add(amount float64, now time.Time) {
	m.advance(now)
	m.sums[m.last%slots] += amount
}

// rate returns the mean over the last n complete slots, per second; that of the current slot
// if there is no other.
func (m *meter) rate(n int64, now time.Time) float64 {
	m.advance(now)
	complete := min(m.last-m.first, n)
	if complete <= 0 {
		return m.sums[m.last%slots] / slot.Seconds()
	}
	sum := 0.0
	for i := int64(1); i <= complete; i++ {
		sum += m.sums[((m.last-i)%slots+slots)%slots]
	}
	return sum / (float64(complete) * slot.Seconds())
}

// idle reports whether nothing was added in the last slots.
func (m *meter) idle(now time.Time) bool {
	m.advance(now)
	return m.sums == [slots]float64{}
}
