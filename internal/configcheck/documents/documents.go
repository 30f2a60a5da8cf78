// Package documents applies package configcheck to the configuration of kumquat-gateway
// and kumquat-agent, which is a set of named documents.
package documents

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"kumquatyard/internal/config"
	"kumquatyard/internal/configcheck"
	"kumquatyard/internal/contract"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/settings"
)

// Check checks docs, by document name, with the loader that the processes use, and
// compares them with inForce, which is nil for none.
func Check(docs, inForce map[string][]byte, known configcheck.Known) configcheck.Report {
	report := configcheck.Report{Findings: []configcheck.Finding{}, Changes: []string{}}
	checked, err := config.Build(0, docs)
	if err != nil {
		report.Findings = append(report.Findings, problems(err)...)
	} else {
		report.Findings = append(report.Findings, judge(checked, docs, known)...)
	}
	if inForce != nil {
		former, formerErr := config.Build(0, inForce)
		switch {
		case formerErr != nil:
			report.Findings = append(report.Findings, configcheck.Finding{
				Severity: configcheck.Error, Entry: "version in force", Problem: "cannot be read: " + configcheck.Redact(formerErr.Error()), Fix: "compare with documents that are accepted",
			})
		case err == nil:
			report.Changes = configcheck.Differences(describe(former), describe(checked))
		}
	}
	report.Sort()
	return report
}

// CheckAlone checks one document that has no others to be read with.
func CheckAlone(name string, body []byte) configcheck.Report {
	report := configcheck.Report{Findings: []configcheck.Finding{}, Changes: []string{}}
	if _, err := config.Parse(name, body); err != nil {
		report.Findings = problems(err)
	}
	report.Findings = append(report.Findings, configcheck.Finding{
		Severity: configcheck.Note, File: name, Entry: "document", Problem: "was checked on its own, without the documents that it refers to",
		Fix: "check the directory, or give --against",
	})
	report.Sort()
	return report
}

// problems returns the findings for the loader's errors.
func problems(err error) []configcheck.Finding {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var all []configcheck.Finding
		for _, e := range joined.Unwrap() {
			all = append(all, problems(e)...)
		}
		return all
	}
	f := configcheck.Finding{Severity: configcheck.Error, Entry: "configuration", Problem: err.Error()}
	var p settings.Problem
	if errors.As(err, &p) {
		f.File, f.Line, f.Entry, f.Problem = p.File, p.Line, p.Key, p.Fix
	}
	return []configcheck.Finding{withFix(f)}
}

// withFix moves what is to be done, which the loader puts after a semicolon, from the
// problem to the fix, and removes secrets.
func withFix(f configcheck.Finding) configcheck.Finding {
	problem, fix, found := strings.Cut(f.Problem, "; ")
	if !found {
		fix = "correct it"
	}
	if strings.HasSuffix(f.Entry, ".secret_hex") {
		problem, fix = "is not a secret of at least 32 bytes in hexadecimal", "make one with kumquatctl keys token"
	}
	if strings.Contains(f.Entry, "api_key_sha256[") && !strings.HasPrefix(problem, "is also listed") {
		problem, fix = "is not a SHA-256 digest in hexadecimal", "make one with kumquatctl keys api"
	}
	f.Entry, f.Problem, f.Fix = configcheck.Redact(f.Entry), configcheck.Redact(problem), configcheck.Redact(fix)
	return f
}

// judge returns what is wrong with documents that the loader accepts.
func judge(c *config.Config, docs map[string][]byte, known configcheck.Known) []configcheck.Finding {
	var all []configcheck.Finding
	for _, w := range c.Warnings {
		all = append(all, warning(w, c, docs))
	}
	longest := -1
	for i, ct := range c.Contracts {
		all = append(all, judgeContract(c, i, ct, docs, known)...)
		if longest < 0 || ct.Deadline > c.Contracts[longest].Deadline {
			longest = i
		}
	}
	if longest >= 0 {
		for _, f := range known.CheckGrace(entry(c.Contracts[longest]), "deadline", c.Contracts[longest].Deadline) {
			all = append(all, placed(f, longest, "deadline", docs))
		}
	}
	return all
}

// warning returns the finding for a warning of the loader. That a pool has no server is a
// note if there is no inventory at all, as of a directory whose servers are imported.
func warning(text string, c *config.Config, docs map[string][]byte) configcheck.Finding {
	file, problem, _ := strings.Cut(text, ": ")
	f := withFix(configcheck.Finding{Severity: configcheck.Warning, File: file, Entry: file, Problem: problem})
	name, problem, found := strings.Cut(strings.TrimPrefix(f.Problem, "contract "), ": ")
	i := slices.IndexFunc(c.Contracts, func(ct contract.Contract) bool { return ct.Name == name })
	if file != config.FleetDocument || !found || i < 0 {
		return f
	}
	f.Entry, f.Problem = entry(c.Contracts[i]), problem
	if f.Fix == "its requests are refused" {
		if len(c.Servers) == 0 {
			f.Severity = configcheck.Note
		}
		f.Problem, f.Fix = f.Problem+", and its requests are refused", "import such servers, or correct the pool"
	}
	return placed(f, i, "name", docs)
}

func entry(ct contract.Contract) string { return fmt.Sprintf("contract %q", ct.Name) }

// placed returns f at a key of a contract.
func placed(f configcheck.Finding, index int, key string, docs map[string][]byte) configcheck.Finding {
	f.File = config.FleetDocument
	body := docs[config.FleetDocument]
	if f.Line = settings.ProblemAt(f.File, body, fmt.Sprintf("contracts[%d].%s", index, key), "").Line; f.Line == 0 {
		f.Line = settings.ProblemAt(f.File, body, fmt.Sprintf("contracts[%d].name", index), "").Line
	}
	return f
}

