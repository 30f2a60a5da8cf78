package connlimit

import (
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/membudget"
)

// Guard holds the doors of a process and the memory that they share.
type Guard struct {
	Callers, Peers, Readiness, Metrics *Door
	// Bodies is the memory for bodies, nil if it has no limit.
	Bodies *membudget.Budget
}

const (
	// bodyStall and answerStall are how long a body, and the reading of an answer, may make no
	// progress. Callers have given up by then.
	bodyStall   = 15 * time.Second
	answerStall = 20 * time.Second
	// callersGrace is above the pauses of a link that many callers share: at 10 Mbit/s for 300
	// bodies, a segment of each comes every third of a second.
	callersGrace = 500 * time.Millisecond
	// bodyMemoryGrace is shorter, since a body that stops holds much of what many want.
	bodyMemoryGrace = 250 * time.Millisecond
	// probesGrace leaves a probe time for its request and its answer. Nothing runs behind
	// the doors of probes, so that new ones come first.
	probesGrace = 50 * time.Millisecond
	probeTime   = 2 * time.Second
	// probeIdleTime is above the intervals of probes and of reading metrics.
	probeIdleTime = 60 * time.Second
	// peersHeadShare is the part of the memory for heads that the other instances get.
	peersHeadShare = 0.3
	// roomPause is the time that a connection needs to give back what it held, and roomTries
	// bounds how many give way to one body.
	roomPause = 2 * time.Millisecond
	roomTries = 16
)

// NewGuard returns the doors of a plan. limits returns the bounds in force on heads and idle
// connections of callers.
func NewGuard(p Plan, limits func() Limits, log *logrus.Entry) *Guard {
	callers := func() Rules {
		l := limits()
		return Rules{HeadTimeout: l.HeadTimeout, IdleTimeout: l.IdleTimeout, BodyStall: bodyStall, AnswerStall: answerStall, Grace: callersGrace}
	}
	probes := func() Rules {
		return Rules{HeadTimeout: probeTime, IdleTimeout: probeIdleTime, BodyStall: probeTime, AnswerStall: answerStall, Grace: probesGrace, AnswersGiveWay: true}
	}
	peersHeads := int64(peersHeadShare * float64(p.HeadBytes))
	return &Guard{
		Callers: NewDoor(Settings{
			Name: "callers", Limit: p.Callers, Heads: budget(p.HeadBytes - peersHeads), Rules: callers, MaxHeadBytes: func() int { return limits().MaxHeadBytes }, Log: log,
		}),
		Peers:     NewDoor(Settings{Name: "peers", Limit: p.Peers, Heads: budget(peersHeads), Rules: callers, Log: log}),
		Readiness: NewDoor(Settings{Name: "readiness", Limit: p.Readiness, Rules: probes, Log: log}),
		Metrics:   NewDoor(Settings{Name: "metrics", Limit: p.Metrics, Rules: probes, Log: log}),
		Bodies:    bodiesOf(p),
	}
}

// Unlimited returns doors that admit all.
func Unlimited(log *logrus.Entry) *Guard {
	return NewGuard(Plan{}, func() Limits { return Limits{} }, log)
}

// Limits are bounds on what callers send; 0 means no bound.
type Limits struct {
	MaxHeadBytes             int
	HeadTimeout, IdleTimeout time.Duration
}

func budget(bytes int64) *membudget.Budget {
	if bytes <= 0 {
		return nil
	}
	return membudget.New(bytes)
}

func bodiesOf(p Plan) *membudget.Budget {
	if p.BodyBytes <= 0 {
		return nil
	}
	return membudget.NewWithReserve(p.BodyBytes, p.SmallBodyBytes)
}

// Sweep closes the connections whose time is over, and logs what was closed and refused.
func (g *Guard) Sweep(now time.Time) {
	for _, d := range g.doors() {
		d.sweep(now)
	}
}

func (g *Guard) doors() []*Door { return []*Door{g.Callers, g.Peers, g.Readiness, g.Metrics} }

// GrowBody charges a body that has n bytes now. If there is no memory, bodies without progress
// give way. It reports whether there was memory.
func (g *Guard) GrowBody(c *membudget.Charge, n int64) bool {
	for range roomTries {
		if c.Grow(n) {
			return true
		}
		now, rules := time.Now(), Rules{Grace: bodyMemoryGrace}
		if !g.Peers.makeRoomBy(rules, now, reasonNoBodyMemory, isBody) && !g.Callers.makeRoomBy(rules, now, reasonNoBodyMemory, isBody) {
			break
		}
		time.Sleep(roomPause)
	}
	g.Callers.reports.count(reasonBodyRefused)
	return false
}
