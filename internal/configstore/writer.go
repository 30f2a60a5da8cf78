package configstore

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sourcegraph/conc/pool"

	"kumquatyard/internal/config"
	"kumquatyard/internal/contract"
	pb "kumquatyard/proto/kumquat/v1"
)

// Outcome is the result of applying a change.
type Outcome uint8

const (
	// Accepted changes are permanently part of the configuration.
	Accepted Outcome = iota + 1
	// Conflicted changes touch documents that were modified after their base.
	Conflicted
	// Unknown changes may or may not have been accepted; applying the same
	// change again determines which.
	Unknown
	// Refused changes failed validation.
	Refused
)

var outcomeNames = map[Outcome]string{Accepted: "accepted", Conflicted: "conflict", Unknown: "unknown", Refused: "refused"}

// String returns the outcome's name as used in tables and JSON.
func (o Outcome) String() string { return outcomeNames[o] }

// Result describes the outcome of a change.
type Result struct {
	Outcome Outcome
	// Version is the version that an accepted change produced.
	Version uint64
	// Conflicts are the documents because of which a change conflicted.
	Conflicts []ConflictText
	// Problems holds the validation errors of a refused change.
	Problems error
	// Warnings are the warnings about the version that an accepted change
	// produced.
	Warnings []string
	// Bundle is the version that an accepted change produced, or a later one, to
	// be pushed to an agent. It is nil when it could not be read.
	Bundle *pb.ConfigBundle
}

// ConflictText is a conflict with the document's bodies in the base and on both
// sides.
type ConflictText struct {
	config.Conflict
	// BaseBody is empty when the base is no longer stored.
	BaseBody, TheirsBody, MineBody []byte
}

const (
	initialRetryDelay    = 50 * time.Millisecond
	maxRetryDelay        = time.Second
	maxParallelBlobCalls = 8
)

// Writer applies operators' changes. It is safe for concurrent use.
type Writer struct {
	kv     KV
	parser Parser

	mu     sync.Mutex
	bodies map[config.Hash][]byte
}

// NewWriter returns a Writer that stores the configuration in kv.
func NewWriter(kv KV) *Writer {
	return &Writer{kv: timedKV{kv}, bodies: make(map[config.Hash][]byte)}
}

// attempt is the state of one Apply across its retries.
type attempt struct {
	change config.Change
	// inDoubt is true while a compare-and-swap at index may have taken effect or
	// may still take effect.
	inDoubt bool
	index   uint64
	// since is a version that precedes the change: its base or, without one, the
	// version of the first head read.
	since    uint64
	headRead bool
}

// Apply applies a change unless it conflicts or fails validation. It retries
// until ctx is done. An error means that this call did not get the change
// accepted; Unknown means that it may have. Applying a change with the same ID
// again is safe.
func (w *Writer) Apply(ctx context.Context, change config.Change) (Result, error) {
	if err := checkChange(change); err != nil {
		return Result{Outcome: Refused, Problems: err}, nil
	}
	a := &attempt{change: change, since: change.BaseVersion}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval, delays.RandomizationFactor = initialRetryDelay, maxRetryDelay, 1
	result, err := backoff.Retry(ctx, func() (Result, error) {
		return w.try(ctx, a)
	}, backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(0))
	if err == nil {
		return result, nil
	}
	if a.inDoubt {
		return Result{Outcome: Unknown}, nil
	}
	return Result{}, &contract.Error{Kind: contract.KindUnavailable, Verdict: contract.NotRun, Message: "the change was not applied", Err: err}
}

// checkChange validates what can be checked without the current configuration.
func checkChange(change config.Change) error {
	var problems []error
	if change.ID == "" {
		problems = append(problems, errors.New("the change has no id"))
	}
	for _, name := range slices.Sorted(maps.Keys(change.Puts)) {
		if len(change.Puts[name]) > maxDocumentBytes {
			problems = append(problems, fmt.Errorf("%s: has %d bytes, at most %d can be stored; split it", name, len(change.Puts[name]), maxDocumentBytes))
			continue
		}
		if slices.Contains(change.Deletes, name) {
			problems = append(problems, fmt.Errorf("%s: is both put and deleted; do one of them", name))
		}
		if _, err := config.Parse(name, change.Puts[name]); err != nil {
			problems = append(problems, err)
		}
	}
	return errors.Join(problems...)
}

