package entry

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/packed"
	"kumquatyard/internal/store"
	pb "kumquatyard/proto/kumquat/v1"
)

// snapshotPublisher builds the snapshot of configuration and servers that requests
// read, and publishes a new one on each change.
type snapshotPublisher struct {
	current atomic.Pointer[fleet.Snapshot]

	mu     sync.Mutex
	config *fleet.Config
	// encoded is the configuration as it was read, and compressed the same once it was
	// asked for.
	encoded, compressed []byte

	registry *fleet.Registry
	// withheld is set while the configuration may be older than that of other instances.
	withheld bool
	log      *logrus.Entry
	// onConfig is called with each configuration that is applied; may be nil.
	onConfig func(*fleet.Config)
}

func newSnapshotPublisher(log *logrus.Entry) *snapshotPublisher {
	return &snapshotPublisher{registry: fleet.NewRegistry(), log: log}
}

// Load returns the latest snapshot, nil before the first configuration.
func (p *snapshotPublisher) Load() *fleet.Snapshot { return p.current.Load() }

// publish replaces the snapshot if there is a configuration that is not withheld. It is
// called with mu held.
func (p *snapshotPublisher) publish() {
	if p.config == nil || p.withheld {
		return
	}
	p.current.Store(&fleet.Snapshot{Config: p.config, Servers: p.registry.Snapshot()})
}

// setWithheld sets whether no snapshot is published yet.
func (p *snapshotPublisher) setWithheld(withheld bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.withheld == withheld {
		return
	}
	p.withheld = withheld
	p.publish()
}

// configVersion returns the version of the latest configuration, also if it is
// withheld; 0 before the first.
func (p *snapshotPublisher) configVersion() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config == nil {
		return 0
	}
	return p.config.Version
}

// encodedConfig returns the latest configuration as it was read; nil before the first.
func (p *snapshotPublisher) encodedConfig() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.encoded
}

// compressedConfig returns encodedConfig, compressed.
func (p *snapshotPublisher) compressedConfig() ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.compressed != nil {
		return p.compressed, nil
	}
	compressed, err := packed.Compress(p.encoded)
	if err != nil {
		return nil, err
	}
	p.compressed = compressed
	return compressed, nil
}

// setConfig applies a configuration unless one of the same or a later version is
// already applied.
func (p *snapshotPublisher) setConfig(c *fleet.Config, encoded []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config != nil && c.Version <= p.config.Version {
		return
	}
	p.config, p.encoded, p.compressed = c, encoded, nil
	if p.onConfig != nil {
		p.onConfig(c)
	}
	p.publish()
	p.log.WithFields(logrus.Fields{"event": "config_applied", "version": c.Version, "pools": len(c.Pools), "workspaces": len(c.Workspaces)}).Info("configuration applied")
}

// update changes the registry of servers and publishes a snapshot.
func (p *snapshotPublisher) update(change func(r *fleet.Registry)) {
	p.updateIf(func(r *fleet.Registry) bool {
		change(r)
		return true
	})
}

// updateIf changes the registry of servers and publishes a snapshot if change returns
// true.
func (p *snapshotPublisher) updateIf(change func(r *fleet.Registry) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if change(p.registry) {
		p.publish()
	}
}

// expire removes servers whose entries were not written again after a store outage.
func (p *snapshotPublisher) expire(now time.Time) {
	p.updateIf(func(r *fleet.Registry) bool { return r.Expire(now) })
}

// configHandler applies changes of the configuration's key.
type configHandler struct {
	key       string
	decode    func([]byte) (*fleet.Config, error)
	snapshots *snapshotPublisher
	log       *logrus.Entry
}

// Resync implements follow.Handler.
func (h *configHandler) Resync(items []store.Item, _, _ time.Time) { h.apply(items) }

// Change implements follow.Handler.
func (h *configHandler) Change(items []store.Item, _, _ time.Time) { h.apply(items) }

func (h *configHandler) apply(items []store.Item) {
	for _, item := range items {
		if item.Key != h.key || item.Removed {
			continue
		}
		config, err := h.decode(item.Value)
		if err != nil {
			h.log.WithError(err).WithFields(logrus.Fields{"event": "config_rejected", "revision": item.Revision.Number}).Error("configuration cannot be decoded; keeping the previous one")
			continue
		}
		h.snapshots.setConfig(config, item.Value)
	}
}

// serverHandler applies changes of the servers' entries.
type serverHandler struct {
	decode    func(store.Item, time.Time) (fleet.Server, error)
	id        func(key string) machine.ID
	snapshots *snapshotPublisher
	log       *logrus.Entry
	// unreadable holds the servers whose entries could not be decoded when they were read last.
	unreadable map[machine.ID]bool
}

