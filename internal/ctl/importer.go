package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"
	"github.com/jedib0t/go-pretty/v6/table"

	"kumquatyard/internal/config"
	"kumquatyard/internal/configstore"
	"kumquatyard/internal/settings"
)

// rowChange is a server that an import adds, removes or changes.
type rowChange struct {
	Action string `json:"action"`
	Zone   string `json:"zone"`
	ID     string `json:"id"`
	// Details are the changed keys with their old and new values.
	Details []string `json:"details,omitempty"`
	// Override holds the operators' overrides of the server, which stay in force.
	Override string `json:"override,omitempty"`
}

func changesTable(changes []rowChange) table.Writer {
	t := newTable("Inventory", "", "zone", "server", "changed values", "override in force")
	for _, c := range changes {
		t.AppendRow(table.Row{c.Action, c.Zone, c.ID, strings.Join(c.Details, "\n"), c.Override})
	}
	return t
}

// InventoryDocuments returns the inventory documents for servers grouped by zone.
func InventoryDocuments(zones map[string][]config.ServerEntry) (map[string][]byte, error) {
	docs := make(map[string][]byte, len(zones))
	for zoneName, entries := range zones {
		body, err := yaml.Marshal(config.Inventory{Servers: entries})
		if err != nil {
			return nil, fmt.Errorf("encode the inventory of zone %s: %w", zoneName, err)
		}
		docs[config.InventoryPrefix+zoneName] = body
	}
	return docs, nil
}

// importFile replaces the inventory with an export. Overrides are separate
// documents and stay unchanged.
func (a *app) importFile(ctx context.Context, file, id string, dryRun bool) error {
	data, err := readFile(file)
	if err != nil {
		return err
	}
	zones, err := ReadAssets(file, data)
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	imported, err := InventoryDocuments(zones)
	if err != nil {
		return err
	}
	w := configstore.NewWriter(a.kv)
	head, docs, err := a.read(ctx, w)
	if err != nil {
		return err
	}
	rows, err := compareInventories(docs, zones)
	if err != nil {
		return err
	}
	change := a.inventoryChange(id, head, imported)
	if dryRun || (len(change.Puts) == 0 && len(change.Deletes) == 0) {
		return a.print(outcome{Outcome: noChangeOutcome(len(rows), dryRun), Version: head.Version, Changes: rows})
	}
	return a.apply(ctx, w, change, rows)
}

// noChangeOutcome returns the outcome of an import that changes nothing.
func noChangeOutcome(rows int, dryRun bool) string {
	if dryRun && rows > 0 {
		return "dry run, nothing changed"
	}
	return "unchanged"
}

// inventoryChange returns a change that puts the inventory documents that differ
// and deletes those of zones that the export no longer contains.
func (a *app) inventoryChange(id string, head config.Head, imported map[string][]byte) config.Change {
	change := a.newChange(id, head)
	for name, body := range imported {
		if change.Retry || head.Documents[name] != config.HashOf(body) {
			put(&change, head, name, body)
		}
	}
	for name, hash := range head.Documents {
		if _, ok := imported[name]; !ok && strings.HasPrefix(name, config.InventoryPrefix) {
			change.Deletes = append(change.Deletes, name)
			change.BaseHashes[name] = hash
		}
	}
	slices.Sort(change.Deletes)
	return change
}

// placed is a server and its zone. fieldReporter trims the type's name from the
// paths that it reports.
type placed struct {
	Zone  string
	Entry config.ServerEntry
}

// compareInventories returns the servers that differ between the documents in
// force and an export, sorted by id.
func compareInventories(docs map[string][]byte, zones map[string][]config.ServerEntry) ([]rowChange, error) {
	before, after := make(map[string]placed), make(map[string]placed)
	for name, body := range docs {
		zoneName, ok := strings.CutPrefix(name, config.InventoryPrefix)
		if !ok {
			continue
		}
		var inventory config.Inventory
		if err := settings.Decode(name, body, &inventory); err != nil {
			return nil, err
		}
		for _, entry := range inventory.Servers {
			before[entry.ID] = placed{zoneName, entry}
		}
	}
	for zoneName, entries := range zones {
		for _, entry := range entries {
			after[entry.ID] = placed{zoneName, entry}
		}
	}
	ids := maps.Clone(before)
	maps.Copy(ids, after)
	var rows []rowChange
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		if r, ok := compareServer(id, before, after); ok {
			r.Override = overrideText(docs, id, r.Zone)
			rows = append(rows, r)
		}
	}
	return rows, nil
}

// compareServer returns the change of one server and whether there is one.
func compareServer(id string, before, after map[string]placed) (rowChange, bool) {
	from, had := before[id]
	to, has := after[id]
	switch {
	case !had:
		return rowChange{Action: "added", Zone: to.Zone, ID: id}, true
	case !has:
		return rowChange{Action: "removed", Zone: from.Zone, ID: id}, true
	}
	details := describeChange(from, to)
	return rowChange{Action: "changed", Zone: to.Zone, ID: id, Details: details}, len(details) > 0
}

// fieldReporter is a cmp reporter that collects the fields that differ as
// "field: old → new".
type fieldReporter struct {
	path    cmp.Path
	details []string
}

// PushStep implements the interface of cmp.Reporter.
func (r *fieldReporter) PushStep(step cmp.PathStep) { r.path = append(r.path, step) }

// PopStep implements the interface of cmp.Reporter.
func (r *fieldReporter) PopStep() { r.path = r.path[:len(r.path)-1] }

// Report implements the interface of cmp.Reporter.
func (r *fieldReporter) Report(result cmp.Result) {
	if result.Equal() {
		return
	}
	before, after := r.path.Last().Values()
	r.details = append(r.details, fmt.Sprintf("%s: %v → %v", strings.TrimPrefix(r.path.GoString(), "{ctl.placed}."), before, after))
}

// describeChange returns the differences between two states of a server. Models
// are compared as a whole, not by element.
func describeChange(from, to placed) []string {
	var r fieldReporter
	wholeModels := cmp.Comparer(func(a, b []string) bool { return slices.Equal(a, b) })
	cmp.Equal(from, to, wholeModels, cmp.Reporter(&r))
	return r.details
}

// overrideText returns the overrides of a server and its zone on one line.
func overrideText(docs map[string][]byte, id, zoneName string) string {
	var parts []string
	for _, name := range []string{zoneName, id} {
		if body, ok := docs[config.OverridesPrefix+name]; ok {
			parts = append(parts, name+": "+strings.ReplaceAll(strings.TrimSpace(string(body)), "\n", ", "))
		}
	}
	return strings.Join(parts, "; ")
}
