package peers

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"kumquatyard/internal/rollup"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// The interval between two states of an instance is baseInterval plus
	// intervalPerInstance for each instance, within minInterval and maxInterval.
	minInterval         = 50 * time.Millisecond
	maxInterval         = 150 * time.Millisecond
	baseInterval        = 25 * time.Millisecond
	intervalPerInstance = time.Millisecond
	// sumIntervals is the number of intervals between two sums of an aggregator to its
	// zone; members get those of two aggregators.
	sumIntervals = 2
	// sumLinkShare is the fraction of an aggregator's link that its sums may fill.
	sumLinkShare = 0.1
	// defaultLinkMbps is assumed for an instance that does not state the bandwidth of its
	// link.
	defaultLinkMbps = 1000
	// silenceIntervals is the number of intervals without a sum after which a chosen
	// aggregator is suspected, for suspectTime.
	silenceIntervals = 5
	suspectTime      = 5 * time.Second
	// sumTimeout is the time without sums after which the other instances' state counts as
	// unknown.
	sumTimeout = 2 * time.Second
	// usageInterval is the interval between two reports of the usage counts.
	usageInterval = 500 * time.Millisecond
	// newHolderTime is how long a new holder of the duties is also sent the counts of other
	// instances that are known here.
	newHolderTime = 2 * time.Second
)

// Interval returns the interval between two states of an instance.
func (e *Exchange) Interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.interval()
}

func (e *Exchange) interval() time.Duration {
	return min(max(baseInterval+time.Duration(len(e.listed)+1)*intervalPerInstance, minInterval), maxInterval)
}

// MaxAge returns the time in which a change at one instance becomes known to all others:
// a state, a zone's sum and the sum of all zones are sent one after the other.
func (e *Exchange) MaxAge() time.Duration { return (2 + sumIntervals) * e.Interval() }

func (e *Exchange) sendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(e.Interval()):
		}
		e.sendAll(time.Now())
	}
}

// datagram is a message and its receivers. The message is encoded once.
type datagram struct {
	message *pb.PeerMessage
	to      []*net.UDPAddr
}

// sendAll sends the messages that are due: this instance's state to the aggregators of its
// zone and, while it is one, its sums.
func (e *Exchange) sendAll(now time.Time) {
	state := e.options.Collect()
	e.mu.Lock()
	aggregators := e.aggregators(now)
	due := e.memberState(state, aggregators, now)
	sums, own := e.sums(state.GetStopping(), now)
	due = append(due, sums...)
	usage, withOthers := e.usageTargets(aggregators, now)
	e.mu.Unlock()
	if own != nil {
		e.applyFleet(own, now)
	}
	evidence, limits, brittle := e.options.Evidence(len(sums) > 0, now), e.options.Limits(now), e.options.Brittle(now)
	for _, d := range due {
		d.message.Parts, d.message.Limits, d.message.Brittle = evidence, limits, brittle
		e.send(d)
	}
	if len(usage) > 0 {
		counts := e.options.CollectUsage(withOthers)
		counts.From = e.options.Self
		e.send(datagram{&pb.PeerMessage{Body: &pb.PeerMessage_Usage{Usage: counts}}, usage})
	}
}

// memberState records this instance's state and returns the datagram with it for the
// chosen aggregators.
func (e *Exchange) memberState(state *pb.MemberState, aggregators []*pb.Instance, now time.Time) []datagram {
	e.sequence++
	state.From, state.Sequence = e.options.Self, e.sequence
	e.member.Sent(state)
	var to []*net.UDPAddr
	for _, a := range aggregators {
		if a.GetName() == e.options.Self.GetName() {
			e.aggregator.RecordMember(state, now)
			continue
		}
		to = append(to, e.addresses[a.GetName()])
	}
	if len(to) == 0 {
		return nil
	}
	return []datagram{{&pb.PeerMessage{Body: &pb.PeerMessage_Member{Member: state}}, to}}
}

// aggregators returns the aggregators to send this instance's state to: the first in rank
// that answer.
func (e *Exchange) aggregators(now time.Time) []*pb.Instance {
	silence := silenceIntervals * e.interval()
	chosen := rollup.First(e.zones[e.options.Self.GetZone()], func(i *pb.Instance) bool { return e.answers(i.GetName(), silence, now) })
	names := make(map[string]bool, len(chosen))
	for _, i := range chosen {
		names[i.GetName()] = true
		if c := e.chosen[i.GetName()]; c == nil {
			e.chosen[i.GetName()] = &choice{since: now}
		} else if c.since.IsZero() {
			c.since = now
		}
	}
	for name, c := range e.chosen {
		if !names[name] {
			c.since = time.Time{}
		}
	}
	return chosen
}

