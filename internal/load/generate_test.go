package load

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestArrivalsKeepTheirRate checks order and mean rate over a long time.
func TestArrivalsKeepTheirRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Arrivals{
			Rate:        rapid.Float64Range(5, 20).Draw(t, "rate"),
			BurstFactor: rapid.Float64Range(1, 5).Draw(t, "factor"),
			BurstShare:  rapid.Float64Range(0, 0.4).Draw(t, "share"),
			BurstLength: time.Second,
		}
		seed := rapid.Uint64().Draw(t, "seed")
		const duration = 300 * time.Second
		times := a.times(rand.New(rand.NewPCG(seed, 0)), duration)
		for i := 1; i < len(times); i++ {
			if times[i] < times[i-1] || times[i] >= duration {
				t.Fatalf("arrival %d at %v after %v", i, times[i], times[i-1])
			}
		}
		if got := float64(len(times)) / duration.Seconds(); got < 0.7*a.Rate || got > 1.3*a.Rate {
			t.Errorf("rate %v, want %v", got, a.Rate)
		}
		if !slices.Equal(times, a.times(rand.New(rand.NewPCG(seed, 0)), duration)) {
			t.Error("the same seed gives other arrivals")
		}
	})
}

// TestSessionsGrow checks that each prompt of a session starts with the one
// before it and its answer, and that runs differ in the first line only.
func TestSessionsGrow(t *testing.T) {
	s := testScenario()
	s.Classes = []Class{{
		Name: "revision", Kind: Chat, Weight: 1, Document: Range{100, 200}, Turn: Range{5, 20},
		Output: Range{4, 8}, Sessions: 1, Revisions: 4,
	}}
	s.Workspaces = s.Workspaces[:1]
	s.Duration = time.Second
	s, err := s.WithDefaults()
	if err != nil {
		t.Fatal(err)
	}
	a, b := newGenerator(&s, "a"), newGenerator(&s, "b")
	previous := ""
	for i := range a.times {
		first, err := a.request()
		if err != nil {
			t.Fatal(err)
		}
		if i%4 != 0 && !strings.HasPrefix(first.Prompt, previous) {
			t.Fatalf("prompt %d does not extend the one before", i)
		}
		previous = first.Prompt + "assistant\n" + first.Answer + "\n"
		second, err := b.request()
		if err != nil {
			t.Fatal(err)
		}
		if first.At != second.At || first.Chat.Messages[1] != second.Chat.Messages[1] || first.Prompt == second.Prompt {
			t.Fatalf("request %d of two runs: %v and %v", i, first.At, second.At)
		}
	}
}
