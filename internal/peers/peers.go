// Package peers sends an instance's state to all other instances in datagrams,
// several times a second, and hands on what it hears.
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
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// minInterval is the time between messages to the same instance while there
	// are few. It grows with the number of instances in the zone, and in the other
	// zones, so that an instance's traffic is bounded.
	minInterval     = 150 * time.Millisecond
	intervalPerNear = 10 * time.Millisecond
	intervalPerFar  = 12 * time.Millisecond
	// fullEvery is the number of messages to an instance of which one is full.
	fullEvery = 8
	// aliveFor is the silence after which an instance counts as unheard.
	aliveFor = 2 * time.Second
	// rememberFor is how long an instance that is in no list of members is sent to.
	rememberFor      = 10 * time.Second
	maxDatagramBytes = 60 << 10
)

var (
	sentTotal     = metrics.NewCounter("kumquat_peer_messages_sent_total")
	receivedTotal = metrics.NewCounter("kumquat_peer_messages_received_total")
	invalidTotal  = metrics.NewCounter("kumquat_peer_messages_invalid_total")
)

// Options are what an Exchange is built from.
type Options struct {
	// Listen is the address of the datagrams.
	Listen string
	Name   string
	// Zone is the instance's availability zone.
	Zone string
	// Collect returns the message to send, full or without what only few need.
	Collect func(full bool) *pb.InstanceState
	// NeedsFull reports whether an instance gets the full message.
	NeedsFull func(name string) bool
	// Apply takes a message of another instance.
	Apply func(state *pb.InstanceState, now time.Time)
	// ApplyChanges takes what another instance of the zone read of the store.
	ApplyChanges func(changes *pb.StoreChanges, now time.Time)
	Log          *logrus.Entry
}

// Exchange sends and receives states. It is safe for concurrent use.
type Exchange struct {
	options Options
	conn    atomic.Pointer[net.UDPConn]

	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	address *net.UDPAddr
	zone    string
	member  bool
	heard   time.Time
	// sent is when the last message was sent, and sends their number.
	sent     time.Time
	sends    int
	sequence uint64
	// incarnation is the start of the process that was heard last.
	incarnation uint64
	silent      bool
	// fit is set while the instance reaches the store and does not stop.
	fit bool
	// knows is the store's revision that the instance knows while it does not reach it.
	knows uint64
}

// New returns an Exchange.
func New(o Options) *Exchange { return &Exchange{options: o, peers: make(map[string]*peer)} }

// SetMembers replaces the instances listed in the store.
func (e *Exchange) SetMembers(members []*pb.Instance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		p.member = false
	}
	for _, m := range members {
		if m.GetName() == e.options.Name {
			continue
		}
		if p := e.learn(m); p != nil {
			p.member = true
		}
	}
}

// learn returns the record of an instance with its present address.
func (e *Exchange) learn(m *pb.Instance) *peer {
	address, err := net.ResolveUDPAddr("udp4", m.GetAddress())
	if err != nil {
		invalidTotal.Inc()
		return nil
	}
	p := e.peers[m.GetName()]
	if p == nil {
		p = &peer{heard: time.Now()}
		e.peers[m.GetName()] = p
	}
	p.address, p.zone = address, m.GetZone()
	return p
}

// Count returns the number of instances, this one included: those in the
// store's list and those heard lately.
func (e *Exchange) Count(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 1
	for _, p := range e.peers {
		if p.member || now.Sub(p.heard) < aliveFor {
			n++
		}
	}
	return n
}

// AllAlive reports whether every instance that is sent to was heard in the time ago.
func (e *Exchange) AllAlive(ago time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	since := time.Now().Add(-ago)
	for _, p := range e.peers {
		if p.heard.Before(since) {
			return false
		}
	}
	return true
}

// Run sends and receives until ctx is done.
func (e *Exchange) Run(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp4", e.options.Listen)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	e.conn.Store(conn)
	var wg conc.WaitGroup
	wg.Go(func() { e.send(ctx, conn) })
	e.receive(ctx, conn)
	wg.Wait()
	return nil
}

func (e *Exchange) send(ctx context.Context, conn *net.UDPConn) {
	for {
		near, _ := e.Intervals()
		select {
		case <-ctx.Done():
			return
		case <-time.After(near):
		}
		e.sendTo(conn, e.targets(time.Now()))
	}
}

// Intervals returns the time between messages to the same instance of the zone,
// and to the same instance of another zone.
func (e *Exchange) Intervals() (near, far time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.intervals()
}