// answers reports whether an instance may be an aggregator: it sent a sum lately, or was
// chosen only now, and is not stopping.
func (e *Exchange) answers(name string, silence time.Duration, now time.Time) bool {
	if name == e.options.Self.GetName() {
		return true
	}
	heard, stopping := e.member.HeardWithin(name, silence, now)
	c := e.chosen[name]
	switch {
	case heard:
		return !stopping
	case c == nil:
		return true
	case now.Before(c.suspectedUntil):
		return false
	case !c.since.IsZero() && now.Sub(c.since) >= silence:
		c.suspectedUntil = now.Add(suspectTime)
		e.options.Log.WithFields(logrus.Fields{"event": "aggregator_lost", "aggregator": name, "silence_ms": silence.Milliseconds()}).Info("an aggregator of the zone sends no sums; sending the state to another one")
		return false
	default:
		return true
	}
}

// sums returns the datagrams with the sums that are due while this instance is an
// aggregator, and the sum of all zones if it is among them.
func (e *Exchange) sums(stopping bool, now time.Time) (due []datagram, fleet *pb.FleetSum) {
	if !e.isAggregator(now) {
		return nil, nil
	}
	zone := e.aggregator.ZoneSum(now)
	due = []datagram{{&pb.PeerMessage{Body: &pb.PeerMessage_Zone{Zone: zone}}, e.otherAggregators(now)}}
	if now.Sub(e.sumSentAt) < e.sumInterval() {
		return due, nil
	}
	e.sumSentAt = now
	fleet = e.aggregator.FleetSum(zone, stopping, now)
	message := &pb.PeerMessage{Body: &pb.PeerMessage_Fleet{Fleet: fleet}}
	e.sumBytes = proto.Size(message)
	return append(due, datagram{message, e.memberAddresses(e.zoneMembers(now))}), fleet
}

// isAggregator reports whether this instance or another one has chosen it.
func (e *Exchange) isAggregator(now time.Time) bool {
	c := e.chosen[e.options.Self.GetName()]
	return e.aggregator.Active(now) || (c != nil && !c.since.IsZero())
}

// sumInterval returns the interval between two sums to the zone. It is longer if they would
// fill more than sumLinkShare of the link.
func (e *Exchange) sumInterval() time.Duration {
	filled := e.linkTime(e.sumBytes*len(e.zones[e.options.Self.GetZone()]), defaultLinkMbps)
	needed := time.Duration(float64(filled) / sumLinkShare)
	// Half an interval less, since the loop's steps are not exact.
	return max(sumIntervals*e.interval()-e.interval()/2, needed)
}

// otherAggregators returns the addresses of the other zones' aggregators: those whose sums
// arrive, or else the first in rank.
func (e *Exchange) otherAggregators(now time.Time) []*net.UDPAddr {
	targets := make(map[string]bool)
	heard := e.aggregator.Zones(now)
	for zone, aggregators := range heard {
		addNames(targets, rollup.Top(rollup.Rank(aggregators)))
		if len(aggregators) < rollup.AggregatorsPerZone {
			addNames(targets, rollup.Top(e.zones[zone]))
		}
	}
	for zone, ranked := range e.zones {
		if zone != e.options.Self.GetZone() && len(heard[zone]) == 0 {
			addNames(targets, rollup.Top(ranked))
		}
	}
	return e.addressesOf(targets)
}

func addNames(names map[string]bool, instances []*pb.Instance) {
	for _, i := range instances {
		names[i.GetName()] = true
	}
}

// addressesOf returns the addresses of instances, this one left out.
func (e *Exchange) addressesOf(names map[string]bool) []*net.UDPAddr {
	list := make([]*net.UDPAddr, 0, len(names))
	for name := range names {
		if address := e.addresses[name]; address != nil && name != e.options.Self.GetName() {
			list = append(list, address)
		}
	}
	return list
}

// usageTargets returns the addresses to send the usage counts to, if that is due: the
// holder of the duties and, in case the holder is lost together with this instance, an
// aggregator. withOthers is set while the holder is new.
func (e *Exchange) usageTargets(aggregators []*pb.Instance, now time.Time) (to []*net.UDPAddr, withOthers bool) {
	if now.Sub(e.usageSentAt) < usageInterval {
		return nil, false
	}
	e.usageSentAt = now
	targets := make(map[string]bool)
	if len(aggregators) > 0 {
		targets[aggregators[0].GetName()] = true
	}
	if holder := e.freshSum(now).GetHolder().GetInstance(); holder != nil && e.learnAddress(holder) {
		targets[holder.GetName()] = true
		if holder.GetName() != e.holder {
			e.holder, e.holderSince = holder.GetName(), now
		}
		withOthers = now.Sub(e.holderSince) < newHolderTime
	}
	return e.addressesOf(targets), withOthers
}

// send sends a datagram to its receivers. It ignores errors of the network, since
// datagrams may be lost anyway.
func (e *Exchange) send(d datagram) {
	conn := e.conn.Load()
	if conn == nil || len(d.to) == 0 {
		return
	}
	data, err := proto.Marshal(d.message)
	if err != nil {
		e.options.Log.WithError(err).Error("message to other instances cannot be encoded; not sending it")
		return
	}
	for _, address := range d.to {
		sendDatagram(conn, data, address)
	}
}

func sendDatagram(conn *net.UDPConn, data []byte, address *net.UDPAddr) {
	if _, err := conn.WriteToUDP(data, address); err == nil {
		sentTotal.Inc()
		sentBytes.Add(len(data))
	}
}