// Resync implements follow.Handler.
func (h *serverHandler) Resync(items []store.Item, now, expiryGraceUntil time.Time) {
	listed := make(map[machine.ID]bool, len(items))
	servers := make([]fleet.Server, 0, len(items))
	for _, item := range items {
		listed[h.id(item.Key)] = true
		if s, ok := h.tryDecode(item, now); ok {
			servers = append(servers, s)
		}
	}
	maps.DeleteFunc(h.unreadable, func(id machine.ID, _ bool) bool { return !listed[id] })
	h.snapshots.update(func(r *fleet.Registry) { r.Resync(servers, h.unreadable, expiryGraceUntil) })
	h.log.WithFields(logrus.Fields{"event": "servers_read", "servers": len(servers), "after_outage": !expiryGraceUntil.IsZero()}).Info("all server entries read from the store")
}

// Change implements follow.Handler.
func (h *serverHandler) Change(items []store.Item, now, expiryGraceUntil time.Time) {
	h.snapshots.update(func(r *fleet.Registry) {
		for _, item := range items {
			h.apply(r, item, now, expiryGraceUntil)
		}
	})
}

func (h *serverHandler) apply(r *fleet.Registry, item store.Item, now, expiryGraceUntil time.Time) {
	id := h.id(item.Key)
	if item.Removed {
		delete(h.unreadable, id)
		h.log.WithFields(logrus.Fields{"event": "server_removed", "server": id, "revision": item.Revision.Number, "after_outage": !expiryGraceUntil.IsZero()}).Info("server entry was removed from the store")
		r.Remove(id, expiryGraceUntil)
		return
	}
	s, ok := h.tryDecode(item, now)
	if !ok {
		return
	}
	h.logState(r.Get(id), &s, item.Revision)
	r.Report(s)
}

// logState logs a server that is new, restarted or changed its state.
func (h *serverHandler) logState(old, s *fleet.Server, revision store.Revision) {
	former := machine.Unknown
	if old != nil {
		former = old.Lifecycle
		if old.Lifecycle == s.Lifecycle && old.StartedAtMs == s.StartedAtMs {
			return
		}
	}
	h.log.WithFields(logrus.Fields{
		"event": "server_state", "server": s.ID, "pool": s.Pool, "zone": s.Zone, "version": s.Version, "former": former, "state": s.Lifecycle, "born": s.StartedAtMs,
		"reclaimable": s.Reclaimable, "leaves_ms": s.LeavesIn.Milliseconds(), "revision": revision.Number,
	}).Info("server is new, restarted or changed its state")
}

// tryDecode decodes an entry. One that cannot be decoded is another writer's; it is logged once.
func (h *serverHandler) tryDecode(item store.Item, now time.Time) (fleet.Server, bool) {
	id := h.id(item.Key)
	s, err := h.decode(item, now)
	if err == nil {
		delete(h.unreadable, id)
		return s, true
	}
	if !h.unreadable[id] {
		h.log.WithError(err).WithFields(logrus.Fields{
			"event": "server_unreadable", "server": id, "revision": item.Revision.Number, "bytes": len(item.Value),
		}).Warn("server entry cannot be decoded; ignoring it, and keeping what is known of the server")
	}
	if h.unreadable == nil {
		h.unreadable = make(map[machine.ID]bool)
	}
	h.unreadable[id] = true
	return s, false
}

// memberHandler applies changes of the instances' entries.
type memberHandler struct {
	changed func([]*pb.Instance)
	log     *logrus.Entry
	members map[string]*pb.Instance
}

// Resync implements follow.Handler.
func (h *memberHandler) Resync(items []store.Item, _, _ time.Time) {
	former := h.members
	h.members = make(map[string]*pb.Instance)
	for _, item := range items {
		if known := former[item.Key]; known != nil {
			h.members[item.Key] = known
		}
	}
	h.apply(items)
}

// Change implements follow.Handler.
func (h *memberHandler) Change(items []store.Item, _, _ time.Time) { h.apply(items) }

// errInvalidInstance means that an entry is not one that an instance writes.
var errInvalidInstance = errors.New("the entry has no name, or no IPv4 address with a port")

// decodeInstance decodes an instance's entry.
func decodeInstance(value []byte) (*pb.Instance, error) {
	var instance pb.Instance
	if err := proto.Unmarshal(value, &instance); err != nil {
		return nil, fmt.Errorf("decode the entry of an instance: %w", err)
	}
	address, err := netip.ParseAddrPort(instance.GetAddress())
	if err != nil || !address.Addr().Is4() || address.Port() == 0 || instance.GetName() == "" {
		return nil, errInvalidInstance
	}
	return &instance, nil
}

func (h *memberHandler) apply(items []store.Item) {
	for _, item := range items {
		if item.Removed {
			delete(h.members, item.Key)
			continue
		}
		instance, err := decodeInstance(item.Value)
		if err != nil {
			h.log.WithError(err).WithField("key", item.Key).Warn("instance entry cannot be decoded; ignoring it, and keeping what is known of the instance")
			continue
		}
		h.members[item.Key] = instance
	}
	list := make([]*pb.Instance, 0, len(h.members))
	for _, m := range h.members {
		list = append(list, m)
	}
	h.changed(list)
}
