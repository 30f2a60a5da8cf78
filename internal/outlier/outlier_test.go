package outlier_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kumquatyard/internal/machine"
	"kumquatyard/internal/outlier"
)

var epoch = time.Unix(1_000_000, 0)

func members(zones, perZone int) []outlier.Member {
	var out []outlier.Member
	for i := range zones * perZone {
		out = append(out, outlier.Member{ID: machine.ID(fmt.Sprint("s", i)), Zone: fmt.Sprint("z", i%zones), Pool: "chat"})
	}
	return out
}

// For any samples and any change of the members, the ejected servers stay within
// MaxShare of a pool's servers in a zone, and every ejection ends.
func TestEjectionsStayWithinMaxShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share = 0.34
		d := outlier.New(outlier.Settings{MaxShare: share})
		all := members(3, rapid.IntRange(1, 8).Draw(t, "servers"))
		now := epoch
		var present []outlier.Member
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			present = all[:rapid.IntRange(1, len(all)).Draw(t, "present")]
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second)
			for range rapid.IntRange(0, 4).Draw(t, "bursts") {
				m := rapid.SampledFrom(present).Draw(t, "server")
				latency := time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond
				failed := rapid.Bool().Draw(t, "failed")
				for range 10 {
					d.Observe(outlier.Sample{Server: m.ID, Latency: latency, Failed: failed})
				}
			}
			size, out := map[string]int{}, map[string]int{}
			ejected := d.Update(now, present)
			for _, m := range present {
				size[m.Zone]++
				if ejected[m.ID] {
					out[m.Zone]++
				}
			}
			for zone, n := range out {
				if float64(n) > share*float64(size[zone]) {
					t.Fatalf("%d of %d servers of %s are ejected, want at most a share of 0.34", n, size[zone], zone)
				}
			}
		}
		if ejected := d.Update(now.Add(time.Hour), present); len(ejected) > 0 {
			t.Fatalf("%d servers are still ejected an hour later, want none", len(ejected))
		}
	})
}

// When all servers fail alike, as by a fault of a common dependency, none is ejected:
// fewer servers would not fail less. Servers that fail while the others do not are
// ejected.
func TestServersThatFailAlikeAreNotEjected(t *testing.T) {
	observe := func(d *outlier.Detector, all []outlier.Member, failing int) {
		for round := range 40 {
			for i, m := range all {
				d.Observe(outlier.Sample{Server: m.ID, Failed: i < failing && (round+i)%2 == 0})
			}
		}
	}
	all := members(1, 6)
	d := outlier.New(outlier.Settings{FailureShare: 0.25, MaxShare: 0.5})
	observe(d, all, len(all))
	if out := d.Update(epoch, all); len(out) != 0 {
		t.Errorf("%d of %d servers that fail alike are ejected, want none", len(out), len(all))
	}
	d = outlier.New(outlier.Settings{FailureShare: 0.25, MaxShare: 0.5})
	observe(d, all, 2)
	if out := d.Update(epoch, all); !out[all[0].ID] || !out[all[1].ID] || len(out) != 2 {
		t.Errorf("%v are ejected, want the two servers that fail", out)
	}
}

// A server that becomes slow is ejected and readmitted after a time. Each time it is slow
// again, the ejection lasts longer.
func TestSlowServerIsEjectedLongerEachTime(t *testing.T) {
	d := outlier.New(outlier.Settings{BaseEjection: 10 * time.Second})
	all := members(1, 6)
	now := epoch
	sample := func() {
		for range 20 {
			for i, m := range all {
				latency := 20 * time.Millisecond
				if i == 0 {
					latency *= 8
				}
				d.Observe(outlier.Sample{Server: m.ID, Latency: latency})
			}
		}
	}
	for _, want := range []time.Duration{10 * time.Second, 20 * time.Second, 40 * time.Second} {
		sample()
		if ejected := d.Update(now, all); len(ejected) != 1 || !ejected["s0"] {
			t.Fatalf("ejected %v, want only the slow server s0", ejected)
		}
		if ejected := d.Update(now.Add(want-time.Second), all); !ejected["s0"] {
			t.Fatalf("s0 was readmitted before %v", want)
		}
		now = now.Add(want)
		if ejected := d.Update(now, all); len(ejected) != 0 {
			t.Fatalf("servers still ejected after %v: %v", want, ejected)
		}
	}
}
