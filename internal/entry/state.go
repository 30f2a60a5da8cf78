package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"kumquatyard/internal/handover"
	"kumquatyard/internal/rollup"
	"kumquatyard/internal/store"
	"kumquatyard/internal/usage"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	membersPrefix = "kumquat/instances/"
	// memberTTL is the TTL of the lease of an instance's entry. It is renewed every
	// renewInterval.
	memberTTL     = 9 * time.Second
	renewInterval = 3 * time.Second
	storeTimeout  = 1500 * time.Millisecond
)

func (i *Instance) self() *pb.Instance {
	return &pb.Instance{
		Name: i.Settings.Name, Incarnation: i.incarnation, Zone: i.Settings.Zone,
		Address: i.Settings.PeersAddress, StatusAddress: i.Settings.MetricsAddress, LinkMbps: i.Settings.LinkMbps, DecodesZstd: true,
	}
}

// state returns this instance's state for the aggregators of its zone.
func (i *Instance) state() *pb.MemberState {
	now := time.Now()
	m := &pb.MemberState{
		UnixMs: i.clock.Uncorrected(now).UnixMilli(), Stopping: i.stopping.Load(),
		HoldsDuties: i.holding.Load(), StoreAway: i.follower.StoreUnreachable(),
		LeavingServers: i.leaving.recent(now), Work: rollup.EncodeWork(i.predictor.LocalWork(now)), Workspaces: i.ledger.Uses(),
		Rollouts: i.rollouts.Messages(now),
	}
	if i.follower.Disconnected() {
		known := i.follower.Revision()
		m.StoreEra, m.StoreRevision = known.Era, known.Number
	}
	if p := i.snapshots.Load(); p != nil {
		m.ConfigVersion = p.Config.Version
	}
	demand := make(map[uint32]float64)
	for pool, rate := range i.demand.LocalRates(now) {
		demand[rollup.Key(pool)] = rate
	}
	m.Demands = rollup.EncodeDemand(demand)
	m.Rooms = i.shares.LocalRooms(now).Encode()
	for _, pool := range i.core.CutPools() {
		m.UnreachedPools = append(m.UnreachedPools, rollup.Key(pool))
	}
	return m
}

// usageCounts returns this instance's usage counts and, with withOthers, those of other
// instances that are known here.
func (i *Instance) usageCounts(withOthers bool) *pb.UsageCounts {
	m := &pb.UsageCounts{Windows: usage.EncodeWindows(i.counter.LocalCounts())}
	if withOthers {
		m.Others = i.counter.OtherCounts()
	}
	return m
}

// incarnationOf identifies one start of an instance in the usage counts.
func incarnationOf(m *pb.Instance) string {
	return m.GetName() + "/" + strconv.FormatUint(m.GetIncarnation(), 10)
}

// apply applies what a sum says of the other instances.
func (i *Instance) apply(others rollup.Others, sum *pb.FleetSum, now time.Time) {
	if holder := sum.GetHolder(); holder.GetInstance().GetName() != "" && holder.GetInstance().GetName() != i.Settings.Name {
		i.holderSeen.Store(now.Add(-time.Duration(holder.GetAgeMs()) * time.Millisecond).UnixNano())
	}
	i.clock.RecordPeerTime(sum.GetFrom().GetName(), time.UnixMilli(sum.GetUnixMs()), now)
	i.predictor.RecordOthers(others.Work, others.At)
	i.demand.RecordOthers(others.Demand, others.At)
	i.shares.RecordOthers(others.Rooms, others.At)
	if !others.LevelsUnknown {
		i.ledger.RecordReport(others.Levels, others.Own.GetWorkspaces(), others.Instances, others.At)
	}
	i.applyLeaving(sum.GetLeavingServers())
	i.rollouts.Apply(sum.GetRollouts(), now)
	i.applyUnreached(sum.GetUnreached(), now)
}

// applyUnreached records which instances reach no server of a pool, or few.
func (i *Instance) applyUnreached(list []*pb.UnreachedPool, now time.Time) {
	if !i.helpers.Announce(handover.DecodeUnreached(list), now) {
		return
	}
	for _, p := range list {
		i.Log.WithFields(logrus.Fields{"event": "pool_unreached", "pool_key": p.GetPool(), "instances": len(p.GetInstances())}).Info("instances announce that they reach no server of a pool, or few; no request for it is offered to them")
	}
	if len(list) == 0 {
		i.Log.WithField("event", "pools_reached").Info("all instances reach servers of all pools again, as far as they announce")
	}
}

