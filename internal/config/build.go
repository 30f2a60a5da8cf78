package config

import (
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/settings"
	"kumquatyard/internal/zone"
)

// Build parses and checks docs, keyed by document name, and returns the
// configuration they describe. All problems found are joined in the error.
func Build(version uint64, docs map[string][]byte) (*Config, error) {
	parsed := make([]*Document, 0, len(docs))
	var problems []error
	for _, name := range slices.Sorted(maps.Keys(docs)) {
		doc, err := Parse(name, docs[name])
		if err != nil {
			problems = append(problems, err)
			continue
		}
		parsed = append(parsed, doc)
	}
	if len(problems) > 0 {
		return nil, errors.Join(problems...)
	}
	return Assemble(version, parsed)
}

// Assemble checks the documents against one another and returns the
// configuration they describe.
func Assemble(version uint64, docs []*Document) (*Config, error) {
	sorted := slices.SortedFunc(slices.Values(docs), func(a, b *Document) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	b := newBuilder(version)
	b.addFleet(&Document{Name: FleetDocument, fleet: defaultFleet()})
	for _, doc := range sorted {
		b.addZones(doc)
	}
	for _, doc := range sorted {
		b.addServers(doc)
		b.addFleet(doc)
		b.addWorkspace(doc)
	}
	b.applyOverrides(sorted, true)
	b.applyOverrides(sorted, false)
	b.checkContractReachability()
	if len(b.problems) > 0 {
		return nil, errors.Join(b.problems...)
	}
	b.config.Index()
	return b.config, nil
}

// builder assembles a Config from documents and collects the errors found.
type builder struct {
	config    *Config
	zones     map[string]zone.Zone
	addresses map[string]machine.ID
	digests   map[Digest]string
	problems  []error
}

func newBuilder(version uint64) *builder {
	return &builder{
		config: &Config{
			Version:    version,
			Servers:    make(map[machine.ID]machine.Server),
			Workspaces: make(map[string]Workspace),
			Drained:    make(map[machine.ID]bool),
		},
		zones:     make(map[string]zone.Zone),
		addresses: make(map[string]machine.ID),
		digests:   make(map[Digest]string),
	}
}

func (b *builder) fail(err error) { b.problems = append(b.problems, err) }

func (b *builder) warn(format string, args ...any) {
	b.config.Warnings = append(b.config.Warnings, fmt.Sprintf(format, args...))
}

func (b *builder) addZones(doc *Document) {
	if doc.zones == nil {
		return
	}
	for _, z := range doc.zones {
		b.zones[z.Name] = z
	}
	b.config.Zones = zone.NewMap(doc.zones)
}

func (b *builder) addServers(doc *Document) {
	for i, s := range doc.servers {
		if _, ok := b.zones[s.Zone]; !ok {
			b.fail(settings.Problem{File: doc.Name, Key: "servers", Fix: fmt.Sprintf("are in zone %q, which document zones does not list; add it there", s.Zone)})
			return
		}
		id, address := fmt.Sprintf("servers[%d].id", i), fmt.Sprintf("servers[%d].address", i)
		if other, ok := b.config.Servers[s.ID]; ok {
			b.fail(doc.problem(id, "is %q, which is already used in zone %s; give each server its own id", s.ID, other.Zone))
			continue
		}
		if _, ok := b.zones[string(s.ID)]; ok {
			b.fail(doc.problem(id, "is %q, which is the name of a zone; rename the server", s.ID))
		}
		if other, ok := b.addresses[s.Address]; ok {
			b.fail(doc.problem(address, "is %q, which is also the address of %s; correct one of them", s.Address, other))
		}
		if s.Kind == machine.Engine && len(s.Models) == 0 {
			b.warn("%s: server %s is an engine without models; it serves no requests", doc.Name, s.ID)
		}
		b.addresses[s.Address] = s.ID
		b.config.Servers[s.ID] = s
	}
}

func (b *builder) addFleet(doc *Document) {
	if doc.fleet == nil {
		return
	}
	for _, c := range doc.fleet.Contracts {
		b.config.Contracts = append(b.config.Contracts, c.contract())
	}
	b.config.Routing = doc.fleet.Routing
	b.config.Limits = doc.fleet.Limits
	b.config.Placement = doc.fleet.Placement
	b.config.TokenKeys = doc.fleet.TokenKeys
}

func (b *builder) addWorkspace(doc *Document) {
	if doc.workspace == nil {
		return
	}
	for i, text := range doc.workspace.APIKeySHA256 {
		digest, err := parseDigest(text)
		if err != nil {
			b.fail(doc.problem(fmt.Sprintf("api_key_sha256[%d]", i), "is not a SHA-256 digest; make one with kumquatctl keys api"))
			continue
		}
		if other, ok := b.digests[digest]; ok {
			b.fail(doc.problem(fmt.Sprintf("api_key_sha256[%d]", i), "is also listed in workspace %s; give each workspace its own key", other))
		}
		b.digests[digest] = doc.workspace.Name
	}
	b.config.Workspaces[doc.workspace.Name] = *doc.workspace
}

func parseDigest(text string) (Digest, error) {
	var digest Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(digest) {
		return digest, fmt.Errorf("not a hexadecimal SHA-256 digest: %q", text)
	}
	copy(digest[:], raw)
	return digest, nil
}

// applyOverrides applies the overrides of zones when forZones is set, and all
// others when it is not. Applying the zones' first gives a server's own
// override precedence.
func (b *builder) applyOverrides(docs []*Document, forZones bool) {
	for _, doc := range docs {
		name := doc.Name[min(len(OverridesPrefix), len(doc.Name)):]
		_, isZone := b.zones[name]
		if doc.override == nil || isZone != forZones {
			continue
		}
		if isZone {
			b.overrideZone(name, *doc.override)
			continue
		}
		b.overrideMachine(machine.ID(name), *doc.override)
	}
}

func (b *builder) overrideZone(name string, o Override) {
	for id, s := range b.config.Servers {
		if s.Zone == name {
			b.overrideMachine(id, o)
		}
	}
}

// overrideMachine applies o to the server with the given id. The id may be
// absent from the inventory: it can name an entry instance, or a server that a
// later import adds again.
func (b *builder) overrideMachine(id machine.ID, o Override) {
	if o.Drain != nil && *o.Drain {
		b.config.Drained[id] = true
	}
	if o.Drain != nil && !*o.Drain {
		delete(b.config.Drained, id)
	}
	s, ok := b.config.Servers[id]
	if !ok {
		b.warn("%s%s: names neither a zone nor a server of the inventory; it is kept for an entry instance or a later import", OverridesPrefix, id)
		return
	}
	b.config.Servers[id] = o.apply(s)
}

// apply returns s with the values that o sets.
func (o Override) apply(s machine.Server) machine.Server {
	if o.Reclaimable != nil {
		s.Reclaimable = *o.Reclaimable
	}
	if o.ChecksFencing != nil {
		s.ChecksFencing = *o.ChecksFencing
	}
	if o.PricePerHour != nil {
		s.PricePerHour = *o.PricePerHour
	}
	return s
}

// checkContractReachability warns about contracts whose pool has no suitable
// server and about contracts that an earlier one shadows.
func (b *builder) checkContractReachability() {
	poolKinds := make(map[string]machine.Kind)
	for _, s := range b.config.Servers {
		poolKinds[s.Pool] = max(poolKinds[s.Pool], s.Kind)
	}
	for i, c := range b.config.Contracts {
		required := machine.Engine
		if c.Target == contract.Service {
			required = machine.Service
		}
		if kind, ok := poolKinds[c.Pool]; !ok || kind != required {
			b.warn("%s: contract %s: pool %s has no %s server in the inventory; its requests are refused", FleetDocument, c.Name, c.Pool, targetName(c.Target))
		}
		for _, earlier := range b.config.Contracts[:i] {
			if shadows(earlier, c) {
				b.warn("%s: contract %s: is never used because %s precedes it and matches the same requests; put it first", FleetDocument, c.Name, earlier.Name)
			}
		}
	}
}

func targetName(t contract.Target) string {
	if t == contract.Service {
		return "service"
	}
	return "model"
}

// shadows reports whether earlier matches every request that later matches. An
// interactive contract does not shadow a deferrable one: requests marked as
// deferrable skip it.
func shadows(earlier, later contract.Contract) bool {
	if earlier.Priority == contract.Interactive && later.Priority == contract.Deferrable {
		return false
	}
	return (earlier.Method == "" || earlier.Method == later.Method) && underPrefix(later.PathPrefix, earlier.PathPrefix)
}
