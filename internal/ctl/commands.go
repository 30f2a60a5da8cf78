package ctl

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"kumquatyard/internal/process"
	"kumquatyard/internal/settings"
)

// command is a subcommand and the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func(context.Context) error
}

// commandLine holds the parsed flags and arguments.
type commandLine struct {
	settingsFile string
	file, name   string
	changeID     string
	note         string
	names        []string
	dryRun       bool
	force        bool
	checkOnly    bool
	check        checkFlags
}

// parse parses flags and settings and returns the command to run.
func (a *app) parse(args []string) (func(context.Context) error, error) {
	c := &commandLine{settingsFile: defaultSettingsFile}
	if file, ok := settingsFlag(args); ok {
		c.settingsFile = file
	}
	if err := a.loadSettings(c.settingsFile); err != nil {
		return nil, err
	}
	parser := flaggy.NewParser("kumquatctl")
	parser.Description = "operators' command line of kumquatyard"
	parser.Version = process.Version
	a.globalFlags(parser, c)
	commands := a.commands(parser, c)
	if err := parser.ParseArgs(args); err != nil {
		return nil, usage("%w", err)
	}
	if c.checkOnly {
		return a.checkSettings, nil
	}
	if a.Output != "table" && a.Output != "json" {
		return nil, usage("--output is %q; use table or json", a.Output)
	}
	for _, candidate := range commands {
		if candidate.sub.Used {
			return candidate.run, nil
		}
	}
	parser.ShowHelp()
	return nil, usage("the command is missing; use one of those listed above")
}

// settingsFlag returns the value of --config. It is parsed before the other
// flags because the settings file provides their defaults.
func settingsFlag(args []string) (string, bool) {
	for i, arg := range args {
		if value, ok := strings.CutPrefix(arg, "--config="); ok {
			return value, true
		}
		if (arg == "--config" || arg == "-c") && i+1 < len(args) {
			return args[i+1], true
		}
	}
	return "", false
}

func (a *app) loadSettings(file string) error {
	a.Settings = defaultSettings()
	err := settings.Load(file, &a.Settings)
	if file == defaultSettingsFile && errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	return nil
}

func (a *app) checkSettings(context.Context) error {
	return a.print(outcome{Outcome: "settings are valid"})
}

func (a *app) globalFlags(p *flaggy.Parser, c *commandLine) {
	p.String(&c.settingsFile, "c", "config", "settings file (YAML)")
	p.Bool(&c.checkOnly, "", "check-settings", "check the settings file and exit")
	p.String(&a.KV, "", "kv", "address of the key-value service")
	p.String(&a.Agent, "", "agent", "address of an agent")
	p.String(&a.Keys, "", "keys", "directory with ca.pem, ctl.pem and ctl-key.pem")
	p.String(&a.Output, "o", "output", "table or json")
	p.String(&a.Author, "", "author", "name under which changes are recorded")
	p.Duration(&a.Timeout, "", "timeout", "longest time for the command")
}

func (a *app) commands(p *flaggy.Parser, c *commandLine) []command {
	importCmd := newCommand(p, "import", "import an asset register's export; overrides stay in force")
	importCmd.AddPositionalValue(&c.file, "FILE", 1, true, "file ending in .csv or .json")
	importCmd.Bool(&c.dryRun, "", "dry-run", "show the difference and change nothing")
	importCmd.String(&c.changeID, "", "change", "id of an earlier run whose outcome is unknown")

	drain := newCommand(p, "drain", "drain a server, zone or entry instance: it gets no new work")
	drain.AddPositionalValue(&c.name, "ID", 1, true, "server, zone or entry instance")
	drain.String(&c.note, "", "note", "reason, stored with the override")
	undrain := newCommand(p, "undrain", "end the drain of a server, zone or entry instance")
	undrain.AddPositionalValue(&c.name, "ID", 1, true, "server, zone or entry instance")
	status := newCommand(p, "status", "show the configuration version, peers, servers and duties known to an agent")
	explain := newCommand(p, "explain", "explain why a request was routed to its server")
	explain.AddPositionalValue(&c.name, "REQUEST", 1, true, "request id")

	commands := []command{
		{importCmd, func(ctx context.Context) error { return a.importFile(ctx, c.file, c.changeID, c.dryRun) }},
		{drain, func(ctx context.Context) error { return a.drain(ctx, c.name, true, c.note) }},
		{undrain, func(ctx context.Context) error { return a.drain(ctx, c.name, false, c.note) }},
		{status, a.status},
		{explain, func(ctx context.Context) error { return a.explain(ctx, c.name) }},
	}
	commands = append(commands, a.checkCommand(p, c))
	commands = append(commands, a.rulesCommands(p, c)...)
	return append(commands, a.keysCommands(p, c)...)
}