// applyUsage records the usage counts of another instance.
func (i *Instance) applyUsage(m *pb.UsageCounts) {
	i.counter.RecordPeerReport(incarnationOf(m.GetFrom()), usage.DecodeWindows(m.GetWindows()))
	i.counter.Restore(incarnationOf(i.self()), m.GetOthers())
}

const (
	// An instance competes for the duties once their holder has not been heard for
	// holderTimeoutAges times the age that its state may have, but at least for
	// minHolderTimeout.
	minHolderTimeout  = 1200 * time.Millisecond
	holderTimeoutAges = 3
	// aggregatorsFirst is the time that the aggregators of the zones have to take the duties
	// once a lost holder's lease has expired, before other instances compete: they shall not
	// all ask the store.
	aggregatorsFirst = 2 * time.Second
	// zoneSettleTime is the time from the first list of the zone's instances until this
	// instance knows whether it is an aggregator: two intervals of its messages.
	zoneSettleTime = 300 * time.Millisecond
)

// mayCompeteForDuties reports whether no other instance has recently reported that
// it holds the duties, under a lease with a time to live.
func (i *Instance) mayCompeteForDuties(leaseTTL time.Duration) bool {
	now := time.Now()
	d := dutyCompetition{
		neverSeen: i.holderSeen.Load() == 0, silence: now.Sub(time.Unix(0, i.holderSeen.Load())), maxAge: i.exchange.MaxAge(),
		leaseTTL: leaseTTL, isAggregator: i.exchange.IsAggregator(now),
	}
	if since := i.follower.Era().Since; !since.IsZero() {
		d.zoneKnownFor = now.Sub(since)
	}
	if d.neverSeen {
		d.silence = now.Sub(i.startedAt)
	}
	return d.competes()
}

// dutyCompetition is what an instance knows when it decides whether to compete for the duties.
type dutyCompetition struct {
	// neverSeen is set if this process has not heard of a holder.
	neverSeen bool
	// silence is the time since the holder was heard of, or else since this process started.
	silence time.Duration
	// maxAge is the age that the state of another instance may have.
	maxAge   time.Duration
	leaseTTL time.Duration
	// isAggregator is set if this instance is an aggregator of its zone, as far as it knows
	// the zone's instances, which it reads from the store, since zoneKnownFor.
	isAggregator bool
	zoneKnownFor time.Duration
}

func (d dutyCompetition) competes() bool {
	holderTimeout := max(minHolderTimeout, holderTimeoutAges*d.maxAge)
	switch {
	case !d.isAggregator:
		return d.silence > max(holderTimeout, d.leaseTTL)+aggregatorsFirst
	case d.neverSeen:
		return d.zoneKnownFor > zoneSettleTime
	default:
		return d.silence > holderTimeout
	}
}

// register keeps this instance's entry in the store until ctx is done, then revokes
// its lease.
func (i *Instance) register(ctx, background context.Context) {
	var lease store.Lease
	for ctx.Err() == nil {
		lease = i.renewEntry(ctx, lease)
		select {
		case <-ctx.Done():
		case <-time.After(renewInterval):
		}
	}
	if lease.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(background, storeTimeout)
	defer cancel()
	if err := i.Store.RevokeLease(ctx, lease); err != nil {
		i.Log.WithError(err).Debug("entry of this instance not removed from the store; it expires with its lease")
	}
}

// renewEntry renews the lease, or creates a new one and writes the entry. It
// returns the lease, zero if there is none.
func (i *Instance) renewEntry(ctx context.Context, lease store.Lease) store.Lease {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if !lease.IsZero() {
		err := i.Store.RenewLease(ctx, lease)
		if err == nil {
			return lease
		}
		i.Log.WithError(err).WithField("event", "member_lease").Debug("lease of this instance's entry in the store not renewed; creating a new one")
	}
	value, err := proto.Marshal(i.self())
	if err != nil {
		i.Log.WithError(err).Error("entry of this instance cannot be encoded; not writing it to the store")
		return store.Lease{}
	}
	lease, err = i.Store.CreateLease(ctx, memberTTL)
	if err == nil {
		err = i.Store.Set(ctx, membersPrefix+i.Settings.Name, value, lease)
	}
	if err != nil {
		i.Log.WithError(err).WithField("event", "member_entry").Debug("entry of this instance not written to the store; retrying")
		return store.Lease{}
	}
	return lease
}
