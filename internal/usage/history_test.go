package usage

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// history plays holders of the duty before a store that is restored from copies.
type history struct {
	*fixture
	random  *rand.Rand
	holders []*Reporter
	// learned is the store's era as the holder's process knows it, and learnedAt since when.
	learned   []uint64
	learnedAt []time.Time
	copies    []savedStore
	// frozen is the holder that is interrupted, -1 if there is none.
	frozen int
	acting int
}

func newHistory(seed uint64) *history {
	h := &history{fixture: newFixture(), random: rand.New(rand.NewPCG(seed, 0)), holders: make([]*Reporter, 3), learned: make([]uint64, 3), learnedAt: make([]time.Time, 3), frozen: -1}
	h.store.era = 1
	for i := range h.holders {
		h.restart(i)
		h.learn(i)
	}
	h.store.beforeSwap = h.interrupt
	h.copies = append(h.copies, h.save())
	return h
}

// restart ends a holder's process and starts another one, which has not learned of a new era.
func (h *history) restart(i int) {
	h.holders[i] = h.reporter(New(length))
	if h.learned[i] != 0 {
		h.learnedAt[i] = h.now
	}
	h.holders[i].StoreEra = func() (uint64, time.Time) { return h.learned[i], h.learnedAt[i] }
}

// learn lets a process learn of the store's era.
func (h *history) learn(i int) {
	if h.learned[i] != h.store.era {
		h.learned[i], h.learnedAt[i] = h.store.era, h.now
	}
}

// goBack restores the store from one of its last copies.
func (h *history) goBack() {
	h.fixture.restore(h.copies[max(len(h.copies)-1-h.random.IntN(8), 0)])
}

// interrupt happens between a holder's read and its write: it is frozen for a while in which
// another one acts, the store goes back, or its write is carried out later.
func (h *history) interrupt() (isLate bool) {
	if h.frozen >= 0 || h.random.IntN(6) > 0 {
		return false
	}
	h.frozen = h.acting
	defer func() { h.acting, h.frozen = h.frozen, -1 }()
	for range h.random.IntN(4) {
		h.advance()
		switch h.random.IntN(3) {
		case 0:
			h.goBack()
		case 1:
			h.act((h.frozen + 1 + h.random.IntN(len(h.holders)-1)) % len(h.holders))
		default:
			h.copies = append(h.copies, h.save())
		}
	}
	return h.random.IntN(3) == 0
}

func (h *history) advance() { h.now = h.now.Add(time.Duration(h.random.IntN(3000)) * time.Millisecond) }

// act lets a holder do what is due. Errors are outcomes of the history.
func (h *history) act(i int) {
	h.acting = i
	h.holders[i].Counter.RecordStart("a", h.now)
	_ = h.holders[i].runOnce(context.Background(), 1)
}

// step plays one step.
func (h *history) step() {
	h.advance()
	i := h.random.IntN(len(h.holders))
	h.store.loseAnswers, h.sink.loseAnswers = 0, 0
	switch h.random.IntN(9) {
	case 0:
		h.restart(i)
	case 1:
		h.store.loseAnswers = 1
	case 2:
		h.sink.loseAnswers = 1
	case 3:
		h.goBack()
	case 4, 5:
		h.learn(i)
	case 6:
		if len(h.store.late) > 0 {
			h.store.late[0]()
			h.store.late = h.store.late[1:]
		}
	}
	h.act(i)
	h.copies = append(h.copies, h.save())
}

// Guards against a window that is reported again with other counts: the store goes back to any
// earlier copy, holders are killed and frozen at each step, writes are carried out late, and each
// process learns of a new era when it likes.
func TestNoWindowIsReportedWithOtherCounts(t *testing.T) {
	const histories = 3000
	reported := 0
	for seed := range uint64(histories) {
		h := newHistory(seed)
		for range 40 {
			h.step()
		}
		for w, reports := range h.sink.reports {
			for _, counts := range reports[1:] {
				if diff := cmp.Diff(reports[0], counts); diff != "" {
					t.Fatalf("history %d: reports of window %d differ (-first +later):\n%s", seed, w, diff)
				}
			}
		}
		reported += len(h.sink.reports)
	}
	t.Logf("%d windows reported in %d histories", reported, histories)
}

// Guards against windows that are skipped although none of them can have been reported: those that
// end after the store has come back, and all of a store that never went back.
func TestWindowsThatNobodyReportedAreReported(t *testing.T) {
	for name, restore := range map[string]bool{"no restore": false, "after a restore": true} {
		t.Run(name, func(t *testing.T) {
			h := newHistory(1)
			h.store.beforeSwap = nil
			if restore {
				h.now = h.now.Add(length)
				h.goBack()
				for i := range h.holders {
					h.restart(i)
				}
				h.act(0) // the restarted holder reads the store, and its process learns nothing
			}
			first := h.holders[0].Counter.WindowAt(h.now.Add(restoreMargin)) + 1
			for h.now.Before(h.holders[0].Counter.WindowEnd(first + 10).Add(collectionTime)) {
				h.now = h.now.Add(time.Second)
				h.act(0)
			}
			for w := first; w <= first+9; w++ {
				if len(h.sink.reports[w]) == 0 {
					t.Errorf("window %d was not reported", w)
				}
			}
		})
	}
}
