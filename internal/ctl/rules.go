package ctl

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jedib0t/go-pretty/v6/table"

	"kumquatyard/internal/config"
	"kumquatyard/internal/configstore"
)

// changeIDLength is the length of a change id in characters of 5 bits each.
const changeIDLength = 16

// baseLine is the first line of a document that rules get or rules edit wrote.
const baseLine = "# kumquatctl: %s from version %d hash %s\n"

// newChange returns an empty change based on head. A non-empty id marks the
// change as a retry of an earlier run.
func (a *app) newChange(id string, head config.Head) config.Change {
	retry := id != ""
	if !retry {
		id = rand.Text()[:changeIDLength]
	}
	return config.Change{
		ID: id, Author: a.Author, At: a.now(), BaseVersion: head.Version, Retry: retry,
		BaseHashes: make(map[string]config.Hash), Puts: make(map[string][]byte),
	}
}

// put adds a document to change, with its content in head as the base.
func put(change *config.Change, head config.Head, name string, body []byte) {
	change.Puts[name] = body
	if hash, ok := head.Documents[name]; ok {
		change.BaseHashes[name] = hash
	}
}

// read returns the documents in force. It retries until ctx is done, so that a
// short outage of the key-value service does not fail the command.
func (a *app) read(ctx context.Context, w *configstore.Writer) (config.Head, map[string][]byte, error) {
	var head config.Head
	docs, err := backoff.Retry(ctx, func() (docs map[string][]byte, err error) {
		head, docs, err = w.Read(ctx)
		return docs, err
	}, backoff.WithBackOff(backoff.NewExponentialBackOff()), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return head, nil, fmt.Errorf("reading from the key-value service at %s did not succeed within the timeout of %v; nothing was changed: %w", a.KV, a.Timeout, err)
	}
	return head, docs, nil
}

// apply applies a change and reports its outcome.
func (a *app) apply(ctx context.Context, w *configstore.Writer, change config.Change, rows []rowChange) error {
	result, err := w.Apply(ctx, change)
	if err != nil {
		return err
	}
	return a.report(ctx, change.ID, result, rows)
}

type documentRow struct {
	Name  string      `json:"name"`
	Hash  config.Hash `json:"hash"`
	Bytes int         `json:"bytes"`
}

type documentList struct {
	Version   uint64        `json:"version"`
	Documents []documentRow `json:"documents"`
}

func (l documentList) tables() []table.Writer {
	t := newTable(fmt.Sprintf("Documents of version %d", l.Version), "name", "bytes", "hash")
	for _, d := range l.Documents {
		t.AppendRow(table.Row{d.Name, d.Bytes, d.Hash})
	}
	return []table.Writer{t}
}

func (a *app) listDocuments(ctx context.Context) error {
	head, docs, err := a.read(ctx, configstore.NewWriter(a.kv))
	if err != nil {
		return err
	}
	list := documentList{Version: head.Version}
	for _, name := range slices.Sorted(maps.Keys(docs)) {
		list.Documents = append(list.Documents, documentRow{Name: name, Hash: head.Documents[name], Bytes: len(docs[name])})
	}
	return a.print(list)
}

// withBase returns a document preceded by its base line.
func (a *app) withBase(ctx context.Context, name string) ([]byte, error) {
	head, docs, err := a.read(ctx, configstore.NewWriter(a.kv))
	if err != nil {
		return nil, err
	}
	body, ok := docs[name]
	if !ok {
		return nil, usage("document %s does not exist; kumquatctl rules list shows all documents", name)
	}
	return append(fmt.Appendf(nil, baseLine, name, head.Version, head.Documents[name]), body...), nil
}

func (a *app) getDocument(ctx context.Context, name string) error {
	text, err := a.withBase(ctx, name)
	if err != nil {
		return err
	}
	_, err = a.stdout.Write(text)
	return err
}

func (a *app) editDocument(ctx context.Context, name string) error {
	text, err := a.withBase(ctx, name)
	if err != nil {
		return err
	}
	file := strings.ReplaceAll(name, "/", "-") + ".yaml"
	f, err := os.OpenFile(file, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return usage("%w; move or delete the existing file first", err)
	}
	defer f.Close()
	if _, err := f.Write(text); err != nil {
		return err
	}
	return a.print(outcome{Outcome: "written", Advice: fmt.Sprintf("edit %s, then: kumquatctl rules apply %s %s", file, name, file)})
}

// base is the version of the configuration that a file was edited from, and the
// document's hash in it.
type base struct {
	version uint64
	hash    config.Hash
}

// splitBase splits a file into its base line and the document. A file without a
// base line has the zero base: it is a new document, and conflicts with an
// existing one.
func splitBase(name string, text []byte) (base, []byte, error) {
	line, rest, _ := bytes.Cut(text, []byte("\n"))
	if !bytes.HasPrefix(line, []byte("# kumquatctl: ")) {
		return base{}, text, nil
	}
	var fileName string
	var b base
	if _, err := fmt.Sscanf(string(line)+"\n", baseLine, &fileName, &b.version, &b.hash); err != nil {
		return base{}, nil, usage("the first line is malformed (%w); get the document again with kumquatctl rules get", err)
	}
	if fileName != name {
		return base{}, nil, usage("the file contains document %s, not %s", fileName, name)
	}
	return b, rest, nil
}

