package load

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestArrivalOrderAndMeanRate checks that arrival times are ordered, that their
// mean rate over a long run matches Rate, and that a seed reproduces them.
func TestArrivalOrderAndMeanRate(t *testing.T) {
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
				t.Fatalf("arrival %d is at %v, out of order after %v or beyond the duration", i, times[i], times[i-1])
			}
		}
		if got := float64(len(times)) / duration.Seconds(); got < 0.7*a.Rate || got > 1.3*a.Rate {
			t.Errorf("mean rate is %v, want %v within 30%%", got, a.Rate)
		}
		if !slices.Equal(times, a.times(rand.New(rand.NewPCG(seed, 0)), duration)) {
			t.Error("the same seed gave different arrivals")
		}
	})
}

// TestSessionPromptsExtendPrevious checks that each prompt of a session starts
// with the previous prompt and its answer, and that the requests of two runs
// differ only in the first line of the prompt.
func TestSessionPromptsExtendPrevious(t *testing.T) {
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
			t.Fatalf("prompt %d does not extend the previous prompt and answer", i)
		}
		previous = first.Prompt + "assistant\n" + first.Answer + "\n"
		second, err := b.request()
		if err != nil {
			t.Fatal(err)
		}
		if first.At != second.At || first.Chat.Messages[1] != second.Chat.Messages[1] || first.Prompt == second.Prompt {
			t.Fatalf("request %d: runs have different arrivals (%v, %v) or documents, or equal prompts", i, first.At, second.At)
		}
	}
}
