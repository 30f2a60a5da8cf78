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

// lostAnswerIsSuccessKV reports a swap whose answer was lost as successful, which
// disables the handling of lost answers.
type lostAnswerIsSuccessKV struct{ KV }

func (k lostAnswerIsSuccessKV) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, bool, error) {
	newIndex, swapped, err := k.KV.CompareAndSwap(ctx, key, value, index)
	if contract.VerdictOf(err) == contract.MayHaveRun && err != nil {
		return 0, true, nil
	}
	return newIndex, swapped, err
}

// lostAnswerIsFailureKV reports a swap whose answer was lost as not executed.
type lostAnswerIsFailureKV struct{ KV }

func (k lostAnswerIsFailureKV) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, bool, error) {
	newIndex, swapped, err := k.KV.CompareAndSwap(ctx, key, value, index)
	if err != nil {
		return 0, false, failure(contract.NotRun)
	}
	return newIndex, swapped, nil
}

// unconditionalHeadKV writes the head regardless of its ModifyIndex.
type unconditionalHeadKV struct{ KV }

func (k unconditionalHeadKV) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, bool, error) {
	if key == headKey {
		entry, err := k.Get(ctx, key)
		if err != nil {
			return 0, false, err
		}
		index = entry.ModifyIndex
	}
	return k.KV.CompareAndSwap(ctx, key, value, index)
}

// headSwapFaultKV injects a fault into the first swap of the head. With
// dropWrite or loseAnswer set, the store is unreachable afterwards, so that the
// caller cannot find out whether the swap took effect.
type headSwapFaultKV struct {
	KV
	// before runs before the swap takes effect.
	before func()
	// dropWrite loses the write, loseAnswer only its answer.
	dropWrite, loseAnswer bool
	down                  bool
}

func (f *headSwapFaultKV) Get(ctx context.Context, key string) (platform.Entry, error) {
	if f.down {
		return platform.Entry{}, failure(contract.NotRun)
	}
	return f.KV.Get(ctx, key)
}

func (f *headSwapFaultKV) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (uint64, bool, error) {
	if key != headKey {
		return f.KV.CompareAndSwap(ctx, key, value, index)
	}
	if before := f.before; before != nil {
		f.before = nil
		before()
	}
	if f.dropWrite {
		f.down = true
		return 0, false, failure(contract.MayHaveRun)
	}
	newIndex, swapped, err := f.KV.CompareAndSwap(ctx, key, value, index)
	if f.loseAnswer {
		f.down = true
		return 0, false, failure(contract.MayHaveRun)
	}
	return newIndex, swapped, err
}

func passThrough(kv KV) KV { return kv }

// TestHistoryCheckDetectsBrokenMechanisms verifies the linearizability check
// itself: under each of three faults the history passes the check, and fails it
// when the mechanism that handles the fault is disabled.
func TestHistoryCheckDetectsBrokenMechanisms(t *testing.T) {
	const applyTimeout = 50 * time.Millisecond
	tests := []struct {
		name  string
		fault func(*headSwapFaultKV, func())
		// belowFault and aboveFault disable a mechanism: between the store and the
		// fault, or between the fault and the operator.
		belowFault, aboveFault func(KV) KV
	}{
		{
			"two operators, unconditional writes of the head",
			func(f *headSwapFaultKV, other func()) { f.before = other },
			func(kv KV) KV { return unconditionalHeadKV{kv} }, passThrough,
		},
		{
			"lost write reported as accepted",
			func(f *headSwapFaultKV, _ func()) { f.dropWrite = true },
			passThrough, func(kv KV) KV { return lostAnswerIsSuccessKV{kv} },
		},
		{
			"lost answer reported as not applied",
			func(f *headSwapFaultKV, _ func()) { f.loseAnswer = true },
			passThrough, func(kv KV) KV { return lostAnswerIsFailureKV{kv} },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			history := func(belowFault, aboveFault func(KV) KV) porcupine.CheckResult {
				r := newRun(newFakeKV(1))
				faulty := &headSwapFaultKV{KV: belowFault(r.store.open())}
				tt.fault(faulty, func() {
					change := override("other", "overrides/a", "note: other\n", config.Head{})
					r.apply(t.Context(), 2, NewWriter(r.store.open()), change, time.Minute)
				})
				change := override("first", "overrides/a", "note: first\n", config.Head{})
				r.apply(t.Context(), 1, NewWriter(aboveFault(faulty)), change, applyTimeout)
				r.readFinalVersion(t.Context())
				return r.linearizable()
			}
			if result := history(passThrough, passThrough); result != porcupine.Ok {
				t.Errorf("linearizability check with the mechanism: %v, want Ok", result)
			}
			if result := history(tt.belowFault, tt.aboveFault); result != porcupine.Illegal {
				t.Errorf("linearizability check without the mechanism: %v, want Illegal", result)
			}
		})
	}
}