func (a *app) applyDocument(ctx context.Context, name, file, id string, force bool) error {
	text, err := readFile(file)
	if err != nil {
		return err
	}
	from, body, err := splitBase(name, text)
	if err != nil {
		return err
	}
	w := configstore.NewWriter(a.kv)
	head, _, err := a.read(ctx, w)
	if err != nil {
		return err
	}
	change := a.newChange(id, head)
	put(&change, head, name, body)
	if !force {
		change.BaseVersion = from.version
		change.BaseHashes = map[string]config.Hash{name: from.hash}
	}
	return a.apply(ctx, w, change, nil)
}

func (a *app) deleteDocument(ctx context.Context, name, id string) error {
	w := configstore.NewWriter(a.kv)
	head, _, err := a.read(ctx, w)
	if err != nil {
		return err
	}
	change := a.newChange(id, head)
	if hash, ok := head.Documents[name]; ok {
		change.BaseHashes[name] = hash
	} else if id == "" {
		return usage("document %s does not exist", name)
	}
	change.Deletes = []string{name}
	return a.apply(ctx, w, change, nil)
}

// loadDirectory applies one change that puts the documents of a directory that
// differ from those in force.
func (a *app) loadDirectory(ctx context.Context, directory, id string) error {
	docs, err := ReadDirectory(os.DirFS(directory))
	if err != nil {
		return usage("%s: %w", directory, err)
	}
	w := configstore.NewWriter(a.kv)
	head, _, err := a.read(ctx, w)
	if err != nil {
		return err
	}
	change := a.newChange(id, head)
	for name, body := range docs {
		if id != "" || head.Documents[name] != config.HashOf(body) {
			put(&change, head, name, body)
		}
	}
	if len(change.Puts) == 0 {
		return a.print(outcome{Outcome: "unchanged", Version: head.Version})
	}
	return a.apply(ctx, w, change, nil)
}

// ReadDirectory returns the documents in the files zones.yaml, rules/*.yaml and
// overrides/*.yaml, by document name.
func ReadDirectory(directory fs.FS) (map[string][]byte, error) {
	docs := make(map[string][]byte)
	for _, pattern := range []string{"zones.yaml", "rules/*.yaml", "overrides/*.yaml"} {
		files, err := fs.Glob(directory, pattern)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			body, err := fs.ReadFile(directory, file)
			if err != nil {
				return nil, err
			}
			docs[strings.TrimSuffix(file, filepath.Ext(file))] = body
		}
	}
	if len(docs) == 0 {
		return nil, fmt.Errorf("contains none of zones.yaml, rules/*.yaml and overrides/*.yaml")
	}
	return docs, nil
}

type difference struct {
	Name    string   `json:"name"`
	Version uint64   `json:"version"`
	Lines   []string `json:"lines"`
}

func (d difference) tables() []table.Writer {
	t := newTable(fmt.Sprintf("%s: version %d → file", d.Name, d.Version), "line")
	for _, line := range d.Lines {
		t.AppendRow(table.Row{line})
	}
	return []table.Writer{t}
}

func (a *app) diffDocument(ctx context.Context, name, file string) error {
	text, err := readFile(file)
	if err != nil {
		return err
	}
	_, body, err := splitBase(name, text)
	if err != nil {
		return err
	}
	head, docs, err := a.read(ctx, configstore.NewWriter(a.kv))
	if err != nil {
		return err
	}
	return a.print(difference{Name: name, Version: head.Version, Lines: diffLines(string(docs[name]), string(body))})
}

type historyRow struct {
	Version   uint64    `json:"version"`
	ID        string    `json:"change_id"`
	Author    string    `json:"author"`
	At        time.Time `json:"at"`
	Documents []string  `json:"documents"`
}

type changeHistory struct {
	Changes []historyRow `json:"changes"`
}

func (h changeHistory) tables() []table.Writer {
	t := newTable("Accepted changes", "version", "change", "author", "at", "documents")
	for _, c := range h.Changes {
		t.AppendRow(table.Row{c.Version, c.ID, c.Author, c.At.Format(time.RFC3339), strings.Join(c.Documents, "\n")})
	}
	return []table.Writer{t}
}

func (a *app) history(ctx context.Context) error {
	head, _, err := a.read(ctx, configstore.NewWriter(a.kv))
	if err != nil {
		return err
	}
	var h changeHistory
	for _, c := range slices.Backward(head.Changes) {
		h.Changes = append(h.Changes, historyRow{Version: c.Version, ID: c.ID, Author: c.Author, At: time.Unix(c.AtUnix, 0).UTC(), Documents: c.Documents})
	}
	return a.print(h)
}
