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
	firstDeadly = 666
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
}

func newCluster(random *rand.Rand, instances, servers int, lossRate float64, settleTime time.Duration) *cluster {
	c := &cluster{
		random: random, now: start, sumTicks: 2, lossRate: lossRate, aliveAt: make([]time.Time, servers), incarnation: make([]int, servers),
		runs: make([][]run, servers), ends: make(map[uint64][]time.Time), arrivals: make(map[uint64][]time.Time),
	}
	for range instances {
		tr := newTracker()
		tr.SetSettleTime(settleTime)
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
		evidence := tr.Evidence(c.now)
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
	deadly := deadlyPartOf(r.parts)
	if _, _, held := c.trackers[r.instance].Quarantined(r.parts, c.now); held {
		if deadly == 0 {
			c.refusedSound++
		}
		return
	}
	if r.tries > 0 && c.trackers[r.instance].Suspected(r.parts) {
		return
	}
	s := c.random.IntN(len(c.runs))
	if c.aliveAt[s].After(c.now) {
		return
	}
	if deadly != 0 {
		c.arrivals[deadly] = append(c.arrivals[deadly], c.now)
	}
	r.begins = c.now.Add(time.Duration(30+c.random.IntN(90)) * time.Millisecond)
	r.tries++
	c.runs[s] = append(c.runs[s], r)
}

// work lets the servers answer, and end under deadly parts.
func (c *cluster) work() {
	for s := range c.runs {
		var left []run
		var killer uint64
		for _, r := range c.runs[s] {
			deadly := deadlyPartOf(r.parts)
			switch {
			case r.begins.After(c.now):
				left = append(left, r)
			case deadly != 0:
				killer = deadly
				left = append(left, r)
			default:
				c.trackers[r.instance].RecordAnswer(r.parts, c.now)
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
	c.aliveAt[s] = c.now.Add(2500 * time.Millisecond)
	c.incarnation[s]++
	for _, r := range lost {
		c.trackers[r.instance].RecordLoss(Loss{
			Server: fmt.Sprint(s, "/", c.incarnation[s]), Request: r.id, Parts: r.parts, Begun: !r.begins.After(c.now),
		}, c.now)
	}
	for _, r := range lost {
		if r.tries < 2 {
			c.request(r)
		}
	}
}

// arrive sends the requests of one tick: some with each deadly part, and sound ones that
// share their caller's part.
func (c *cluster) arrive(deadly, sound int) {
	for n := range deadly {
		if c.random.Float64() < 0.7 {
			c.requests++
			c.request(run{instance: c.random.IntN(len(c.trackers)), id: fmt.Sprint("d", c.requests), parts: []uint64{1, firstDeadly + uint64(n)}})
		}
	}
	for range sound {
		c.requests++
		session := 10 + uint64(c.random.IntN(40))
		c.request(run{instance: c.random.IntN(len(c.trackers)), id: fmt.Sprint("s", c.requests), parts: []uint64{1 + session%3, session}})
	}
}

// late returns the number of requests with a part that reached servers later than
// contactTime after the fifth end under it.
func (c *cluster) late(part uint64) int {
	n := 0
	for _, at := range c.arrivals[part] {
		if len(c.ends[part]) >= 5 && at.Sub(c.ends[part][4]) > contactTime {
			n++
		}
	}
	return n
}

// check reports violations: too many late requests with a deadly part, or sound requests
// that are held back at the end.
func (c *cluster) check(t interface{ Fatalf(string, ...any) }, deadly int) {
	for n := range deadly {
		if late := c.late(firstDeadly + uint64(n)); late > maxLate {
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
		switch {
		case s.trouble == zoneLost && step == 40:
			for server := 0; server < s.servers; server += zones {
				c.end(server)
			}
		case s.trouble == lostInTurns && step > 30 && step%10 == 0:
			c.end(step / 10 % s.servers)
		}
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
