package entry

import (
	"testing"
	"time"
)

// Pattern: the holder of the duties is lost, or all instances start. At 6 and at 300 instances
// the zones' aggregators compete at once, and the others only if none of them takes the duties.
func TestAggregatorsCompeteForDutiesFirst(t *testing.T) {
	const maxAge, leaseTTL = 500 * time.Millisecond, 3 * time.Second
	for name, test := range map[string]struct {
		neverSeen, isAggregator bool
		silence, zoneKnownFor   time.Duration
		want                    bool
	}{
		"start, aggregator":                          {neverSeen: true, isAggregator: true, silence: time.Second, zoneKnownFor: 400 * time.Millisecond, want: true},
		"start, knows no others yet":                 {neverSeen: true, isAggregator: true, silence: time.Second},
		"start, has just read the zone's instances":  {neverSeen: true, isAggregator: true, silence: time.Second, zoneKnownFor: 200 * time.Millisecond},
		"start, another":                             {neverSeen: true},
		"start, the former lease expires, another":   {neverSeen: true, silence: leaseTTL},
		"start, nobody took them, another":           {neverSeen: true, silence: leaseTTL + 2100*time.Millisecond, want: true},
		"holder lives, aggregator":                   {isAggregator: true, silence: 3 * maxAge},
		"holder is lost, aggregator":                 {isAggregator: true, silence: 3*maxAge + time.Millisecond, want: true},
		"holder is lost, its lease expires, another": {silence: leaseTTL},
		"holder and aggregators are lost, another":   {silence: leaseTTL + 2100*time.Millisecond, want: true},
	} {
		d := dutyCompetition{neverSeen: test.neverSeen, isAggregator: test.isAggregator, silence: test.silence, maxAge: maxAge, leaseTTL: leaseTTL, zoneKnownFor: test.zoneKnownFor}
		if got := d.competes(); got != test.want {
			t.Errorf("%s: competes = %v, want %v", name, got, test.want)
		}
	}
}
