package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	pb "kumquatyard/proto/kumquat/v1"
)

const (
	tick = 50 * time.Millisecond
	// contactTime is how soon all instances must act on the fifth end of a server, and
	// maxLate the number of requests that may reach servers after it.
	contactTime = 3 * time.Second
	maxLate     = 3
	zones       = 3
	// restartTime is how long a server that ended is away.
	restartTime = 2500 * time.Millisecond
	firstDeadly = 666
	// firstPoison is the identity of the first request that ends each server that runs it.
	firstPoison = 1 << 40
)

// cluster simulates instances that exchange evidence in two levels, with servers that end
// when they begin to answer on a deadly part.
type cluster struct {
	random   *rand.Rand
	now      time.Time
	trackers []*Tracker
	// sumTicks is the number of ticks between two messages of an aggregator to its zone.
	sumTicks int
	lossRate float64
	inbox    []message
	// aliveAt is when each server serves again, and runs the requests at each.
	aliveAt     []time.Time
	incarnation []int
	runs        [][]run
	// ends and arrivals are those under each deadly part.
	ends, arrivals map[uint64][]time.Time
	requests       int
	refusedSound   int
	// attempts is the number of callers' attempts. lost counts the sound requests that were
	// not answered at the last of two attempts, by the time of the first, in ticks.
	attempts int
	returns  []returning
	lost     map[int]int
	step     int
	// deadlyReturns is how often the caller of a request with a deadly part comes again, and
	// returnGap the time until it does.
	deadlyReturns int
	returnGap     time.Duration
	// endsEarly is set if servers end before they send the head of an answer.
	endsEarly bool
	// harmless is set while the deadly parts do not end servers yet.
	harmless bool
	// sound and soundServed count the sound requests, and those that were answered.
	sound, soundServed int
}

// returning is a caller that comes again.
type returning struct {
	due time.Time
	run
}

type message struct {
	to       int
	due      time.Time
	evidence []*pb.PartEvidence
}

// run is a request at a server, whose answer begins at begins and has an event by then plus
// a tick.
type run struct {
	instance int
	id       string
	parts    []uint64
	begins   time.Time
	tries    int
	// identity is the same for a request that comes again, and returns the number of times
	// that it did; firstStep is when it came first.
	identity  uint64
	returns   int
	firstStep int
	acquired  bool
	sentAt    time.Time
}

// deadly returns the part or the identity under which servers end, 0 if there is none.
func (r *run) deadly() uint64 {
	if r.identity >= firstPoison {
		return r.identity
	}
	return deadlyPartOf(r.parts)
}

// killer returns what of a request ends servers now, 0 if nothing does.
func (c *cluster) killer(r *run) uint64 {
	if c.harmless {
		return 0
	}
	return r.deadly()
}

func newCluster(random *rand.Rand, instances, servers int, lossRate float64, settleTime time.Duration) *cluster {
	c := &cluster{
		random: random, now: start, sumTicks: 2, lossRate: lossRate, aliveAt: make([]time.Time, servers), incarnation: make([]int, servers),
		runs: make([][]run, servers), ends: make(map[uint64][]time.Time), arrivals: make(map[uint64][]time.Time), lost: make(map[int]int),
	}
	for range instances {
		tr := newTracker()
		tr.SetInstances(instances, settleTime)
		c.trackers = append(c.trackers, tr)
	}
	return c
}

// zoneOf returns the zone of an instance; the first two of a zone are its aggregators.
func zoneOf(instance int) int              { return instance % zones }
func aggregators(zone int) []int           { return []int{zone, zone + zones} }
func (c *cluster) isAggregator(i int) bool { return i < 2*zones }

func (c *cluster) send(to []int, evidence []*pb.PartEvidence) {
	for _, i := range to {
		if i >= len(c.trackers) {
			continue
		}
		for c.random.Float64() < 1-c.lossRate {
			delay := time.Duration(c.random.Int64N(int64(tick)))
			c.inbox = append(c.inbox, message{i, c.now.Add(delay), evidence})
			if c.random.Float64() < 0.9 {
				break // otherwise it is repeated
			}
		}
	}
}

// exchange delivers what is due and sends each instance's evidence.
func (c *cluster) exchange(step int) {
	var later []message
	for _, m := range c.inbox {
		if m.due.After(c.now) {
			later = append(later, m)
			continue
		}
		c.trackers[m.to].Merge(m.evidence, c.now)
	}
	c.inbox = later
	for i, tr := range c.trackers {
		tr.Expire(c.now)
		evidence := tr.Evidence(c.isAggregator(i), c.now)
		if len(evidence) == 0 {
			continue
		}
		c.send(aggregators(zoneOf(i)), evidence)
		if !c.isAggregator(i) {
			continue
		}
		for z := range zones {
			if z != zoneOf(i) {
				c.send(aggregators(z), evidence)
			}
		}
		if (step+i)%c.sumTicks == 0 {
			for member := zoneOf(i); member < len(c.trackers); member += zones {
				c.send([]int{member}, evidence)
			}
		}
	}
}

