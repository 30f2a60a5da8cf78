package config

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/settings"
	"kumquatyard/internal/zone"
)

// Names and name prefixes of documents.
const (
	ZonesDocument   = "zones"
	FleetDocument   = "rules/fleet"
	InventoryPrefix = "inventory/"
	RulesPrefix     = "rules/"
	OverridesPrefix = "overrides/"
)

// Defaults of keys that are absent from a document.
const (
	defaultMaxBodyBytes   = 1 << 20
	defaultLoadBound      = 1.25
	defaultStaleAfter     = 3 * time.Second
	defaultQueueTokens    = 2_000_000
	defaultQueueRequests  = 2_000
	defaultHeartbeatEvery = 5 * time.Second
	defaultFirstToken     = time.Second
	defaultBetweenTokens  = 44 * time.Millisecond
	defaultMaxInFlight    = 256
	defaultRetryRatio     = 0.1
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Hash is the content address of a document: its SHA-256 in unpadded base64url.
type Hash string

// HashOf returns the content address of body.
func HashOf(body []byte) Hash {
	sum := sha256.Sum256(body)
	return Hash(base64.RawURLEncoding.EncodeToString(sum[:]))
}

// Document is one parsed document. It is immutable and may be shared by several
// Configs.
type Document struct {
	Name string
	body []byte

	zones     []zone.Zone
	servers   []machine.Server
	fleet     *fleet
	workspace *Workspace
	override  *Override
}

// Override holds the values that operators set for a server, a zone or an entry
// instance; they take precedence over the imported inventory. Absent keys keep
// the inventory's values.
type Override struct {
	Drain         *bool    `yaml:"drain,omitempty"`
	Reclaimable   *bool    `yaml:"reclaimable,omitempty"`
	ChecksFencing *bool    `yaml:"checks_fencing,omitempty"`
	PricePerHour  *float64 `yaml:"price_per_hour,omitempty" validate:"omitempty,min=0"`
	Note          string   `yaml:"note,omitempty" validate:"max=500"`
}

type zonesFile struct {
	Zones []zoneEntry `yaml:"zones" validate:"dive"`
}

type zoneEntry struct {
	Name   string `yaml:"name" validate:"required"`
	Region string `yaml:"region" validate:"required"`
}

// Inventory is the body of an inventory document.
type Inventory struct {
	Servers []ServerEntry `yaml:"servers" validate:"dive"`
}

// ServerEntry is one server of an inventory document.
type ServerEntry struct {
	ID            string   `yaml:"id" validate:"required"`
	Address       string   `yaml:"address" validate:"required"`
	Kind          string   `yaml:"kind" validate:"required,oneof=engine service"`
	Pool          string   `yaml:"pool" validate:"required"`
	Vendor        string   `yaml:"vendor"`
	Class         string   `yaml:"class" validate:"required"`
	Accelerators  int      `yaml:"accelerators" validate:"min=0,max=64"`
	PricePerHour  float64  `yaml:"price_per_hour" validate:"min=0"`
	Reclaimable   bool     `yaml:"reclaimable"`
	ChecksFencing bool     `yaml:"checks_fencing"`
	Models        []string `yaml:"models,flow,omitempty" validate:"dive,required"`
}

type fleet struct {
	Contracts []contractEntry `yaml:"contracts" validate:"dive"`
	Routing   Routing         `yaml:"routing"`
	Limits    Limits          `yaml:"limits"`
	Placement Placement       `yaml:"placement"`
	TokenKeys []TokenKey      `yaml:"token_keys" validate:"dive"`
}

type contractEntry struct {
	Name         string        `yaml:"name" validate:"required"`
	Method       string        `yaml:"method" validate:"omitempty,oneof=GET HEAD POST PUT PATCH DELETE"`
	PathPrefix   string        `yaml:"path_prefix" validate:"required,startswith=/"`
	Target       string        `yaml:"target" validate:"required,oneof=model service"`
	Pool         string        `yaml:"pool" validate:"required"`
	Idempotent   bool          `yaml:"idempotent"`
	KeyRequired  bool          `yaml:"key_required"`
	Priority     string        `yaml:"priority" validate:"required,oneof=interactive deferrable"`
	Deadline     time.Duration `yaml:"deadline" validate:"required,min=1ms,max=24h"`
	MaxBodyBytes int           `yaml:"max_body_bytes" validate:"min=0,max=1073741824"`
}

// Parse parses one document and checks it on its own, without regard to other
// documents. Errors name the line, the key and the fix.
func Parse(name string, body []byte) (*Document, error) {
	doc := &Document{Name: name, body: body}
	switch {
	case name == ZonesDocument:
		return doc, doc.parseZones()
	case name == FleetDocument:
		return doc, doc.parseFleet()
	}
	prefix, item, _ := strings.Cut(name, "/")
	if !namePattern.MatchString(item) {
		return nil, settings.Problem{File: name, Key: "name", Fix: "is not a document name; use zones, rules/fleet, rules/WORKSPACE, inventory/ZONE, overrides/SERVER or overrides/ZONE"}
	}
	switch prefix + "/" {
	case InventoryPrefix:
		return doc, doc.parseInventory(item)
	case RulesPrefix:
		return doc, doc.parseWorkspace(item)
	case OverridesPrefix:
		doc.override = &Override{}
		return doc, settings.Decode(name, body, doc.override)
	default:
		return nil, settings.Problem{File: name, Key: "name", Fix: "starts with none of inventory/, rules/, overrides/; rename it"}
	}
}

// problem returns a settings.Problem at the line of key.
func (d *Document) problem(key, format string, args ...any) error {
	return settings.ProblemAt(d.Name, d.body, key, fmt.Sprintf(format, args...))
}

func (d *Document) parseZones() error {
	var file zonesFile
	if err := settings.Decode(d.Name, d.body, &file); err != nil {
		return err
	}
	seen := make(map[string]bool)
	for i, z := range file.Zones {
		key := fmt.Sprintf("zones[%d].name", i)
		if !namePattern.MatchString(z.Name) {
			return d.problem(key, "is %q; use letters, digits, dots, dashes and underscores", z.Name)
		}
		if seen[z.Name] {
			return d.problem(key, "is %q, which is listed twice; remove one", z.Name)
		}
		seen[z.Name] = true
		d.zones = append(d.zones, zone.Zone(z))
	}
	return nil
}

func (d *Document) parseInventory(zoneName string) error {
	var file Inventory
	if err := settings.Decode(d.Name, d.body, &file); err != nil {
		return err
	}
	for i, s := range file.Servers {
		if !namePattern.MatchString(s.ID) {
			return d.problem(fmt.Sprintf("servers[%d].id", i), "is %q; use letters, digits, dots, dashes and underscores", s.ID)
		}
		if _, err := netip.ParseAddrPort(s.Address); err != nil {
			return d.problem(fmt.Sprintf("servers[%d].address", i), "is %q; use IP:port, not a host name", s.Address)
		}
		d.servers = append(d.servers, s.server(zoneName))
	}
	return nil
}

func (s ServerEntry) server(zoneName string) machine.Server {
	kind := machine.Engine
	if s.Kind == "service" {
		kind = machine.Service
	}
	return machine.Server{
		ID: machine.ID(s.ID), Address: s.Address, Kind: kind, Pool: s.Pool, Zone: zoneName,
		Vendor: s.Vendor, Class: s.Class, Accelerators: s.Accelerators, PricePerHour: s.PricePerHour,
		Reclaimable: s.Reclaimable, ChecksFencing: s.ChecksFencing, Models: s.Models,
	}
}

func (d *Document) parseWorkspace(name string) error {
	w := &Workspace{Weight: 1, MaxInFlight: defaultMaxInFlight, RetryRatio: defaultRetryRatio}
	if err := settings.Decode(d.Name, d.body, w); err != nil {
		return err
	}
	if w.Name != name {
		return d.problem("name", "is %q, but the document's name says %q; use the same name", w.Name, name)
	}
	d.workspace = w
	return nil
}

func defaultFleet() *fleet {
	return &fleet{
		Routing:   Routing{Policy: "kumquat", LoadBound: defaultLoadBound, StaleAfter: defaultStaleAfter},
		Limits:    Limits{QueueTokens: defaultQueueTokens, QueueRequests: defaultQueueRequests, HeartbeatEvery: defaultHeartbeatEvery},
		Placement: Placement{TargetFirstToken: defaultFirstToken, TargetBetweenTokens: defaultBetweenTokens},
	}
}

func (d *Document) parseFleet() error {
	d.fleet = defaultFleet()
	if err := settings.Decode(d.Name, d.body, d.fleet); err != nil {
		return err
	}
	return d.checkContracts()
}

func (d *Document) checkContracts() error {
	seen := make(map[string]bool)
	for i, c := range d.fleet.Contracts {
		key := fmt.Sprintf("contracts[%d].", i)
		if seen[c.Name] {
			return d.problem(key+"name", "is %q, which is listed twice; rename one", c.Name)
		}
		seen[c.Name] = true
		if !c.Idempotent && !c.KeyRequired {
			return d.problem(key+"name", "%q is not idempotent, so repeated requests must be detected; set key_required: true, or idempotent: true when repeats do no harm", c.Name)
		}
		if !isCleanPath(c.PathPrefix) {
			return d.problem(key+"path_prefix", "is %q; write it without //, /./ and /../", c.PathPrefix)
		}
	}
	for i, k := range d.fleet.TokenKeys {
		for _, other := range d.fleet.TokenKeys[:i] {
			if other.ID == k.ID {
				return d.problem(fmt.Sprintf("token_keys[%d].id", i), "is %q, which is listed twice; give each key its own id", k.ID)
			}
		}
	}
	return nil
}

func (c contractEntry) contract() contract.Contract {
	out := contract.Contract{
		Name: c.Name, Method: c.Method, PathPrefix: c.PathPrefix, Target: contract.Model, Pool: c.Pool,
		Idempotent: c.Idempotent, KeyRequired: c.KeyRequired, Priority: contract.Interactive,
		Deadline: c.Deadline, MaxBodyBytes: c.MaxBodyBytes,
	}
	if c.Target == "service" {
		out.Target = contract.Service
	}
	if c.Priority == "deferrable" {
		out.Priority = contract.Deferrable
	}
	if out.MaxBodyBytes == 0 {
		out.MaxBodyBytes = defaultMaxBodyBytes
	}
	return out
}
