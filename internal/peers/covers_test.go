package peers

import "testing"

// A sum that lacks a third of the instances or more does not stand for the load of all.
func TestSumOfAPartDoesNotCoverAll(t *testing.T) {
	for _, c := range []struct {
		summed, listed int
		want           bool
	}{
		{summed: 0, listed: 1, want: true},
		{summed: 0, listed: 7},
		{summed: 6, listed: 7, want: true},
		{summed: 57, listed: 88},
		{summed: 80, listed: 88, want: true},
	} {
		if got := covers(c.summed, c.listed); got != c.want {
			t.Errorf("a sum of %d of %d instances covers all: %v, want %v", c.summed, c.listed, got, c.want)
		}
	}
}