func deadlyPartOf(parts []uint64) uint64 {
	for _, id := range parts {
		if id >= firstDeadly && id < firstDeadly+10 {
			return id
		}
	}
	return 0
}

// request sends a request to a random server that is alive, unless it is held back.
func (c *cluster) request(r run) {
	deadly, tracker := r.deadly(), c.trackers[r.instance]
	_, _, heldPart := tracker.Quarantined(r.parts, c.now)
	if _, held := tracker.QuarantinedRequest(r.identity, c.now); held || heldPart {
		if deadly == 0 {
			c.refusedSound++
		}
		c.fail(r)
		return
	}
	isSuspected := tracker.SuspectedRequest(r.identity)
	if r.tries > 0 && (tracker.Suspected(r.parts) || isSuspected) {
		c.fail(r)
		return
	}
	if isSuspected {
		if !tracker.Acquire(r.identity, c.random.Float64()) {
			c.fail(r)
			return
		}
		r.acquired = true
	}
	var alive []int
	for s, at := range c.aliveAt {
		if !at.After(c.now) {
			alive = append(alive, s)
		}
	}
	if len(alive) == 0 {
		c.fail(r)
		return
	}
	s := alive[c.random.IntN(len(alive))]
	if deadly != 0 {
		c.arrivals[deadly] = append(c.arrivals[deadly], c.now)
	}
	r.begins = c.now.Add(time.Duration(30+c.random.IntN(90)) * time.Millisecond)
	r.tries++
	r.sentAt = c.now
	c.runs[s] = append(c.runs[s], r)
}

// fail ends a caller's attempt. The caller of a sound request comes again once.
func (c *cluster) fail(r run) {
	if r.acquired {
		c.trackers[r.instance].Release(r.identity)
	}
	if r.deadly() != 0 {
		if r.returns < c.deadlyReturns {
			c.comeAgain(r, func() time.Duration { return c.returnGap })
		}
		return
	}
	if r.returns > 0 {
		c.lost[r.firstStep]++
		return
	}
	c.comeAgain(r, func() time.Duration { return time.Duration(200+c.random.IntN(800)) * time.Millisecond })
}

// comeAgain lets the caller of a request come again, at any instance.
func (c *cluster) comeAgain(r run, after func() time.Duration) {
	r.returns++
	r.tries, r.acquired = 0, false
	r.instance = c.random.IntN(len(c.trackers))
	c.attempts++
	r.id = fmt.Sprint("again", c.attempts)
	c.returns = append(c.returns, returning{c.now.Add(after()), r})
}

// work lets the servers answer, and end under deadly parts and requests.
func (c *cluster) work() {
	for s := range c.runs {
		var left []run
		var killer uint64
		for _, r := range c.runs[s] {
			deadly := c.killer(&r)
			switch {
			case r.begins.After(c.now):
				left = append(left, r)
			case deadly != 0:
				killer = deadly
				left = append(left, r)
			default:
				if r.deadly() == 0 {
					c.soundServed++
				}
				if r.acquired {
					c.trackers[r.instance].Release(r.identity)
				}
				c.trackers[r.instance].RecordAnswer(r.parts, c.now)
				c.trackers[r.instance].RecordRequestAnswer(r.identity, c.now)
			}
		}
		c.runs[s] = left
		if killer != 0 {
			c.ends[killer] = append(c.ends[killer], c.now)
			c.end(s)
		}
	}
}

// end ends a server: the requests there are lost, and each is repeated once.
func (c *cluster) end(s int) {
	lost := c.runs[s]
	c.runs[s] = nil
	c.aliveAt[s] = c.now.Add(restartTime)
	c.incarnation[s]++
	for _, r := range lost {
		c.trackers[r.instance].RecordLoss(Loss{
			Server: fmt.Sprint(s, "/", c.incarnation[s]), Request: r.id, Identity: r.identity, SentAt: r.sentAt, Parts: r.parts,
			Begun: !c.endsEarly && !r.begins.After(c.now),
		}, c.now)
	}
	for _, r := range lost {
		if r.tries < 2 {
			c.request(r)
		} else {
			c.fail(r)
		}
	}
}

