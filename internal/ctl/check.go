package ctl

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"

	"kumquatyard/internal/config"
	"kumquatyard/internal/configcheck"
	"kumquatyard/internal/configcheck/documents"
	"kumquatyard/internal/configstore"
)

// Form is a form of configuration that is a single file.
type Form struct {
	// Name is the value of --form.
	Name string
	// Check checks value and compares it with inForce, which is empty for none.
	Check func(value, inForce []byte, known configcheck.Known) configcheck.Report
}

const (
	// documentsForm is the form of a set of documents.
	documentsForm = "documents"
	// storeArgument is the value of --against for the documents in force.
	storeArgument = "store"
)

// checkFlags are the flags of check.
type checkFlags struct {
	against, form    string
	requests, tokens float64
	grace            time.Duration
	bodyBytes        int64
}

func (f *checkFlags) known() configcheck.Known {
	return configcheck.Known{RequestsPerSecond: f.requests, TokensPerSecond: f.tokens, Grace: f.grace, BodyBytes: f.bodyBytes}
}

func (a *app) checkCommand(p *flaggy.Parser, c *commandLine) command {
	f := &c.check
	f.form = documentsForm
	sub := newCommand(p, "check", "check a configuration before it is sent; exit status 0, 1 (warnings) or 2 (errors)")
	sub.AddPositionalValue(&c.file, "FILE", 1, true, "directory or document; with --form, a file")
	sub.String(&f.against, "", "against", "version to compare with: a directory or file, or store for the documents in force")
	sub.String(&f.form, "", "form", "form of the configuration: "+strings.Join(a.formNames(), " or "))
	sub.Float64(&f.requests, "", "requests-per-s", "requests per second that all servers serve together")
	sub.Float64(&f.tokens, "", "tokens-per-s", "tokens per second that all servers serve together")
	sub.Duration(&f.grace, "", "grace", "time from the stop signal until a process is killed")
	sub.Int64(&f.bodyBytes, "", "body-bytes", "size of the largest body that callers send")
	return command{sub, func(ctx context.Context) error { return a.check(ctx, c.file, f) }}
}

func (a *app) formNames() []string {
	names := []string{documentsForm}
	for _, f := range a.forms {
		names = append(names, f.Name)
	}
	return names
}

// checkReport is a report that is printed.
type checkReport struct {
	configcheck.Report
	Status int `json:"status"`
}

func (r checkReport) tables() []table.Writer {
	var out []table.Writer
	if len(r.Findings) > 0 {
		t := newTable("Findings", "severity", "place", "entry", "problem", "what to do")
		t.SetColumnConfigs([]table.ColumnConfig{wrapped(3, 32), wrapped(4, 60), wrapped(5, 40)})
		for _, f := range r.Findings {
			t.AppendRow(table.Row{f.Severity, placeText(f), f.Entry, f.Problem, f.Fix})
		}
		out = append(out, t)
	}
	if len(r.Changes) > 0 {
		t := newTable("Changes to the version in force")
		for _, line := range r.Changes {
			t.AppendRow(table.Row{line})
		}
		out = append(out, t)
	}
	if len(out) == 0 {
		t := newTable("Result")
		t.AppendRow(table.Row{"nothing found"})
		out = append(out, t)
	}
	return out
}

// wrapped returns a column whose text is wrapped between words.
func wrapped(number, width int) table.ColumnConfig {
	return table.ColumnConfig{Number: number, WidthMax: width, WidthMaxEnforcer: text.WrapSoft}
}

// placeText returns the file and line of a finding, as far as they are known.
func placeText(f configcheck.Finding) string {
	switch {
	case f.Line == 0:
		return f.File
	case f.File == "":
		return fmt.Sprintf("line %d", f.Line)
	}
	return fmt.Sprintf("%s:%d", f.File, f.Line)
}

// check prints what is wrong with a configuration. Whatever keeps it from being judged counts
// as an error, so that a status below StatusErrors means that it was.
func (a *app) check(ctx context.Context, file string, f *checkFlags) error {
	report, err := a.judge(ctx, file, f)
	if err != nil {
		return &exitError{code: configcheck.StatusErrors, err: err}
	}
	status := report.Status()
	if err := a.print(checkReport{report, status}); err != nil {
		return &exitError{code: configcheck.StatusErrors, err: err}
	}
	if status == configcheck.StatusClean {
		return nil
	}
	return &exitError{code: status}
}

