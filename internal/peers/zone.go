package peers

import (
	"maps"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"kumquatyard/internal/packed"
	"kumquatyard/internal/store"
	pb "kumquatyard/proto/kumquat/v1"
)

// InstanceCount returns the number of instances, including this one, that the store lists
// or whose states are in the last sum.
func (e *Exchange) InstanceCount(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(len(e.listed)+1, int(e.freshSum(now).GetInstances()))
}

// Others returns the other instances that the store lists.
func (e *Exchange) Others() []*pb.Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Values(e.listed))
}

// freshSum returns the last sum, nil if it is too old.
func (e *Exchange) freshSum(now time.Time) *pb.FleetSum {
	if now.Sub(e.sumAt) >= sumTimeout {
		return nil
	}
	return e.sum
}

// AllReported reports whether the usage counts of every other instance that the store lists
// arrived within the given time.
func (e *Exchange) AllReported(within time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	since := time.Now().Add(-within)
	for name := range e.listed {
		if e.usageSeen[name].Before(since) {
			return false
		}
	}
	return true
}

// NewestConfig returns the greatest configuration version with which an instance serves,
// and the status address of one that does. The version is 0 if it is not known.
func (e *Exchange) NewestConfig(now time.Time) (version uint64, statusAddress string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	config := e.freshSum(now).GetConfig()
	return config.GetVersion(), config.GetStatusAddress()
}

// Relay returns the name of the instance that reads the store for the zone; empty if there
// is none that reaches it, or no other instance in the zone. While instances disagree,
// they only read the store more often than needed.
func (e *Exchange) Relay(now time.Time) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := e.freshSum(now)
	if len(sum.GetMembers()) < 2 {
		return ""
	}
	return sum.GetRelay()
}

// ReplayFrom returns the lowest store revision of an era that was applied by an instance of
// the zone that does not reach the store; zero if there is no such instance.
func (e *Exchange) ReplayFrom(era uint64, now time.Time) store.Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := e.freshSum(now)
	if sum.GetReplayRevision() == 0 || sum.GetReplayEra() != era {
		return store.Revision{}
	}
	return store.Revision{Era: era, Number: sum.GetReplayRevision()}
}

const (
	// maxRelayBytes bounds the bytes sent for one batch of changes to all instances of
	// the zone: a quarter of a second at 10 Mbit/s. Each instance reads the changes of
	// a larger batch from the store.
	maxRelayBytes = 320 << 10
	// maxChangesBytes bounds a batch of changes after decompression.
	maxChangesBytes = 256 << 10
)

// SendChanges sends changes of the store to the other instances of the zone, and
// returns the number of bytes sent. It sends only the revision of a batch that
// exceeds maxRelayBytes.
func (e *Exchange) SendChanges(changes *pb.StoreChanges) int {
	conn := e.conn.Load()
	e.mu.Lock()
	zoneAddresses := e.zoneAddresses(time.Now())
	e.mu.Unlock()
	if conn == nil || len(zoneAddresses) == 0 {
		return 0
	}
	data, err := encodeChanges(changes)
	if err == nil && len(data)*len(zoneAddresses) > maxRelayBytes {
		changes.After, changes.Items = changes.GetRevision(), nil
		data, err = encodeChanges(changes)
	}
	if err != nil {
		e.options.Log.WithError(err).Error("store changes cannot be encoded; not relaying them to the other instances of the zone")
		return 0
	}
	for _, address := range zoneAddresses {
		sendDatagram(conn, data, address)
	}
	return len(data) * len(zoneAddresses)
}

// encodeChanges returns the datagram of changes, compressed.
func encodeChanges(changes *pb.StoreChanges) ([]byte, error) {
	block, err := packed.Marshal(changes)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&pb.PeerMessage{Body: &pb.PeerMessage_Changes{Changes: block}})
}

// zoneAddresses returns the addresses of the zone's other instances: those that the store
// lists and those whose states arrive.
func (e *Exchange) zoneAddresses(now time.Time) []*net.UDPAddr {
	names := make(map[string]bool)
	addNames(names, e.zones[e.options.Self.GetZone()])
	addNames(names, e.aggregator.Members(now))
	return e.addressesOf(names)
}
