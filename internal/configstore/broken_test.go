package configstore

import (
	"context"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"kumquatyard/internal/config"
	"kumquatyard/internal/contract"
	"kumquatyard/internal/platform"
)

// trustingKV takes a lost answer for a success: the mechanism switched off.
type trustingKV struct{ KV }

func (k trustingKV) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, bool, error) {
	newIndex, swapped, err := k.KV.CompareAndSwap(ctx, key, value, index)
	if contract.VerdictOf(err) == contract.MayHaveRun && err != nil {
		return 0, true, nil
	}
	return newIndex, swapped, err
}

// forgettingKV takes a lost answer for a write that did not happen.
type forgettingKV struct{ KV }

func (k forgettingKV) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, bool, error) {
	newIndex, swapped, err := k.KV.CompareAndSwap(ctx, key, value, index)
	if err != nil {
		return 0, false, failure(contract.NotRun)
	}
	return newIndex, swapped, nil
}

// blindKV writes the head whatever its index is.
type blindKV struct{ KV }

func (k blindKV) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, bool, error) {
	if key == headKey {
		entry, err := k.Get(ctx, key)
		if err != nil {
			return 0, false, err
		}
		index = entry.ModifyIndex
	}
	return k.KV.CompareAndSwap(ctx, key, value, index)
}

// faultAtHead makes the first swap of the head meet a fault. Afterwards the
// store cannot be reached, so that the caller cannot find out what happened.
type faultAtHead struct {
	KV
	// before runs before the swap takes effect.
	before func()
	// drop loses the write, lose only its answer.
	drop, lose bool
	down       bool
}

func (f *faultAtHead) Get(ctx context.Context, key string) (platform.Entry, error) {
	if f.down {
		return platform.Entry{}, failure(contract.NotRun)
	}
	return f.KV.Get(ctx, key)
}

func (f *faultAtHead) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, bool, error) {
	if key != headKey {
		return f.KV.CompareAndSwap(ctx, key, value, index)
	}
	if before := f.before; before != nil {
		f.before = nil
		before()
	}
	if f.drop {
		f.down = true
		return 0, false, failure(contract.MayHaveRun)
	}
	newIndex, swapped, err := f.KV.CompareAndSwap(ctx, key, value, index)
	if f.lose {
		f.down = true
		return 0, false, failure(contract.MayHaveRun)
	}
	return newIndex, swapped, err
}

func intact(kv KV) KV { return kv }

// TestHistoryCheckFindsBrokenMechanisms keeps the proof honest: the same three
// faults give a history that passes the check, and one that fails it once a
// mechanism is switched off.
func TestHistoryCheckFindsBrokenMechanisms(t *testing.T) {
	const patience = 50 * time.Millisecond
	tests := []struct {
		name  string
		fault func(*faultAtHead, func())
		// below and above switch a mechanism off between the store and the
		// fault, and between the fault and the operator.
		below, above func(KV) KV
	}{
		{
			"two operators, blind writes of the head",
			func(f *faultAtHead, other func()) { f.before = other },
			func(kv KV) KV { return blindKV{kv} }, intact,
		},
		{
			"lost write taken for accepted",
			func(f *faultAtHead, _ func()) { f.drop = true },
			intact, func(kv KV) KV { return trustingKV{kv} },
		},
		{
			"lost answer taken for not applied",
			func(f *faultAtHead, _ func()) { f.lose = true },
			intact, func(kv KV) KV { return forgettingKV{kv} },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			history := func(below, above func(KV) KV) porcupine.CheckResult {
				r := newRun(newFakeKV(1))
				faulty := &faultAtHead{KV: below(r.store.open())}
				tt.fault(faulty, func() {
					change := override("other", "overrides/a", "note: other\n", config.Head{})
					r.apply(t.Context(), 2, NewWriter(r.store.open()), change, time.Minute)
				})
				change := override("first", "overrides/a", "note: first\n", config.Head{})
				r.apply(t.Context(), 1, NewWriter(above(faulty)), change, patience)
				r.readFinal(t.Context())
				return r.linearizable()
			}
			if result := history(intact, intact); result != porcupine.Ok {
				t.Errorf("with the mechanism: %v", result)
			}
			if result := history(tt.below, tt.above); result != porcupine.Illegal {
				t.Errorf("without the mechanism: %v", result)
			}
		})
	}
}
