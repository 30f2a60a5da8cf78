package peers

import (
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	pb "kumquatyard/proto/kumquat/v1"
)

// Reader returns the name of the instance that reads the store for the zone:
// the first by name of those that are heard, reach the store and do not stop.
// fit says whether this instance is one. The name is empty when there is none,
// or when no other instance is in the zone. Instances that disagree for a while
// only read more often than needed.
func (e *Exchange) Reader(fit bool, now time.Time) string {
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

// SendChanges passes changes of the store on to the instances of the zone.
func (e *Exchange) SendChanges(changes *pb.StoreChanges) {
	conn := e.conn.Load()
	if conn == nil {
		return
	}
	data, err := proto.Marshal(&pb.PeerMessage{Body: &pb.PeerMessage_Changes{Changes: changes}})
	if err != nil {
		e.options.Log.WithError(err).Error("changes of the store cannot be encoded")
		return
	}
	for _, address := range e.neighbours() {
		// A datagram that cannot be sent is like one that is lost.
		if _, err := conn.WriteToUDP(data, address); err == nil {
			sentTotal.Inc()
		}
	}
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
