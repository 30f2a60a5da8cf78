// Package fleet runs many agents in one process, connected over real TLS
// sessions, against small stand-ins for servers, gateways and the platform. The
// agent's failure tests use it, and so does test/slopes, which measures the
// figures of docs/CAPACITY.md.
package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"kumquatyard/internal/agent"
	"kumquatyard/internal/config"
	"kumquatyard/internal/configstore"
	"kumquatyard/internal/link"
	"kumquatyard/internal/platform"
	"kumquatyard/internal/standin"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	platformTimeout = 2 * time.Second
	applyTimeout    = 10 * time.Second
)

// Options set the size and the behaviour of a fleet.
type Options struct {
	// KeyDir receives the development keys.
	KeyDir string
	// Zones is the number of zones, which are assigned to Regions in turn.
	Zones, Regions int
	// NodesPerZone and ServersPerZone apply to every zone.
	NodesPerZone, ServersPerZone int
	Intervals                    agent.Intervals
	// ConstantLoad makes servers report the same load at each poll. Otherwise the
	// load differs from poll to poll.
	ConstantLoad bool
	// HashesPerPoll is the number of cache blocks that a server adds between two
	// polls.
	HashesPerPoll int
}

// Fleet is a set of running agents and the stand-ins that they use.
type Fleet struct {
	Nodes     []*Node
	Servers   *Servers
	Gateways  *Gateways
	Instances *InstanceList
	KV        *standin.KV
	Writer    *configstore.Writer

	options   Options
	kvAddress string
	log       *logrus.Entry
	running   conc.WaitGroup
	cancel    context.CancelFunc
	ctx       context.Context
	cleanups  []func()
}

// Start starts the stand-ins, writes a configuration and starts all agents. The
// caller must call Stop on the returned fleet.
func Start(o Options) (*Fleet, error) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{options: o, log: logrus.NewEntry(logger), ctx: ctx, cancel: cancel, Instances: &InstanceList{}}
	if err := f.start(); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() (err error) {
	if err := link.WriteDevelopmentKeys(f.options.KeyDir, []string{"agent", "gateway"}, time.Now()); err != nil {
		return err
	}
	if err := f.startKV(); err != nil {
		return err
	}
	if f.Servers, err = startServers(f.options); err != nil {
		return err
	}
	f.cleanups = append(f.cleanups, f.Servers.stop)
	if err := f.writeConfig(); err != nil {
		return err
	}
	if f.Gateways, err = f.startGateways(); err != nil {
		return err
	}
	return f.startNodes()
}

func (f *Fleet) startKV() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.KV = standin.NewKV(standin.KVOptions{Seed: 1})
	f.running.Go(func() { _ = f.KV.Serve(listener) })
	f.cleanups = append(f.cleanups, f.KV.Close)
	f.kvAddress = listener.Addr().String()
	f.Writer = configstore.NewWriter(platform.NewKVClient(f.kvAddress, platformTimeout))
	return nil
}

// ZoneName returns the name of the i-th zone.
func ZoneName(i int) string { return fmt.Sprintf("z%02d", i) }

// ServerName returns the ID of the j-th server of the i-th zone.
func ServerName(i, j int) string { return fmt.Sprintf("srv-%02d-%03d", i, j) }

func (f *Fleet) writeConfig() error {
	puts := map[string][]byte{}
	var zones strings.Builder
	zones.WriteString("zones:\n")
	for i := range f.options.Zones {
		fmt.Fprintf(&zones, "  - {name: %s, region: r%d}\n", ZoneName(i), i%max(1, f.options.Regions))
		var inventory strings.Builder
		inventory.WriteString("servers:\n")
		for j := range f.options.ServersPerZone {
			fmt.Fprintf(&inventory, "  - {id: %s, address: %q, kind: engine, pool: chat, vendor: v, class: c, price_per_hour: 1, models: [m]}\n",
				ServerName(i, j), f.Servers.address(i, j))
		}
		puts[config.InventoryPrefix+ZoneName(i)] = []byte(inventory.String())
	}
	puts[config.ZonesDocument] = []byte(zones.String())
	puts[config.FleetDocument] = []byte("token_keys:\n  - {id: k, secret_hex: " + strings.Repeat("ab", 32) + "}\n")
	return f.Apply(config.Change{ID: "start", Puts: puts})
}

// Apply applies a configuration change and returns an error unless the change
// is accepted.
func (f *Fleet) Apply(change config.Change) error {
	ctx, cancel := context.WithTimeout(f.ctx, applyTimeout)
	defer cancel()
	result, err := f.Writer.Apply(ctx, change)
	if err != nil {
		return err
	}
	if result.Outcome != configstore.Accepted {
		return fmt.Errorf("configuration change %s: outcome %v, want accepted; problems: %v", change.ID, result.Outcome, result.Problems)
	}
	return nil
}

func (f *Fleet) linkSettings(name, address string, traffic *link.Traffic) link.Settings {
	return link.Settings{
		Listen:   address,
		CertFile: filepath.Join(f.options.KeyDir, name+".pem"),
		KeyFile:  filepath.Join(f.options.KeyDir, name+"-key.pem"),
		CAFile:   filepath.Join(f.options.KeyDir, "ca.pem"),
		Traffic:  traffic,
	}
}

// startNodes adds all nodes to the instance list and then starts them.
func (f *Fleet) startNodes() error {
	for i := range f.options.Zones {
		for j := range f.options.NodesPerZone {
			n, err := f.newNode(i, j)
			if err != nil {
				return err
			}
			f.Nodes = append(f.Nodes, n)
			f.Instances.add(platform.Instance{ID: n.ID, Kind: "entry", Address: n.Address, Zone: n.Zone, Role: "agent", State: "live"})
		}
	}
	for _, n := range f.Nodes {
		n.run()
	}
	return nil
}

// Stop stops all nodes and stand-ins and waits for them.
func (f *Fleet) Stop() {
	var nodes conc.WaitGroup
	for _, n := range f.Nodes {
		nodes.Go(n.Stop)
	}
	nodes.Wait()
	f.cancel()
	for _, stop := range f.cleanups {
		stop()
	}
	f.running.Wait()
}

// Await waits until done returns true for all nodes in one pass and reports
// whether that happened within the limit.
func (f *Fleet) Await(limit time.Duration, done func(n *Node) bool) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		all := true
		for _, n := range f.Nodes {
			all = all && done(n)
		}
		if all {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// InstanceList is a stand-in for the platform's list of instances. An entry stays
// as it is, however stale, until Put replaces it.
type InstanceList struct {
	mu      sync.Mutex
	entries []platform.Instance
}

func (l *InstanceList) add(i platform.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, i)
}

// Put adds an entry or replaces the one with the same ID.
func (l *InstanceList) Put(i platform.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n := range l.entries {
		if l.entries[n].ID == i.ID {
			l.entries[n] = i
			return
		}
	}
	l.entries = append(l.entries, i)
}

// List implements agent.InstanceList.
func (l *InstanceList) List(context.Context) ([]platform.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]platform.Instance(nil), l.entries...), nil
}

// Bundle returns the stored configuration.
func (f *Fleet) Bundle() (*pb.ConfigBundle, error) {
	head, documents, err := f.Writer.Read(f.ctx)
	if err != nil {
		return nil, err
	}
	data, err := head.Marshal()
	if err != nil {
		return nil, err
	}
	bundle := &pb.ConfigBundle{Version: head.Version, Head: data}
	for name, body := range documents {
		bundle.Documents = append(bundle.Documents, &pb.ConfigDocument{Name: name, Hash: string(head.Documents[name]), Body: body})
	}
	return bundle, nil
}
