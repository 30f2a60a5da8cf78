package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/store"
	pb "kumquatyard/proto/kumquat/v1"
)

// pictureKeeper publishes the picture that requests read.
type pictureKeeper struct {
	current atomic.Pointer[fleet.Snapshot]

	mu       sync.Mutex
	config   *fleet.Config
	registry *fleet.Registry
	log      *logrus.Entry
	// configured is told of each configuration in force; may be nil.
	configured func(*fleet.Config)
}

func newPictureKeeper(log *logrus.Entry) *pictureKeeper {
	return &pictureKeeper{registry: fleet.NewRegistry(), log: log}
}

// Load returns the picture, nil before the first configuration.
func (k *pictureKeeper) Load() *fleet.Snapshot { return k.current.Load() }

// publish is called with mu held.
func (k *pictureKeeper) publish() {
	if k.config == nil {
		return
	}
	k.current.Store(&fleet.Snapshot{Config: k.config, Servers: k.registry.Snapshot()})
}

// setConfig takes a configuration unless a later one is in force.
func (k *pictureKeeper) setConfig(c *fleet.Config) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.config != nil && c.Version <= k.config.Version {
		return
	}
	k.config = c
	if k.configured != nil {
		k.configured(c)
	}
	k.publish()
	k.log.WithFields(logrus.Fields{"event": "config_applied", "version": c.Version, "pools": len(c.Pools), "workspaces": len(c.Workspaces)}).Info("configuration in force")
}

// update changes the servers.
func (k *pictureKeeper) update(change func(r *fleet.Registry)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(k.registry)
	k.publish()
}

// expire drops servers whose entries stayed missing after an outage.
func (k *pictureKeeper) expire(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.registry.Expire(now) {
		k.publish()
	}
}

// configHandler follows the configuration's key.
type configHandler struct {
	key    string
	decode func([]byte) (*fleet.Config, error)
	keeper *pictureKeeper
	log    *logrus.Entry
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
			h.log.WithError(err).WithFields(logrus.Fields{"event": "config_rejected", "revision": item.Revision}).Error("configuration cannot be read; the one before stays in force")
			continue
		}
		h.keeper.setConfig(config)
	}
}

// serverHandler follows the servers' entries.
type serverHandler struct {
	decode func(store.Item, time.Time) (fleet.Server, error)
	id     func(key string) machine.ID
	keeper *pictureKeeper
	log    *logrus.Entry
}

// Resync implements follow.Handler.
func (h *serverHandler) Resync(items []store.Item, now, lapsedUntil time.Time) {
	servers := make([]fleet.Server, 0, len(items))
	for _, item := range items {
		if s, ok := h.decoded(item, now); ok {
			servers = append(servers, s)
		}
	}
	h.keeper.update(func(r *fleet.Registry) { r.Resync(servers, lapsedUntil) })
	h.log.WithFields(logrus.Fields{"event": "servers_read", "servers": len(servers), "after_outage": !lapsedUntil.IsZero()}).Info("list of servers read")
}

// Change implements follow.Handler.
func (h *serverHandler) Change(items []store.Item, now, lapsedUntil time.Time) {
	h.keeper.update(func(r *fleet.Registry) {
		for _, item := range items {
			h.apply(r, item, now, lapsedUntil)
		}
	})
}

func (h *serverHandler) apply(r *fleet.Registry, item store.Item, now, lapsedUntil time.Time) {
	id := h.id(item.Key)
	if item.Removed {
		h.log.WithFields(logrus.Fields{"event": "server_removed", "server": id, "revision": item.Revision, "after_outage": !lapsedUntil.IsZero()}).Info("the server's entry was removed")
		r.Remove(id, lapsedUntil)
		return
	}
	s, ok := h.decoded(item, now)
	if !ok {
		return
	}
	if old := r.Get(id); old == nil || old.Lifecycle != s.Lifecycle || old.StartedAtMs != s.StartedAtMs {
		h.log.WithFields(logrus.Fields{
			"event": "server_state", "server": id, "pool": s.Pool, "zone": s.Zone, "state": s.Lifecycle, "born": s.StartedAtMs,
			"reclaimable": s.Reclaimable, "leaves_ms": s.LeavesIn.Milliseconds(), "revision": item.Revision,
		}).Info("the server's state changed")
	}
	r.Report(s)
}

func (h *serverHandler) decoded(item store.Item, now time.Time) (fleet.Server, bool) {
	s, err := h.decode(item, now)
	if err != nil {
		h.log.WithError(err).WithFields(logrus.Fields{"event": "server_unreadable", "revision": item.Revision}).Debug("entry passed over")
		return s, false
	}
	return s, true
}

// memberHandler follows the instances' entries.
type memberHandler struct {
	changed func([]*pb.Instance)
	log     *logrus.Entry
	members map[string]*pb.Instance
}

// Resync implements follow.Handler.
func (h *memberHandler) Resync(items []store.Item, _, _ time.Time) {
	h.members = make(map[string]*pb.Instance)
	h.apply(items)
}

// Change implements follow.Handler.
func (h *memberHandler) Change(items []store.Item, _, _ time.Time) { h.apply(items) }

func (h *memberHandler) apply(items []store.Item) {
	for _, item := range items {
		if item.Removed {
			delete(h.members, item.Key)
			continue
		}
		var instance pb.Instance
		if err := proto.Unmarshal(item.Value, &instance); err != nil {
			h.log.WithError(err).WithField("key", item.Key).Warn("entry of an instance cannot be read")
			continue
		}
		h.members[item.Key] = &instance
	}
	list := make([]*pb.Instance, 0, len(h.members))
	for _, m := range h.members {
		list = append(list, m)
	}
	h.changed(list)
}
