package configcheck

import (
	"fmt"
	"slices"
	"strings"
)

// Described is an entry in words, to be compared with the entry of the same kind and name
// in another version.
type Described struct {
	Kind, Name string
	Attributes []Attribute
}

// Attribute is a named value of an entry: a text, or a set whose members are compared.
type Attribute struct {
	Name, Value string
	// Set is nil for a text.
	Set []string
}

// Text returns an attribute with a single value.
func Text(name string, value any) Attribute { return Attribute{Name: name, Value: fmt.Sprint(value)} }

// Set returns an attribute that is a set.
func Set(name string, members []string) Attribute {
	return Attribute{Name: name, Set: append([]string{}, members...)}
}

// Fingerprints returns an attribute that is a set of secrets, by their fingerprints.
func Fingerprints(name string, secrets []string) Attribute {
	members := make([]string, 0, len(secrets))
	for _, s := range secrets {
		members = append(members, Fingerprint(s))
	}
	return Attribute{Name: name, Set: members}
}

func (a Attribute) String() string {
	value := a.Value
	if a.Set != nil {
		value = strings.Join(a.Set, ", ")
	}
	if value == "" {
		value = "none"
	}
	return a.Name + " " + value
}

// entryKey identifies an entry: repeat counts those of the same kind and name before it.
type entryKey struct {
	kind, name string
	repeat     int
}

// Differences says in words what after changes in before: what is new and changed, in the
// order of after, then what is gone.
func Differences(before, after []Described) []string {
	lines := []string{}
	former, keys := index(before)
	latter, newKeys := index(after)
	for _, k := range newKeys {
		entry := latter[k]
		old, ok := former[k]
		if !ok {
			lines = append(lines, entry.title()+" is new: "+entry.summary())
			continue
		}
		if changes := old.changes(entry); len(changes) > 0 {
			lines = append(lines, entry.title()+": "+strings.Join(changes, "; "))
		}
	}
	for _, k := range keys {
		if _, ok := latter[k]; !ok {
			old := former[k]
			lines = append(lines, old.title()+" is removed: it had "+old.summary())
		}
	}
	return lines
}

func index(entries []Described) (map[entryKey]Described, []entryKey) {
	byKey := make(map[entryKey]Described, len(entries))
	var keys []entryKey
	for _, d := range entries {
		k := entryKey{kind: d.Kind, name: d.Name}
		for _, taken := byKey[k]; taken; _, taken = byKey[k] {
			k.repeat++
		}
		byKey[k] = d
		keys = append(keys, k)
	}
	return byKey, keys
}

func (d Described) title() string {
	if d.Name == "" {
		return d.Kind
	}
	return fmt.Sprintf("%s %q", d.Kind, d.Name)
}

func (d Described) summary() string {
	parts := make([]string, 0, len(d.Attributes))
	for _, a := range d.Attributes {
		parts = append(parts, a.String())
	}
	return strings.Join(parts, ", ")
}

// changes returns what later changes in d. Both have the same attributes in the same order.
func (d Described) changes(later Described) []string {
	var out []string
	for i, a := range later.Attributes {
		old := d.Attributes[i]
		if a.Set != nil {
			out = append(out, setChanges(a.Name, old.Set, a.Set)...)
			continue
		}
		if old.Value != a.Value {
			out = append(out, fmt.Sprintf("%s from %q to %q", a.Name, old.Value, a.Value))
		}
	}
	return out
}

func setChanges(name string, before, after []string) []string {
	var out []string
	for _, m := range after {
		if !slices.Contains(before, m) {
			out = append(out, fmt.Sprintf("%s: %s added", name, m))
		}
	}
	for _, m := range before {
		if !slices.Contains(after, m) {
			out = append(out, fmt.Sprintf("%s: %s removed", name, m))
		}
	}
	return out
}