func (e *Exchange) intervals() (near, far time.Duration) {
	zone := 0
	for _, p := range e.peers {
		if p.zone == e.options.Zone {
			zone++
		}
	}
	near = max(minInterval, time.Duration(zone)*intervalPerNear)
	far = max(minInterval, time.Duration(len(e.peers)-zone)*intervalPerFar)
	return near, far
}

// sendTo sends the state to all targets; it is encoded at most twice.
func (e *Exchange) sendTo(conn *net.UDPConn, targets []target) {
	encoded := make(map[bool][]byte, 2)
	for _, t := range targets {
		full := t.full || e.options.NeedsFull(t.name)
		if encoded[full] == nil {
			data, err := proto.Marshal(&pb.PeerMessage{Body: &pb.PeerMessage_State{State: e.options.Collect(full)}})
			if err != nil {
				e.options.Log.WithError(err).Error("state of this instance cannot be encoded")
				return
			}
			encoded[full] = data
		}
		sendDatagram(conn, encoded[full], t.address)
	}
}

// sendDatagram sends a datagram; one that cannot be sent is like one that is lost.
func sendDatagram(conn *net.UDPConn, data []byte, address *net.UDPAddr) {
	if _, err := conn.WriteToUDP(data, address); err == nil {
		sentTotal.Inc()
	}
}

// target is an instance that is sent to.
type target struct {
	name    string
	address *net.UDPAddr
	// full is set when the full message is due.
	full bool
}

// targets returns the instances to send to now, and notes those that fell silent.
func (e *Exchange) targets(now time.Time) []target {
	e.mu.Lock()
	defer e.mu.Unlock()
	near, far := e.intervals()
	list := make([]target, 0, len(e.peers))
	for name, p := range e.peers {
		if !p.member && now.Sub(p.heard) > rememberFor {
			delete(e.peers, name)
			continue
		}
		if !p.silent && now.Sub(p.heard) > aliveFor {
			p.silent = true
			e.options.Log.WithFields(logrus.Fields{"event": "peer_lost", "peer": name, "member": p.member}).Info("instance is not heard")
		}
		if p.zone != e.options.Zone && now.Sub(p.sent) < far-near/2 {
			continue
		}
		list = append(list, target{name: name, address: p.address, full: p.sends%fullEvery == 0})
		p.sent = now
		p.sends++
	}
	return list
}

func (e *Exchange) receive(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := conn.Read(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			e.options.Log.WithError(err).Warn("datagram could not be read")
			time.Sleep(minInterval)
			continue
		}
		e.read(buffer[:n], time.Now())
	}
}

// read hands on what a datagram holds.
func (e *Exchange) read(datagram []byte, now time.Time) {
	var message pb.PeerMessage
	if err := proto.Unmarshal(datagram, &message); err != nil {
		invalidTotal.Inc()
		return
	}
	switch body := message.GetBody().(type) {
	case *pb.PeerMessage_State:
		if body.State.GetFrom().GetName() == "" {
			invalidTotal.Inc()
			return
		}
		receivedTotal.Inc()
		e.take(body.State, now)
	case *pb.PeerMessage_Changes:
		var changes pb.StoreChanges
		if err := packed.Unmarshal(body.Changes, maxChangesBytes, &changes); err != nil {
			invalidTotal.Inc()
			return
		}
		receivedTotal.Inc()
		e.options.ApplyChanges(&changes, now)
	default:
		invalidTotal.Inc()
	}
}

// take hands a message on unless a later one was seen.
func (e *Exchange) take(state *pb.InstanceState, now time.Time) {
	if state.GetFrom().GetName() == e.options.Name || !e.isNews(state, now) {
		return
	}
	e.options.Apply(state, now)
}

func (e *Exchange) isNews(state *pb.InstanceState, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	from := state.GetFrom()
	p := e.learn(from)
	if p == nil || from.GetIncarnation() < p.incarnation {
		return false
	}
	if from.GetIncarnation() == p.incarnation && state.GetSequence() <= p.sequence {
		return false
	}
	if p.silent || p.incarnation != from.GetIncarnation() {
		e.options.Log.WithFields(logrus.Fields{"event": "peer_heard", "peer": from.GetName(), "incarnation": from.GetIncarnation()}).Info("instance is heard")
	}
	p.incarnation, p.sequence, p.heard, p.silent = from.GetIncarnation(), state.GetSequence(), now, false
	p.fit = !state.GetLeaving() && !state.GetStoreAway()
	p.knows = state.GetStoreRevision()
	return true
}