// try makes one attempt. An error that is not a backoff.PermanentError requests
// another attempt.
func (w *Writer) try(ctx context.Context, a *attempt) (Result, error) {
	head, err := readHead(ctx, w.kv)
	if err != nil {
		return Result{}, err
	}
	if result, ok := a.resolve(head); ok {
		if result.Outcome == Accepted {
			result.Bundle = w.bundle(ctx, head.Head, head.data)
		}
		return result, nil
	}
	next, conflicts := config.Apply(head.Head, a.change)
	if len(conflicts) > 0 {
		return w.conflict(ctx, a.change, conflicts)
	}
	next.Parent = config.HashOf(head.data)
	built, problems, err := w.check(ctx, next, a.change)
	if err != nil {
		return Result{}, err
	}
	if problems != nil {
		return Result{Outcome: Refused, Problems: problems}, nil
	}
	if err := w.writeBlobs(ctx, head, a.change); err != nil {
		return Result{}, err
	}
	return w.swap(ctx, a, head, next, built.Warnings)
}

// resolve determines the outcome of the change from the current head, if that is
// possible without another compare-and-swap. A head whose index differs from
// that of a compare-and-swap in doubt proves that the latter can no longer take
// effect.
func (a *attempt) resolve(head storedHead) (Result, bool) {
	if record, ok := head.AcceptedChange(a.change.ID); ok {
		if record.Sum != a.change.Sum() {
			return Result{Outcome: Refused, Problems: fmt.Errorf("change id %s was already used by a different change, accepted as version %d; use a new id", record.ID, record.Version)}, true
		}
		return Result{Outcome: Accepted, Version: record.Version}, true
	}
	if !a.headRead && a.since == 0 {
		a.since = head.Version
	}
	a.headRead = true
	if (a.inDoubt || a.change.Retry) && !head.RecordsChangesSince(a.since) {
		return Result{Outcome: Unknown}, true
	}
	if head.index != a.index {
		a.inDoubt = false
	}
	return Result{}, false
}

// swap commits next by replacing head with it.
func (w *Writer) swap(ctx context.Context, a *attempt, head storedHead, next config.Head, warnings []string) (Result, error) {
	data, err := next.Marshal()
	if err != nil {
		return Result{}, backoff.Permanent(err)
	}
	if len(data) > maxDocumentBytes {
		return Result{Outcome: Refused, Problems: errors.New("the configuration has too many documents; merge or remove some")}, nil
	}
	_, swapped, err := w.kv.CompareAndSwap(ctx, headKey, data, head.index)
	if err != nil {
		if contract.VerdictOf(err) != contract.NotRun {
			a.inDoubt, a.index = true, head.index
		}
		return Result{}, fmt.Errorf("write the new configuration head: %w", err)
	}
	if !swapped {
		return Result{}, errors.New("write the new configuration head: another writer modified it concurrently")
	}
	return Result{Outcome: Accepted, Version: next.Version, Warnings: warnings, Bundle: w.bundle(ctx, next, data)}, nil
}

// bundle returns a version with its documents, or nil when these cannot be read.
func (w *Writer) bundle(ctx context.Context, head config.Head, data []byte) *pb.ConfigBundle {
	bodies, err := w.bodiesOf(ctx, head, config.Change{})
	if err != nil {
		return nil
	}
	s := snapshot{head: head, data: data, bodies: bodies}
	return s.bundle(allDocuments)
}

// writeBlobs stores the bodies that change puts, and the current head, which
// becomes the parent of the next one.
func (w *Writer) writeBlobs(ctx context.Context, head storedHead, change config.Change) error {
	writes := pool.New().WithContext(ctx).WithMaxGoroutines(maxParallelBlobCalls).WithFirstError()
	for _, body := range change.Puts {
		writes.Go(func(ctx context.Context) error { return writeBlob(ctx, w.kv, body) })
	}
	if len(head.data) > 0 {
		writes.Go(func(ctx context.Context) error { return writeBlob(ctx, w.kv, head.data) })
	}
	return writes.Wait()
}

