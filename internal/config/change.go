package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/klauspost/compress/zstd"
)

const (
	// maxChangeRecords is the number of accepted changes that a head records.
	// The outcome of a change whose answer was lost can be determined until that
	// many other changes have been accepted after it.
	maxChangeRecords = 256
	// maxHeadBytes bounds a head before compression.
	maxHeadBytes = 8 << 20
)

// Head names one version of the configuration: its documents by content and
// the changes that led to it.
type Head struct {
	Version   uint64          `json:"v"`
	Documents map[string]Hash `json:"d"`
	// Changes are the last accepted changes, newest last.
	Changes []ChangeRecord `json:"c,omitempty"`
	// Parent is the content address of the previous head as it was stored.
	Parent Hash `json:"p,omitempty"`
	// Collections counts the garbage collections of documents. Each one changes
	// the head, so that the compare-and-swap of a writer that read an earlier
	// head fails.
	Collections uint64 `json:"g,omitempty"`
}

// ChangeRecord describes an accepted change in a head.
type ChangeRecord struct {
	ID      string `json:"i"`
	Version uint64 `json:"v"`
	Author  string `json:"a,omitempty"`
	// AtUnix is when the operator made the change, in Unix seconds.
	AtUnix    int64    `json:"t,omitempty"`
	Documents []string `json:"d,omitempty"`
	// Sum is Change.Sum. It distinguishes changes that were given the same ID by
	// mistake.
	Sum string `json:"s,omitempty"`
}

// Change is an operator's edit of some documents.
type Change struct {
	// ID identifies the change; applying the same ID again has no effect.
	ID     string
	Author string
	At     time.Time
	// BaseVersion is the version that the operator edited.
	BaseVersion uint64
	// BaseHashes holds, for each document put or deleted, its content in
	// BaseVersion; a document that did not exist then is absent.
	BaseHashes map[string]Hash
	Puts       map[string][]byte
	Deletes    []string
	// Retry is true when the outcome of an earlier attempt at this change is
	// unknown.
	Retry bool
}

// Conflict is a document that other changes modified after the base of a
// change.
type Conflict struct {
	Document string
	// Base, Theirs and Mine are empty where the document does not exist.
	Base   Hash
	Theirs Hash
	Mine   Hash
	// By is the last recorded change of the document.
	By ChangeRecord
}

// Names returns the sorted names of the documents that the change puts or
// deletes.
func (c Change) Names() []string {
	names := slices.Concat(slices.Collect(maps.Keys(c.Puts)), c.Deletes)
	slices.Sort(names)
	return slices.Compact(names)
}

// sumLength is the length of a change's sum, a prefix of a content address.
const sumLength = 11

// Sum returns a digest of what the change puts and deletes.
func (c Change) Sum() string {
	var text []byte
	for _, name := range c.Names() {
		text = append(text, name...)
		text = append(text, '\n')
		if body, ok := c.Puts[name]; ok {
			text = append(text, HashOf(body)...)
		}
		text = append(text, '\n')
	}
	return string(HashOf(text)[:sumLength])
}

// AcceptedChange returns the record of the change with the given ID, if the
// head still has it.
func (h Head) AcceptedChange(id string) (ChangeRecord, bool) {
	i := slices.IndexFunc(h.Changes, func(r ChangeRecord) bool { return r.ID == id })
	if i < 0 {
		return ChangeRecord{}, false
	}
	return h.Changes[i], true
}

// RecordsChangesSince reports whether the head still records every change
// accepted after version. If it does, the absence of a change proves that it was
// not accepted.
func (h Head) RecordsChangesSince(version uint64) bool {
	return h.Version <= version+uint64(len(h.Changes))
}

// Apply returns the head that results from applying change to head. Each
// document of the change must still have its base content or already have its
// new content; all other documents may differ from the base. If there are
// conflicts, or if head already includes the change, Apply returns head
// unmodified.
func Apply(head Head, change Change) (Head, []Conflict) {
	if _, ok := head.AcceptedChange(change.ID); ok {
		return head, nil
	}
	names := change.Names()
	if conflicts := findConflicts(head, change, names); len(conflicts) > 0 {
		return head, conflicts
	}
	next := head
	next.Version = head.Version + 1
	next.Documents = maps.Clone(head.Documents)
	if next.Documents == nil {
		next.Documents = make(map[string]Hash)
	}
	for name, body := range change.Puts {
		next.Documents[name] = HashOf(body)
	}
	for _, name := range change.Deletes {
		delete(next.Documents, name)
	}
	record := ChangeRecord{ID: change.ID, Version: next.Version, Author: change.Author, AtUnix: change.At.Unix(), Documents: names, Sum: change.Sum()}
	retained := head.Changes[max(0, len(head.Changes)+1-maxChangeRecords):]
	next.Changes = append(slices.Clone(retained), record)
	return next, nil
}

func findConflicts(head Head, change Change, names []string) []Conflict {
	var conflicts []Conflict
	for _, name := range names {
		var mine Hash
		if body, ok := change.Puts[name]; ok {
			mine = HashOf(body)
		}
		base, theirs := change.BaseHashes[name], head.Documents[name]
		if theirs != base && theirs != mine {
			conflicts = append(conflicts, Conflict{Document: name, Base: base, Theirs: theirs, Mine: mine, By: head.lastChangeOf(name)})
		}
	}
	return conflicts
}

func (h Head) lastChangeOf(document string) ChangeRecord {
	for _, r := range slices.Backward(h.Changes) {
		if slices.Contains(r.Documents, document) {
			return r
		}
	}
	return ChangeRecord{}
}

var (
	headEncoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	headDecoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxHeadBytes))
)

// Marshal returns the stored form of the head: JSON compressed with zstd.
func (h Head) Marshal() ([]byte, error) {
	text, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("marshal configuration head: %w", err)
	}
	return headEncoder.EncodeAll(text, nil), nil
}

// UnmarshalHead decodes the stored form of a head. Empty data is the head of
// version 0, which has no documents.
func UnmarshalHead(data []byte) (Head, error) {
	var head Head
	if len(data) == 0 {
		return head, nil
	}
	text, err := headDecoder.DecodeAll(data, nil)
	if err != nil {
		return head, fmt.Errorf("decompress configuration head: %w", err)
	}
	if err := json.Unmarshal(text, &head); err != nil {
		return head, fmt.Errorf("unmarshal configuration head: %w", err)
	}
	return head, nil
}
