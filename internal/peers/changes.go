package peers

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"kumquatyard/internal/packed"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// maxRelayTime bounds the time that the relay's link needs to send one batch of changes
	// to all instances of the zone.
	maxRelayTime = 250 * time.Millisecond
	// defaultRelayMbps is assumed for a relay that does not know the bandwidth of its link.
	defaultRelayMbps = 10
	// maxChangesBytes bounds a batch of changes before compression.
	maxChangesBytes = 4 << 20
	// largeValueBytes is the size from which a value is omitted when a batch does not fit.
	largeValueBytes = 4 << 10
	// denseBytes is the size of a datagram from which changes are compressed more densely,
	// which takes more processor time.
	denseBytes = 4 << 10
)

// SendChanges sends changes of the store to the other instances of the zone, and returns
// the time for which that fills the link.
func (e *Exchange) SendChanges(changes *pb.StoreChanges) time.Duration {
	conn := e.conn.Load()
	e.mu.Lock()
	members := e.zoneMembers(time.Now())
	zoneAddresses := e.memberAddresses(members)
	e.mu.Unlock()
	if conn == nil || len(zoneAddresses) == 0 {
		return 0
	}
	data, err := e.encodeForZone(changes, allDecodeZstd(members), len(zoneAddresses))
	if err != nil {
		e.options.Log.WithError(err).Error("store changes cannot be encoded; not relaying them to the other instances of the zone")
		return 0
	}
	for _, address := range zoneAddresses {
		sendDatagram(conn, data, address)
	}
	return e.relayTime(len(data) * len(zoneAddresses))
}

// allDecodeZstd reports whether all instances say that they decode zstd frames: while builds run
// side by side, some may not.
func allDecodeZstd(members []*pb.Instance) bool {
	return !slices.ContainsFunc(members, func(m *pb.Instance) bool { return !m.GetDecodesZstd() })
}

// encodeForZone returns the datagram of changes for a number of instances. If it is too large
// for them, it omits large values, which each instance reads from the store; if it still is,
// it announces the revision only, and each instance reads all changes from the store. dense is set if
// all of them decode zstd frames.
func (e *Exchange) encodeForZone(changes *pb.StoreChanges, dense bool, instances int) ([]byte, error) {
	fits := func(data []byte) bool {
		return len(data) <= maxDatagramBytes && proto.Size(changes) <= maxChangesBytes && e.relayTime(len(data)*instances) <= maxRelayTime
	}
	if data, err := encodeChanges(changes, dense); err != nil || fits(data) {
		return data, err
	}
	omitLargeValues(changes)
	if data, err := encodeChanges(changes, dense); err != nil || fits(data) {
		return data, err
	}
	changes.After, changes.Items = changes.GetRevision(), nil
	return encodeChanges(changes, dense)
}

// omitLargeValues removes the values that have largeValueBytes or more.
func omitLargeValues(changes *pb.StoreChanges) {
	for _, item := range changes.GetItems() {
		if len(item.GetValue()) >= largeValueBytes {
			item.Value, item.ValueOmitted = nil, true
		}
	}
}

// encodeChanges returns the datagram of changes, compressed: as an S2 block, which all builds
// decode, or with dense as a zstd frame if the block is large.
func encodeChanges(changes *pb.StoreChanges, dense bool) ([]byte, error) {
	block, err := packed.Marshal(changes)
	if err == nil && dense && len(block) > denseBytes {
		block, err = packed.MarshalDense(changes)
	}
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&pb.PeerMessage{Body: &pb.PeerMessage_Changes{Changes: block}})
}

// relayTime returns the time for which relayed bytes fill this instance's link.
func (e *Exchange) relayTime(bytes int) time.Duration { return e.linkTime(bytes, defaultRelayMbps) }

// linkTime returns the time for which bytes fill this instance's link, which has unknownMbps if
// its bandwidth is not known.
func (e *Exchange) linkTime(bytes int, unknownMbps uint32) time.Duration {
	mbps := cmp.Or(e.options.Self.GetLinkMbps(), unknownMbps)
	return time.Duration(float64(8*bytes) / (float64(mbps) * 1e6) * float64(time.Second))
}
