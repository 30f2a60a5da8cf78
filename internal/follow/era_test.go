package follow

import (
	"errors"
	"testing"
	"time"

	"kumquatyard/internal/store"
)

// A batch of an earlier era, which a relay sent before the store was restored, must not
// hide that changes of the present era are missing.
func TestBatchOfAnEarlierEraIsIgnored(t *testing.T) {
	role := Relayed
	f, _, _ := newRelayedFollower(&history{}, &role)
	f.revision.Store(&store.Revision{Era: 2, Number: 10})
	f.behind = true
	old := Batch{After: store.Revision{Era: 1, Number: 40}, Revision: store.Revision{Era: 1, Number: 41}, ReadAt: time.Now()}
	if !f.applyBatch(t.Context(), old) {
		t.Error("the batch is said to have a gap")
	}
	if !f.behind || f.readAt.Equal(old.ReadAt) {
		t.Error("after a batch of an earlier era the follower takes itself for up to date")
	}
}

// A list of an earlier era, from a copy of the store that lags, must not replace what was
// read after the restore.
func TestListOfAnEarlierEraIsNotTaken(t *testing.T) {
	role := Relayed
	h := &history{}
	f, _, _ := newRelayedFollower(h, &role)
	f.recordEra(h.Era()+1, time.Now())
	if _, _, err := f.listAll(t.Context(), store.Consistency(0)); !errors.Is(err, store.ErrRestored) {
		t.Errorf("error %v, want ErrRestored", err)
	}
}