// arrive sends the requests of one tick: some with each deadly part, and sound ones that
// share their caller's part, and those that come again.
func (c *cluster) arrive(deadly, sound int) {
	var later []returning
	for _, r := range c.returns {
		if r.due.After(c.now) {
			later = append(later, r)
		}
	}
	due := c.returns
	c.returns = later
	for _, r := range due {
		if !r.due.After(c.now) {
			c.request(r.run)
		}
	}
	for n := range deadly {
		if c.random.Float64() < 0.7 {
			c.requests++
			c.request(run{instance: c.random.IntN(len(c.trackers)), id: fmt.Sprint("d", c.requests), parts: []uint64{1, firstDeadly + uint64(n)}, identity: uint64(c.requests)})
		}
	}
	for range sound {
		c.requests++
		c.sound++
		session := 10 + uint64(c.random.IntN(40))
		c.request(run{instance: c.random.IntN(len(c.trackers)), id: fmt.Sprint("s", c.requests), parts: []uint64{1 + session%3, session}, identity: uint64(c.requests), firstStep: c.step})
	}
}

// late returns the number of requests with a part, or of copies of a request, that reached
// servers later than contactTime after the given end under it, counted from 1.
func (c *cluster) late(subject uint64, end int) int {
	n := 0
	for _, at := range c.arrivals[subject] {
		if ends := c.ends[subject]; len(ends) >= end && at.Sub(ends[end-1]) > contactTime {
			n++
		}
	}
	return n
}

// check reports violations: too many late requests with a deadly part, or sound requests
// that are held back at the end.
func (c *cluster) check(t interface{ Fatalf(string, ...any) }, deadly int) {
	for n := range deadly {
		if late := c.late(firstDeadly+uint64(n), 5); late > maxLate {
			t.Fatalf("%d requests with part %d reached servers later than %v after the fifth of %d ends", late, firstDeadly+n, contactTime, len(c.ends[firstDeadly+uint64(n)]))
		}
	}
	for i, tr := range c.trackers {
		for part := uint64(1); part < 50; part++ {
			if tr.holds(part, c.now) {
				t.Fatalf("instance %d holds back the sound part %d", i, part)
			}
		}
	}
}

// scenario is one simulated course of events.
type scenario struct {
	instances, servers, sound int
	seed                      uint64
	lossRate                  float64
	deadly                    int
	trouble                   string
}

const (
	noTrouble   = ""
	zoneLost    = "a zone's servers are lost"
	lostInTurns = "servers are lost in turn"
)

// disturb ends the servers that are lost in a step.
func (c *cluster) disturb(trouble string, step int) {
	switch {
	case trouble == zoneLost && step == 40:
		for server := 0; server < len(c.runs); server += zones {
			c.end(server)
		}
	case trouble == lostInTurns && step > 30 && step%10 == 0:
		c.end(step / 10 % len(c.runs))
	}
}

// play plays a scenario and checks it.
func (s scenario) play(t interface{ Fatalf(string, ...any) }) {
	c := newCluster(rand.New(rand.NewPCG(s.seed, 1)), s.instances, s.servers, s.lossRate, 300*time.Millisecond)
	if s.instances > 100 {
		c = newCluster(rand.New(rand.NewPCG(s.seed, 1)), s.instances, s.servers, s.lossRate, 900*time.Millisecond)
		c.sumTicks = 6
	}
	const steps = 130
	for step := range steps {
		c.now = c.now.Add(tick)
		c.exchange(step)
		c.work()
		deadly := 0
		if step > 20 {
			deadly = s.deadly
		}
		c.arrive(deadly, s.sound)
		c.disturb(s.trouble, step)
	}
	c.check(t, s.deadly)
	if limit := c.requests / 50; c.refusedSound > limit {
		t.Fatalf("%d of %d sound requests were held back", c.refusedSound, c.requests)
	}
}

// Guards against second1 over all instances: over any loss, repetition and order of messages,
// with up to two deadly parts, alone or with a third of the servers lost or servers lost one
// after the other, few requests with them reach servers late, and sound ones are not held back.
func TestInstancesQuarantineDeadlyPartsOnly(t *testing.T) {
	seed := uint64(0)
	for _, trouble := range []string{noTrouble, zoneLost, lostInTurns} {
		for deadly := range 3 {
			for _, lossRate := range []float64{0, 0.1, 0.3} {
				seed++
				t.Run(fmt.Sprint(trouble, deadly, lossRate), func(t *testing.T) {
					scenario{instances: 6, servers: 18, sound: 8, seed: seed, lossRate: lossRate, deadly: deadly, trouble: trouble}.play(t)
				})
			}
		}
	}
}

func TestManyInstancesQuarantineDeadlyPartsOnly(t *testing.T) {
	for seed, trouble := range []string{zoneLost, lostInTurns} {
		t.Run(trouble, func(t *testing.T) {
			t.Parallel()
			scenario{instances: 300, servers: 160, sound: 20, seed: uint64(seed), lossRate: 0.1, deadly: 1 + seed%2, trouble: trouble}.play(t)
		})
	}
}