func (a *app) judge(ctx context.Context, file string, f *checkFlags) (configcheck.Report, error) {
	if f.form == documentsForm {
		return a.judgeDocuments(ctx, file, f)
	}
	for _, form := range a.forms {
		if form.Name == f.form {
			return judgeFile(form, file, f)
		}
	}
	return configcheck.Report{}, fmt.Errorf("--form is %q; use %s", f.form, strings.Join(a.formNames(), " or "))
}

func judgeFile(form Form, file string, f *checkFlags) (configcheck.Report, error) {
	value, err := readFile(file)
	if err != nil {
		return configcheck.Report{}, err
	}
	var inForce []byte
	if f.against == storeArgument {
		return configcheck.Report{}, fmt.Errorf("--against store reads documents only; with --form %s give a file with the version in force", form.Name)
	}
	if f.against != "" {
		if inForce, err = readFile(f.against); err != nil {
			return configcheck.Report{}, err
		}
		if len(inForce) == 0 {
			return configcheck.Report{}, fmt.Errorf("%s is empty; give a file with the version in force", f.against)
		}
	}
	return form.Check(value, inForce, f.known()), nil
}

func (a *app) judgeDocuments(ctx context.Context, file string, f *checkFlags) (configcheck.Report, error) {
	docs, isDirectory, err := readDocuments(file)
	if err != nil {
		return configcheck.Report{}, err
	}
	var inForce map[string][]byte
	switch f.against {
	case "":
		if isDirectory {
			return documents.Check(docs, nil, f.known()), nil
		}
		for name, body := range docs {
			return documents.CheckAlone(name, body), nil
		}
	case storeArgument:
		if _, inForce, err = a.read(ctx, configstore.NewWriter(a.kv)); err != nil {
			return configcheck.Report{}, err
		}
	default:
		if inForce, _, err = readDocuments(f.against); err != nil {
			return configcheck.Report{}, err
		}
	}
	return documents.Check(complete(docs, inForce, !isDirectory || f.against == storeArgument), inForce, f.known()), nil
}

// complete returns docs with the documents in force that they leave as they are: all others
// if others is set, as when they are loaded, else the inventory if docs have none.
func complete(docs, inForce map[string][]byte, others bool) map[string][]byte {
	all := maps.Clone(docs)
	hasInventory := false
	for name := range docs {
		hasInventory = hasInventory || strings.HasPrefix(name, config.InventoryPrefix)
	}
	for name, body := range inForce {
		_, given := docs[name]
		if !given && (others || (!hasInventory && strings.HasPrefix(name, config.InventoryPrefix))) {
			all[name] = body
		}
	}
	return all
}

// readDocuments returns the documents of a directory with its asset register's export, if it
// has one, or the document in a file.
func readDocuments(file string) (docs map[string][]byte, isDirectory bool, err error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, false, err
	}
	if !info.IsDir() {
		docs, err = readDocument(file)
		return docs, false, err
	}
	if docs, err = ReadDirectory(os.DirFS(file)); err != nil {
		return nil, true, fmt.Errorf("%s: %w", file, err)
	}
	inventory, err := readInventory(filepath.Join(file, "inventory.csv"))
	if err != nil {
		return nil, true, err
	}
	maps.Copy(docs, inventory)
	return docs, true, nil
}

// readInventory returns no documents if the file does not exist.
func readInventory(file string) (map[string][]byte, error) {
	data, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	zones, err := ReadAssets(file, data)
	if err != nil {
		return nil, err
	}
	return InventoryDocuments(zones)
}

// readDocument returns the document in a file, which is named by its first line if rules get
// wrote it, else by its path.
func readDocument(file string) (map[string][]byte, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	if directory := filepath.Base(filepath.Dir(file)); name != config.ZonesDocument {
		name = directory + "/" + name
	}
	var fromBase string
	if _, err := fmt.Sscanf(string(body), "# kumquatctl: %s from version", &fromBase); err == nil {
		name = fromBase
	}
	return map[string][]byte{name: body}, nil
}