func judgeContract(c *config.Config, i int, ct contract.Contract, docs map[string][]byte, known configcheck.Known) []configcheck.Finding {
	var all []configcheck.Finding
	add := func(key, problem, fix string) {
		all = append(all, placed(configcheck.Finding{Severity: configcheck.Warning, Entry: entry(ct), Problem: problem, Fix: fix}, i, key, docs))
	}
	if target := c.Placement.TargetFirstToken; ct.Target == contract.Model && ct.Deadline < target {
		add("deadline", fmt.Sprintf("deadline (%v) is below target_first_token (%v): requests are given up that would still be in time", ct.Deadline, target), "raise deadline above target_first_token")
	}
	if int64(ct.MaxBodyBytes) < known.BodyBytes {
		add("max_body_bytes", fmt.Sprintf("max_body_bytes is %d, but callers send bodies of up to %d bytes", ct.MaxBodyBytes, known.BodyBytes), fmt.Sprintf("raise it to at least %d", known.BodyBytes))
	}
	if listed, drained := servers(c, ct.Pool); listed > 0 && listed == drained {
		add("pool", fmt.Sprintf("every server of pool %s is drained, so its requests are refused", ct.Pool), "end the drain of one of them")
	}
	return all
}

// servers returns the numbers of a pool's servers and of those of them that are drained.
func servers(c *config.Config, pool string) (listed, drained int) {
	for id, s := range c.Servers {
		if s.Pool != pool {
			continue
		}
		listed++
		if c.Drained[id] {
			drained++
		}
	}
	return listed, drained
}

// describe returns the configuration in words.
func describe(c *config.Config) []configcheck.Described {
	text, set := configcheck.Text, configcheck.Set
	var all []configcheck.Described
	var order []string
	for _, ct := range c.Contracts {
		order = append(order, ct.Name)
		all = append(all, configcheck.Described{Kind: "contract", Name: ct.Name, Attributes: []configcheck.Attribute{
			text("method", ct.Method), text("path_prefix", ct.PathPrefix), text("pool", ct.Pool), text("of engines", ct.Target == contract.Model),
			text("idempotent", ct.Idempotent), text("key_required", ct.KeyRequired), text("priority", ct.Priority),
			text("deadline", ct.Deadline), text("max_body_bytes", ct.MaxBodyBytes),
		}})
	}
	all = append(all, configcheck.Described{Kind: "order of contracts", Attributes: []configcheck.Attribute{text("first to last", strings.Join(order, ", "))}})
	for _, name := range slices.Sorted(maps.Keys(c.Workspaces)) {
		w := c.Workspaces[name]
		all = append(all, configcheck.Described{Kind: "workspace", Name: name, Attributes: []configcheck.Attribute{
			configcheck.Fingerprints("api_key_sha256", w.APIKeySHA256), text("weight", w.Weight), text("max_in_flight", w.MaxInFlight), text("retry_ratio", w.RetryRatio),
		}})
	}
	for _, id := range slices.Sorted(maps.Keys(c.Servers)) {
		s := c.Servers[id]
		all = append(all, configcheck.Described{Kind: "server", Name: string(id), Attributes: []configcheck.Attribute{
			text("address", s.Address), text("zone", s.Zone), text("pool", s.Pool), text("engine", s.Kind == machine.Engine),
			text("vendor", s.Vendor), text("class", s.Class), text("accelerators", s.Accelerators), text("price_per_hour", s.PricePerHour),
			text("reclaimable", s.Reclaimable), text("checks_fencing", s.ChecksFencing), set("models", s.Models),
		}})
	}
	return append(all, describeFleet(c)...)
}

func describeFleet(c *config.Config) []configcheck.Described {
	text := configcheck.Text
	var drained, zones, tokenKeys []string
	for _, id := range slices.Sorted(maps.Keys(c.Drained)) {
		drained = append(drained, string(id))
	}
	for _, z := range c.Zones.Zones() {
		zones = append(zones, fmt.Sprintf("%s (region %s)", z.Name, z.Region))
	}
	signer := "none"
	for i, k := range c.TokenKeys {
		tokenKeys = append(tokenKeys, k.ID+" ("+configcheck.Fingerprint(k.SecretHex)+")")
		if i == 0 {
			signer = k.ID
		}
	}
	return []configcheck.Described{
		{Kind: "zones", Attributes: []configcheck.Attribute{configcheck.Set("zones", zones)}},
		{Kind: "drained", Attributes: []configcheck.Attribute{configcheck.Set("servers and instances", drained)}},
		{Kind: "routing", Attributes: []configcheck.Attribute{
			text("policy", c.Routing.Policy), text("evacuation", c.Routing.Evacuation), text("load_bound", c.Routing.LoadBound), text("stale_after", c.Routing.StaleAfter),
		}},
		{Kind: "limits", Attributes: []configcheck.Attribute{
			text("queue_tokens", c.Limits.QueueTokens), text("queue_requests", c.Limits.QueueRequests), text("heartbeat_every", c.Limits.HeartbeatEvery),
		}},
		{Kind: "placement", Attributes: []configcheck.Attribute{
			text("interactive_on_reclaimable", c.Placement.InteractiveOnReclaimable), text("survive_zone_loss", c.Placement.SurviveZoneLoss),
			text("target_first_token", c.Placement.TargetFirstToken), text("target_between_tokens", c.Placement.TargetBetweenTokens),
		}},
		{Kind: "token_keys", Attributes: []configcheck.Attribute{configcheck.Set("keys", tokenKeys), text("signing key", signer)}},
	}
}
