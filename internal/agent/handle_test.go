package agent

import (
	"context"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/config"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/zone"
	pb "kumquatyard/proto/kumquat/v1"
)

// fixedConfig is a ConfigSource whose configuration does not change.
type fixedConfig struct{ config *config.Config }

func (f fixedConfig) Bundle() *pb.ConfigBundle                          { return nil }
func (f fixedConfig) Config() *config.Config                            { return f.config }
func (f fixedConfig) Version() uint64                                   { return f.config.Version }
func (f fixedConfig) Changed() <-chan struct{}                          { return nil }
func (f fixedConfig) RecordPeerVersion(context.Context, string, uint64) {}
func (f fixedConfig) SetWatcher(bool)                                   {}

// TestStatusListsUnobservedServers checks that the status of an agent that has
// just started includes servers that no agent has polled yet, and no servers out
// of its scope.
func TestStatusListsUnobservedServers(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := &config.Config{
		Version: 1,
		Zones:   zone.NewMap([]zone.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}, {Name: "c", Region: "far"}}),
		Servers: map[machine.ID]machine.Server{
			"s1": {ID: "s1", Zone: "a"}, "s2": {ID: "s2", Zone: "b"}, "s3": {ID: "s3", Zone: "c"},
		},
	}
	settings := DefaultSettings()
	settings.ID, settings.Zone, settings.Region = "agent-a", "a", "r"
	a := New(Options{Settings: settings, Config: fixedConfig{cfg}, Log: logrus.NewEntry(log)})
	a.store.Observe(machine.State{ID: "s2", Incarnation: 1, Lifecycle: machine.Serving})
	got := make(map[string]pb.Lifecycle)
	for _, s := range a.status().GetServers() {
		got[s.GetId()] = s.GetLifecycle()
	}
	if len(got) != 2 || got["s1"] != pb.Lifecycle_LIFECYCLE_UNSPECIFIED || got["s2"] != pb.Lifecycle_LIFECYCLE_SERVING {
		t.Errorf("status lists %v, want only s1 as unspecified and s2 as serving", got)
	}
}
