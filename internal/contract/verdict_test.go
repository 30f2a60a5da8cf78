package contract

import (
	"errors"
	"fmt"
	"testing"
)

func TestVerdictOf(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want Verdict
	}{
		{"plain error", errors.New("reset"), MayHaveRun},
		{"typed", &Error{Verdict: NotRun}, NotRun},
		{"wrapped", fmt.Errorf("call: %w", &Error{Verdict: Ran}), Ran},
		{"Error without a verdict", &Error{}, MayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := VerdictOf(tt.err); got != tt.want {
				t.Errorf("VerdictOf(%v) = %v, want %v", tt.err, got, tt.want)
			}
		})
	}
}
