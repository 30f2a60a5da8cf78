package peers

import (
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"kumquatyard/internal/packed"
	pb "kumquatyard/proto/kumquat/v1"
)

// Relay returns the name of the instance that reads the store for the zone:
// the first by name of those that are heard, reach the store and do not stop.
// fit says whether this instance is one. The name is empty when there is none,
// or when no other instance is in the zone. Instances that disagree for a while
// only read more often than needed.
func (e *Exchange) Relay(fit bool, now time.Time) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	first, others := "", false
	if fit {
		first = e.options.Name
	}
	for name, p := range e.peers {
		if p.zone != e.options.Zone || now.Sub(p.heard) >= aliveFor {
			continue
		}
		others = true
		if p.fit && (first == "" || name < first) {
			first = name
		}
	}
	if !others {
		return ""
	}
	return first
}

// ReplayFrom returns the least revision of the store that is known to an instance of
// the zone that does not reach it; 0 when there is none.
func (e *Exchange) ReplayFrom(now time.Time) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	least := uint64(0)
	for _, p := range e.peers {
		if p.zone == e.options.Zone && p.knows > 0 && now.Sub(p.heard) < aliveFor && (least == 0 || p.knows < least) {
			least = p.knows
		}
	}
	return least
}

const (
	// maxFeedBytes bounds what one batch of changes takes of the link, over all
	// instances of the zone: a quarter of a second at 10 Mbit/s. A larger one is
	// read from the store by each instance.
	maxFeedBytes = 320 << 10
	// maxChangesBytes bounds changes after decompression.
	maxChangesBytes = 256 << 10
)

// SendChanges passes changes of the store on to the instances of the zone, and
// returns the bytes that were sent.
func (e *Exchange) SendChanges(changes *pb.StoreChanges) int {
	conn := e.conn.Load()
	neighbours := e.neighbours()
	if conn == nil || len(neighbours) == 0 {
		return 0
	}
	data, err := compress(changes)
	if err == nil && len(data)*len(neighbours) > maxFeedBytes {
		changes.After, changes.Items = changes.GetRevision(), nil
		data, err = compress(changes)
	}
	if err != nil {
		e.options.Log.WithError(err).Error("changes of the store cannot be encoded")
		return 0
	}
	for _, address := range neighbours {
		sendDatagram(conn, data, address)
	}
	return len(data) * len(neighbours)
}

// compress returns the datagram of changes.
func compress(changes *pb.StoreChanges) ([]byte, error) {
	block, err := packed.Marshal(changes)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&pb.PeerMessage{Body: &pb.PeerMessage_Changes{Changes: block}})
}

// neighbours returns the addresses of the zone's other instances.
func (e *Exchange) neighbours() []*net.UDPAddr {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []*net.UDPAddr
	for _, p := range e.peers {
		if p.zone == e.options.Zone {
			list = append(list, p.address)
		}
	}
	return list
}
