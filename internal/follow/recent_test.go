package follow

import (
	"testing"
	"time"

	"kumquatyard/internal/store"
)

// Pattern: the configuration is large, and an instance that does not reach the store has
// changes replayed to it with each batch. The zone gets the configuration's value once.
func TestLargeValuesAreNotReplayed(t *testing.T) {
	large := Change{Item: store.Item{Key: "k-config", Value: make([]byte, maxRecentValueBytes+1), Revision: store.Revision{Number: 2}}}
	small := Change{Item: store.Item{Key: "k-server", Value: []byte("leaves"), Revision: store.Revision{Number: 3}}}
	var sent []Batch
	relay := &Follower{
		Subscriptions: []Subscription{{Prefix: "k"}}, Role: func() Role { return Relay }, Publish: func(b Batch) { sent = append(sent, b) },
		ReplayFrom: func(uint64) store.Revision { return store.Revision{Number: 1} },
	}
	for _, c := range []Change{large, small} {
		relay.publish(store.Revision{Number: c.Revision.Number - 1}, c.Revision, []store.Item{c.Item}, time.Time{})
	}
	if first := sent[0].Changes; len(first) != 1 || first[0].ValueOmitted {
		t.Errorf("first batch: %d changes, want the configuration with its value", len(first))
	}
	replayed := sent[1].Changes
	if len(replayed) != 2 || !replayed[0].ValueOmitted || replayed[0].Value != nil || string(replayed[1].Value) != "leaves" {
		t.Errorf("second batch: %d changes, want the configuration without its value and the server's entry", len(replayed))
	}
}
