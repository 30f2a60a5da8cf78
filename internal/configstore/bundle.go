// Package configstore stores the configuration in the platform's key-value
// service and distributes it to the processes: a Writer applies operators'
// changes, a Replica follows them, and a Parser reads the bundles that a Replica
// forwards.
package configstore

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"

	"kumquatyard/internal/config"
	pb "kumquatyard/proto/kumquat/v1"
)

// Parse validates a complete bundle and returns the configuration in it.
func Parse(bundle *pb.ConfigBundle) (*config.Config, error) {
	var p Parser
	return p.Parse(bundle)
}

// Parser reads successive bundles. It caches the parsed documents of the last
// one, so that it parses only the changed documents of a new version, whose
// bundle may omit the others. The zero Parser is ready to use. A Parser is safe
// for concurrent use.
type Parser struct {
	mu     sync.Mutex
	parsed map[documentKey]*config.Document
}

// documentKey identifies a parsed document. It includes the name because
// documents with different names can have equal bodies.
type documentKey struct {
	name string
	hash config.Hash
}

// Parse validates a bundle and returns the configuration in it. Omitted
// documents must be unchanged since the last bundle.
func (p *Parser) Parse(bundle *pb.ConfigBundle) (*config.Config, error) {
	head, err := config.UnmarshalHead(bundle.GetHead())
	if err != nil {
		return nil, err
	}
	bodies := make(map[config.Hash][]byte, len(bundle.GetDocuments()))
	for _, d := range bundle.GetDocuments() {
		bodies[config.HashOf(d.GetBody())] = d.GetBody()
	}
	return p.build(head, func(hash config.Hash) ([]byte, bool) {
		body, ok := bodies[hash]
		return body, ok
	})
}

// build parses the documents of head that p has not cached, using body to get
// their contents, and validates all documents together.
func (p *Parser) build(head config.Head, body func(config.Hash) ([]byte, bool)) (*config.Config, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[documentKey]*config.Document, len(head.Documents))
	docs := make([]*config.Document, 0, len(head.Documents))
	var problems []error
	for _, name := range slices.Sorted(maps.Keys(head.Documents)) {
		hash := head.Documents[name]
		doc, err := p.document(name, hash, body)
		if err != nil {
			problems = append(problems, err)
			continue
		}
		next[documentKey{name, hash}] = doc
		docs = append(docs, doc)
	}
	if len(problems) > 0 {
		return nil, errors.Join(problems...)
	}
	c, err := config.Assemble(head.Version, docs)
	if err != nil {
		return nil, err
	}
	p.parsed = next
	return c, nil
}

// document returns a document from the cache, or parses it.
func (p *Parser) document(name string, hash config.Hash, body func(config.Hash) ([]byte, bool)) (*config.Document, error) {
	if doc, ok := p.parsed[documentKey{name, hash}]; ok {
		return doc, nil
	}
	data, ok := body(hash)
	if !ok {
		return nil, fmt.Errorf("document %s: the bundle lacks its body with hash %s", name, hash)
	}
	return config.Parse(name, data)
}