// newCommand adds a top-level command.
func newCommand(p *flaggy.Parser, name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	p.AttachSubcommand(sub, 1)
	return sub
}

// newSubcommand adds a subcommand to parent.
func newSubcommand(parent *flaggy.Subcommand, name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	parent.AttachSubcommand(sub, 1)
	return sub
}

func (a *app) rulesCommands(p *flaggy.Parser, c *commandLine) []command {
	rules := newCommand(p, "rules", "read and change the configuration's documents")
	list := newSubcommand(rules, "list", "list the documents")
	get := newSubcommand(rules, "get", "print a document, preceded by a line with its version")
	edit := newSubcommand(rules, "edit", "write a document to a file in the working directory, to be edited and passed to rules apply")
	apply := newSubcommand(rules, "apply", "store a document; the file's first line names the version it was edited from")
	diff := newSubcommand(rules, "diff", "show how a file differs from the document in force")
	remove := newSubcommand(rules, "delete", "delete a document")
	load := newSubcommand(rules, "load", "store zones.yaml, rules/*.yaml and overrides/*.yaml of a directory as one change")
	history := newSubcommand(rules, "history", "list the last accepted changes")
	for _, sub := range []*flaggy.Subcommand{get, edit, apply, diff, remove} {
		sub.AddPositionalValue(&c.name, "NAME", 1, true, "document, such as rules/fleet")
	}
	for _, sub := range []*flaggy.Subcommand{apply, diff} {
		sub.AddPositionalValue(&c.file, "FILE", 2, true, "file with the document")
	}
	load.AddPositionalValue(&c.file, "DIRECTORY", 1, true, "directory with the documents")
	for _, sub := range []*flaggy.Subcommand{apply, load, remove} {
		sub.String(&c.changeID, "", "change", "id of an earlier run whose outcome is unknown")
	}
	apply.Bool(&c.force, "", "force", "overwrite the document regardless of the version in force")
	return []command{
		{list, a.listDocuments},
		{get, func(ctx context.Context) error { return a.getDocument(ctx, c.name) }},
		{edit, func(ctx context.Context) error { return a.editDocument(ctx, c.name) }},
		{apply, func(ctx context.Context) error { return a.applyDocument(ctx, c.name, c.file, c.changeID, c.force) }},
		{diff, func(ctx context.Context) error { return a.diffDocument(ctx, c.name, c.file) }},
		{remove, func(ctx context.Context) error { return a.deleteDocument(ctx, c.name, c.changeID) }},
		{load, func(ctx context.Context) error { return a.loadDirectory(ctx, c.file, c.changeID) }},
		{history, a.history},
	}
}

func (a *app) keysCommands(p *flaggy.Parser, c *commandLine) []command {
	keys := newCommand(p, "keys", "create certificates and keys")
	dev := newSubcommand(keys, "dev", "create a development CA and certificates in a directory")
	dev.AddPositionalValue(&c.file, "DIRECTORY", 1, true, "directory, created if it does not exist")
	dev.StringSlice(&c.names, "n", "name", "name of a process; may be repeated; ctl is always included")
	token := newSubcommand(keys, "token", "create a key that signs resume tokens, as an entry of token_keys")
	api := newSubcommand(keys, "api", "create an API key and its digest, as an entry of api_key_sha256")
	return []command{
		{dev, func(context.Context) error { return a.developmentKeys(c.file, slices.Clone(c.names)) }},
		{token, func(context.Context) error { return a.tokenKey() }},
		{api, func(context.Context) error { return a.apiKey() }},
	}
}

func readFile(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, usage("%w", err)
	}
	return data, nil
}
