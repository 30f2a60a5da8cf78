// Package peers exchanges state between entry instances by UDP, several times a second,
// and relays changes of the store within a zone. Which messages go where, and what they
// mean, is decided by internal/rollup. Messages are not confirmed or repeated: each field
// of a state holds a current value or a counter that only grows, so that a lost or
// repeated message does no harm.
package peers

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"kumquatyard/internal/packed"
	"kumquatyard/internal/rollup"
	pb "kumquatyard/proto/kumquat/v1"
)

var (
	sentTotal     = metrics.NewCounter("kumquat_peer_messages_sent_total")
	sentBytes     = metrics.NewCounter("kumquat_peer_bytes_sent_total")
	receivedTotal = metrics.NewCounter("kumquat_peer_messages_received_total")
	invalidTotal  = metrics.NewCounter("kumquat_peer_messages_invalid_total")
	// sumAge is the mean age of the other instances' states in a received sum.
	sumAge = metrics.NewHistogram("kumquat_peer_state_age_seconds")
)

// Options configures an Exchange.
type Options struct {
	// Self describes this instance; its Address is the UDP address to send and receive on.
	Self *pb.Instance
	// Quotas keeps the levels of the quotas while this instance is an aggregator.
	Quotas rollup.Quotas
	// Collect returns this instance's state, without From and Sequence.
	Collect func() *pb.MemberState
	// CollectUsage returns this instance's usage counts, without From; withOthers includes
	// those of other instances that are known here.
	CollectUsage func(withOthers bool) *pb.UsageCounts
	// Apply is called with what a sum says of the other instances.
	Apply func(others rollup.Others, sum *pb.FleetSum, now time.Time)
	// ApplyUsage is called with the usage counts of another instance.
	ApplyUsage func(counts *pb.UsageCounts)
	// ApplyChanges is called with the store changes that the zone's relay sent.
	ApplyChanges func(changes *pb.StoreChanges, now time.Time)
	// Evidence returns what this instance knows of requests and parts of prompts under which
	// servers ended, with relay also what it was told of; ApplyEvidence adds what another one
	// knows.
	Evidence      func(relay bool, now time.Time) []*pb.PartEvidence
	ApplyEvidence func(parts []*pb.PartEvidence, now time.Time)
	// Limits returns what this instance is to tell of limits that servers named, and
	// ApplyLimits adds what another one knows.
	Limits      func(now time.Time) []*pb.ServerLimit
	ApplyLimits func(limits []*pb.ServerLimit, now time.Time)
	// Brittle returns what this instance is to tell of brittle pools, and ApplyBrittle adds
	// what another one knows.
	Brittle      func(now time.Time) []*pb.BrittlePool
	ApplyBrittle func(pools []*pb.BrittlePool, now time.Time)
	Log          *logrus.Entry
}

// Exchange sends and receives messages. It is safe for concurrent use.
type Exchange struct {
	options Options
	conn    atomic.Pointer[net.UDPConn]

	mu         sync.Mutex
	aggregator *rollup.Aggregator
	member     *rollup.Member
	sequence   uint64
	// listed holds the other instances that the store lists, and addresses the UDP
	// addresses of all known instances, by name.
	listed    map[string]*pb.Instance
	addresses map[string]*net.UDPAddr
	// zones holds the ranked instances of each zone, this one included.
	zones map[string][]*pb.Instance
	// chosen holds the aggregators to which this instance sends its state.
	chosen map[string]*choice
	// sum is the last sum that was applied, received at sumAt.
	sum       *pb.FleetSum
	sumAt     time.Time
	sumSentAt time.Time
	// sumBytes is the size of the last sum that this instance sent.
	sumBytes int
	// usageSeen is when the usage counts of an instance arrived last.
	usageSeen   map[string]time.Time
	usageSentAt time.Time
	// holder is the name of the duties' holder, and holderSince when it was first seen.
	holder      string
	holderSince time.Time
}

// choice is an aggregator that this instance has chosen.
type choice struct {
	// since is when the choice was made, and suspectedUntil the end of the time in which
	// it is not chosen, because it did not answer.
	since          time.Time
	suspectedUntil time.Time
}

// New returns an Exchange.
func New(o Options) *Exchange {
	e := &Exchange{
		options: o, aggregator: rollup.NewAggregator(o.Self, o.Quotas), member: rollup.NewMember(o.Self),
		listed: make(map[string]*pb.Instance), addresses: make(map[string]*net.UDPAddr),
		chosen: make(map[string]*choice), usageSeen: make(map[string]time.Time),
	}
	e.rank()
	return e
}

// SetMembers sets the list of instances that the store has.
func (e *Exchange) SetMembers(members []*pb.Instance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.listed)
	for _, m := range members {
		if m.GetName() != e.options.Self.GetName() && e.learnAddress(m) {
			e.listed[m.GetName()] = m
		}
	}
	e.rank()
}

// learnAddress records the address of an instance. It returns false if the address is
// invalid.
func (e *Exchange) learnAddress(m *pb.Instance) bool {
	if known := e.addresses[m.GetName()]; known != nil && known.String() == m.GetAddress() {
		return true
	}
	address, err := net.ResolveUDPAddr("udp4", m.GetAddress())
	if err != nil {
		invalidTotal.Inc()
		return false
	}
	e.addresses[m.GetName()] = address
	return true
}

