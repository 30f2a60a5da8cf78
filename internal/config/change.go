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
	// maxChanges is the number of accepted changes that a head remembers. A
	// change whose answer was lost can be settled until that many others were
	// accepted after it.
	maxChanges = 256
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
	// Collections counts the garbage collections of documents. It makes the
	// compare-and-swap of a writer that read an earlier head fail.
	Collections uint64 `json:"g,omitempty"`
}

// ChangeRecord is what a head remembers of an accepted change.
type ChangeRecord struct {
	ID      string `json:"i"`
	Version uint64 `json:"v"`
	Author  string `json:"a,omitempty"`
	// AtUnix is when the operator made the change, in Unix seconds.
	AtUnix    int64    `json:"t,omitempty"`
	Documents []string `json:"d,omitempty"`
	// Sum tells changes apart that were given the same ID by mistake.
	Sum string `json:"s,omitempty"`
}

// Change is an operator's edit of some documents.
type Change struct {
	// ID names the change; applying the same ID again changes nothing.
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
	// Retry is true when an earlier attempt at this change ended unknown.
	Retry bool
}

// Conflict is a document that was changed by others since a change's base.
type Conflict struct {
	Document string
	// Base, Theirs and Mine are empty where the document does not exist.
	Base   Hash
	Theirs Hash
	Mine   Hash
	// By is the last remembered change that touched the document.
	By ChangeRecord
}

// Names returns the documents that the change touches, sorted.
func (c Change) Names() []string {
	names := slices.Concat(slices.Collect(maps.Keys(c.Puts)), c.Deletes)
	slices.Sort(names)
	return slices.Compact(names)
}

// sumLength is the number of characters of a content address that make a change's sum.
const sumLength = 11

// Sum is a digest of what the change puts and deletes.
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

// AcceptedChange returns the record of a change that led to the head.
func (h Head) AcceptedChange(id string) (ChangeRecord, bool) {
	i := slices.IndexFunc(h.Changes, func(r ChangeRecord) bool { return r.ID == id })
	if i < 0 {
		return ChangeRecord{}, false
	}
	return h.Changes[i], true
}

// RecordsChangesSince reports whether the head still records every change accepted after
// version, so that the absence of a change proves that it was not accepted.
func (h Head) RecordsChangesSince(version uint64) bool {
	return h.Version <= version+uint64(len(h.Changes))
}

// Apply returns the head that follows from a change. The documents it touches
// must still be as in its base, or already as the change wishes; all others may
// have changed. With conflicts, or when the change is part of the head already,
// the head is returned as it was.
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
	kept := head.Changes[max(0, len(head.Changes)+1-maxChanges):]
	next.Changes = append(slices.Clone(kept), record)
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

// Marshal returns the head as it is stored: compressed JSON.
func (h Head) Marshal() ([]byte, error) {
	text, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("marshal head: %w", err)
	}
	return headEncoder.EncodeAll(text, nil), nil
}

// UnmarshalHead reads a head as it is stored. Empty data is the head of
// version 0, which has no documents.
func UnmarshalHead(data []byte) (Head, error) {
	var head Head
	if len(data) == 0 {
		return head, nil
	}
	text, err := headDecoder.DecodeAll(data, nil)
	if err != nil {
		return head, fmt.Errorf("decompress head: %w", err)
	}
	if err := json.Unmarshal(text, &head); err != nil {
		return head, fmt.Errorf("unmarshal head: %w", err)
	}
	return head, nil
}
