package demand

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// feed adds a steady load to a meter.
func feed(m *Meter, from, to time.Duration, perSecond float64) {
	const step = 50 * time.Millisecond
	for at := from; at < to; at += step {
		m.Add("p", perSecond*step.Seconds(), start.Add(at))
	}
}

func near(got, want float64) bool { return got > 0.85*want && got < 1.15*want }

func TestSteadyLoadIsMeasured(t *testing.T) {
	m := New()
	feed(m, 0, 10*time.Second, 1000)
	if got := m.Total("p", start.Add(10*time.Second)); !near(got, 1000) {
		t.Errorf("measured %.0f, want about 1000", got)
	}
}

// A burst shows within two seconds; a lull is believed only after six.
func TestBurstShowsAtOnceAndALullLate(t *testing.T) {
	m := New()
	feed(m, 0, 10*time.Second, 1000)
	feed(m, 10*time.Second, 12*time.Second, 3000)
	if got := m.Total("p", start.Add(12*time.Second)); !near(got, 3000) {
		t.Errorf("measured %.0f two seconds into a burst of 3000", got)
	}
	if got := m.Total("p", start.Add(14*time.Second)); got < 900 {
		t.Errorf("measured %.0f two seconds after the load ended", got)
	}
	if got := m.Total("p", start.Add(30*time.Second)); got != 0 {
		t.Errorf("measured %.0f long after the load ended", got)
	}
}

func TestOtherInstancesCountUntilTheyAreStale(t *testing.T) {
	m := New()
	m.RecordPeerReport("b", map[string]float64{"p": 500}, start)
	if got := m.Total("p", start); got != 500 {
		t.Errorf("measured %.0f, want 500", got)
	}
	if got := m.Total("p", start.Add(staleAfter+time.Second)); got != 0 {
		t.Errorf("measured %.0f by a stale message", got)
	}
}