// rank ranks the instances of each zone.
func (e *Exchange) rank() {
	self := e.options.Self
	zones := map[string][]*pb.Instance{self.GetZone(): {self}}
	for _, m := range e.listed {
		zones[m.GetZone()] = append(zones[m.GetZone()], m)
	}
	for name, instances := range zones {
		zones[name] = rollup.Rank(instances)
	}
	e.zones = zones
}

// Run sends and receives messages until ctx is done.
func (e *Exchange) Run(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp4", e.options.Self.GetAddress())
	if err != nil {
		return fmt.Errorf("resolve the address for messages from other instances: %w", err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return fmt.Errorf("open socket for messages from other instances: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	e.conn.Store(conn)
	var wg conc.WaitGroup
	wg.Go(func() { e.sendLoop(ctx) })
	e.receive(ctx, conn)
	wg.Wait()
	return nil
}

func (e *Exchange) receive(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, receiveBytes)
	for {
		n, err := conn.Read(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			e.options.Log.WithError(err).Warn("reading a message from another instance failed; reading the next one")
			time.Sleep(minInterval)
			continue
		}
		e.handleDatagram(buffer[:n], time.Now())
	}
}

const (
	// maxDatagramBytes bounds a batch of changes of the store that is sent.
	maxDatagramBytes = 60 << 10
	// receiveBytes holds any datagram: the rest of a longer one would be cut off, and what comes
	// before that may be taken for a whole message.
	receiveBytes = 64 << 10
)

// handleDatagram decodes a datagram and passes its content on.
func (e *Exchange) handleDatagram(datagram []byte, now time.Time) {
	var message pb.PeerMessage
	if err := proto.Unmarshal(datagram, &message); err != nil {
		invalidTotal.Inc()
		return
	}
	if !e.handle(&message, now) {
		invalidTotal.Inc()
		return
	}
	receivedTotal.Inc()
	e.options.ApplyEvidence(message.GetParts(), now)
	e.options.ApplyLimits(message.GetLimits(), now)
	e.options.ApplyBrittle(message.GetBrittle(), now)
}

// handle passes the content of a message on. It returns false if the message is invalid.
func (e *Exchange) handle(message *pb.PeerMessage, now time.Time) bool {
	switch body := message.GetBody().(type) {
	case *pb.PeerMessage_Member:
		return e.handleMember(body.Member, now)
	case *pb.PeerMessage_Zone:
		return e.handleZone(body.Zone, now)
	case *pb.PeerMessage_Fleet:
		return e.handleFleet(body.Fleet, now)
	case *pb.PeerMessage_Usage:
		return e.handleUsage(body.Usage, now)
	case *pb.PeerMessage_Changes:
		var changes pb.StoreChanges
		if err := packed.Unmarshal(body.Changes, maxChangesBytes, &changes); err != nil {
			return false
		}
		e.options.ApplyChanges(&changes, now)
		return true
	default:
		return false
	}
}

func (e *Exchange) handleMember(state *pb.MemberState, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	from := state.GetFrom()
	if from.GetName() == "" || from.GetZone() != e.options.Self.GetZone() || !e.learnAddress(from) {
		return false
	}
	wasActive := e.aggregator.Active(now)
	e.aggregator.RecordMember(state, now)
	if !wasActive && e.aggregator.Active(now) {
		e.options.Log.WithFields(logrus.Fields{"event": "aggregating", "peer": from.GetName()}).Info("other instances of the zone send their states here; summing them")
	}
	return true
}

func (e *Exchange) handleZone(sum *pb.ZoneSum, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if sum.GetFrom().GetName() == "" || !e.learnAddress(sum.GetFrom()) {
		return false
	}
	e.aggregator.RecordZone(sum, now)
	return true
}

func (e *Exchange) handleFleet(sum *pb.FleetSum, now time.Time) bool {
	if sum.GetFrom().GetZone() != e.options.Self.GetZone() {
		return false
	}
	if others, ok := e.applyFleet(sum, now); ok {
		sumAge.Update(now.Sub(others.At).Seconds())
	}
	return true
}

// applyFleet records a sum and passes on what it says of the other instances.
func (e *Exchange) applyFleet(sum *pb.FleetSum, now time.Time) (rollup.Others, bool) {
	e.mu.Lock()
	others, ok := e.recordFleet(sum, now)
	e.mu.Unlock()
	if ok {
		e.options.Apply(others, sum, now)
	}
	return others, ok
}

// recordFleet records a sum. It is called with mu held.
func (e *Exchange) recordFleet(sum *pb.FleetSum, now time.Time) (rollup.Others, bool) {
	e.aggregator.Follow(sum, now)
	others, ok := e.member.Apply(sum, now)
	if !ok {
		return others, false
	}
	if now.Sub(e.sumAt) > sumTimeout {
		e.options.Log.WithFields(logrus.Fields{"event": "peers_heard", "aggregator": sum.GetFrom().GetName(), "instances": sum.GetInstances()}).Info("receiving the sum of the instances' states")
	}
	e.sum, e.sumAt = sum, now
	return others, true
}

func (e *Exchange) handleUsage(counts *pb.UsageCounts, now time.Time) bool {
	if counts.GetFrom().GetName() == "" {
		return false
	}
	e.mu.Lock()
	e.usageSeen[counts.GetFrom().GetName()] = now
	e.mu.Unlock()
	e.options.ApplyUsage(counts)
	return true
}
