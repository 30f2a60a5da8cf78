package ctl

import (
	"context"
	"fmt"

	"github.com/goccy/go-yaml"

	"kumquatyard/internal/config"
	"kumquatyard/internal/configstore"
	"kumquatyard/internal/settings"
)

// maxDrainAttempts bounds the attempts of a drain whose override is being
// modified concurrently.
const maxDrainAttempts = 5

// drain sets the drain key in the override of a server, zone or entry instance.
// The override's other keys are unchanged.
func (a *app) drain(ctx context.Context, id string, drained bool, note string) error {
	w := configstore.NewWriter(a.kv)
	var change config.Change
	for range maxDrainAttempts {
		head, docs, err := a.read(ctx, w)
		if err != nil {
			return err
		}
		name := config.OverridesPrefix + id
		body, err := drainOverride(name, docs[name], drained, note)
		if err != nil {
			return err
		}
		change = a.newChange("", head)
		put(&change, head, name, body)
		result, err := w.Apply(ctx, change)
		if err != nil {
			return err
		}
		if result.Outcome != configstore.Conflicted {
			return a.report(ctx, change.ID, result, nil)
		}
	}
	return fmt.Errorf("the override of %s was modified concurrently in each of %d attempts; nothing was changed", id, maxDrainAttempts)
}

// drainOverride returns the override document body with the drain key, and the
// note unless it is empty, set.
func drainOverride(name string, body []byte, drained bool, note string) ([]byte, error) {
	var o config.Override
	if err := settings.Decode(name, body, &o); err != nil {
		return nil, err
	}
	o.Drain = &drained
	if note != "" {
		o.Note = note
	}
	return yaml.Marshal(o)
}