// check builds and validates the configuration that next describes. problems
// holds the validation errors; err means that the documents could not be read.
func (w *Writer) check(ctx context.Context, next config.Head, change config.Change) (built *config.Config, problems, err error) {
	bodies, err := w.bodiesOf(ctx, next, change)
	if err != nil {
		return nil, nil, err
	}
	built, problems = w.parser.build(next, func(hash config.Hash) ([]byte, bool) {
		body, ok := bodies[hash]
		return body, ok
	})
	return built, problems, nil
}

// bodiesOf returns the bodies of all documents of next. It reads only those that
// are neither in change nor cached from the previous call.
func (w *Writer) bodiesOf(ctx context.Context, next config.Head, change config.Change) (map[config.Hash][]byte, error) {
	bodies := make(map[config.Hash][]byte, len(next.Documents))
	for _, body := range change.Puts {
		bodies[config.HashOf(body)] = body
	}
	w.mu.Lock()
	for _, hash := range next.Documents {
		if body, ok := w.bodies[hash]; ok {
			bodies[hash] = body
		}
	}
	w.mu.Unlock()
	if err := readBlobs(ctx, w.kv, next, bodies); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.bodies = bodies
	w.mu.Unlock()
	return maps.Clone(bodies), nil
}

// readBlobs adds to bodies the bodies of head's documents that it lacks.
func readBlobs(ctx context.Context, kv KV, head config.Head, bodies map[config.Hash][]byte) error {
	var mu sync.Mutex
	reads := pool.New().WithContext(ctx).WithMaxGoroutines(maxParallelBlobCalls).WithFirstError()
	missing := make(map[config.Hash]bool)
	for _, hash := range head.Documents {
		if _, ok := bodies[hash]; ok || missing[hash] {
			continue
		}
		missing[hash] = true
	}
	for hash := range missing {
		reads.Go(func(ctx context.Context) error {
			body, err := readBlob(ctx, kv, hash)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			bodies[hash] = body
			return nil
		})
	}
	return reads.Wait()
}

// conflict returns the result of a change with conflicts.
func (w *Writer) conflict(ctx context.Context, change config.Change, conflicts []config.Conflict) (Result, error) {
	result := Result{Outcome: Conflicted}
	for _, c := range conflicts {
		text := ConflictText{Conflict: c, MineBody: change.Puts[c.Document]}
		// The conflict is reported even if a body cannot be read; that body is then
		// empty.
		text.BaseBody, _ = w.optionalBlob(ctx, c.Base)
		text.TheirsBody, _ = w.optionalBlob(ctx, c.Theirs)
		result.Conflicts = append(result.Conflicts, text)
	}
	return result, nil
}

func (w *Writer) optionalBlob(ctx context.Context, hash config.Hash) ([]byte, error) {
	if hash == "" {
		return nil, nil
	}
	return readBlob(ctx, w.kv, hash)
}

// Read returns the current head and its documents by name.
func (w *Writer) Read(ctx context.Context) (config.Head, map[string][]byte, error) {
	head, err := readHead(ctx, w.kv)
	if err != nil {
		return config.Head{}, nil, err
	}
	bodies, err := w.bodiesOf(ctx, head.Head, config.Change{})
	if err != nil {
		return config.Head{}, nil, err
	}
	docs := make(map[string][]byte, len(head.Documents))
	for name, hash := range head.Documents {
		docs[name] = bodies[hash]
	}
	return head.Head, docs, nil
}

// Config returns the current configuration, validated.
func (w *Writer) Config(ctx context.Context) (*config.Config, error) {
	head, err := readHead(ctx, w.kv)
	if err != nil {
		return nil, err
	}
	built, problems, err := w.check(ctx, head.Head, config.Change{})
	return built, errors.Join(problems, err)
}
