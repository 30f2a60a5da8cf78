package ratelimit

import (
	"fmt"
	"io"
	"math"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/gossip"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/rendezvous"
	pb "kumquatyard/proto/kumquat/v1"
)

var start = time.Unix(1_000_000, 0)

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func limit(perSecond float64) Limit { return Limit{Limited, perSecond} }

var server = Incarnation{ID: "s", StartedAtMs: 1, Address: "a"}

// alone returns the Tracker of the only instance.
func alone() *Tracker {
	t := New("i", quietLog())
	t.SetInstances(nil, start)
	return t
}

// observe records an answer that was asked for and arrived at the given times.
func (t *Tracker) observe(l Limit, askedMs, answeredMs int) {
	t.Observe(server, Observation{l, at(askedMs), at(answeredMs)})
}

func TestWhichAnswerHolds(t *testing.T) {
	type answer struct {
		limit           Limit
		asked, answered int
	}
	tests := map[string]struct {
		answers []answer
		want    Limit
	}{
		"no limit":                               {[]answer{{Limit{}, 0, 10}}, Limit{}},
		"first limit":                            {[]answer{{Limit{}, 0, 10}, {limit(3), 20, 30}}, limit(3)},
		"limit while others are on their way":    {[]answer{{limit(3), 20, 30}, {Limit{}, 10, 40}}, limit(3)},
		"ended":                                  {[]answer{{limit(3), 20, 30}, {Limit{}, 30, 40}}, Limit{}},
		"lower":                                  {[]answer{{limit(3), 20, 30}, {limit(2), 25, 40}}, limit(2)},
		"higher":                                 {[]answer{{limit(3), 20, 30}, {limit(4), 35, 40}}, limit(4)},
		"higher, perhaps from before":            {[]answer{{limit(3), 20, 30}, {limit(4), 25, 40}}, limit(3)},
		"lower, from before":                     {[]answer{{limit(3), 20, 30}, {limit(2), 5, 15}}, limit(3)},
		"limit that arrives late, after its end": {[]answer{{limit(3), 20, 30}, {Limit{}, 50, 60}, {limit(3), 10, 40}}, Limit{}},
		"unreadable":                             {[]answer{{limit(3), 20, 30}, {Limit{Kind: Unreadable}, 40, 50}}, limit(3)},
		"unreadable first":                       {[]answer{{Limit{Kind: Unreadable}, 40, 50}}, Limit{}},
		"confirmed, then an older end":           {[]answer{{limit(3), 20, 30}, {limit(3), 40, 60}, {Limit{}, 50, 70}}, limit(3)},
	}
	for name, tt := range tests {
		tr := alone()
		for _, a := range tt.answers {
			tr.observe(a.limit, a.asked, a.answered)
		}
		got := Limit{}
		if s := tr.servers[server]; s != nil {
			got = s.Limit
		}
		if got != tt.want || tr.IsLimited(server) != (tt.want.Kind == Limited) {
			t.Errorf("%s: limit %+v, limited: %v, want %+v", name, got, tr.IsLimited(server), tt.want)
		}
	}
}

// A server that starts again under its id is another one.
func TestNewIncarnationHasNoLimit(t *testing.T) {
	tr := alone()
	tr.observe(limit(0), 0, 0)
	again := server
	again.StartedAtMs++
	if tr.Allows(server, at(10)) || !tr.Allows(again, at(10)) {
		t.Errorf("allowed at the limited incarnation: %v, at the new one: %v, want only the second", tr.Allows(server, at(10)), tr.Allows(again, at(10)))
	}
}

// What could not be sent is not charged, and what was is, whatever became of it.
func TestChargesAndRefunds(t *testing.T) {
	tr := alone()
	tr.observe(limit(1), 0, 0)
	if tr.Take(server, at(900)) || !tr.Take(server, at(1000)) || tr.Take(server, at(1001)) {
		t.Fatal("a limit of one a second does not allow exactly one request in the first second")
	}
	tr.Refund(server, at(1002))
	if !tr.Take(server, at(1003)) || tr.Take(server, at(1004)) {
		t.Error("the refunded request cannot be sent again once")
	}
}

// An instance that does not know the others takes no share.
func TestNoShareUntilTheInstancesAreKnown(t *testing.T) {
	tr := New("i", quietLog())
	tr.observe(limit(50), 0, 0)
	if tr.Allows(server, at(60_000)) {
		t.Error("a request is allowed before the instances are known")
	}
	tr.SetInstances([]string{"i", "k"}, at(60_000))
	if tr.Allows(server, at(60_001)) || !tr.Allows(server, at(61_000)) {
		t.Error("no request is allowed a second after the instances are known, or one at once")
	}
}

// Instances whose entries are missing for a time, as after the store was away, keep their
// shares.
func TestInstanceThatIsMissingForATimeKeepsItsShare(t *testing.T) {
	tr := New("i", quietLog())
	tr.SetInstances([]string{"i", "k", "l", "m", "n", "o"}, start)
	tr.SetInstances([]string{"i"}, at(100))
	tr.Retain(func(machine.ID) bool { return true }, at(5000))
	if got := tr.instances.Len(); got != 6 {
		t.Errorf("%d instances share after 5 s, want 6", got)
	}
	tr.Retain(func(machine.ID) bool { return true }, at(100).Add(rendezvous.MemberRetention))
	if got := tr.instances.Len(); got != 1 {
		t.Errorf("%d instances share after %v, want 1", got, rendezvous.MemberRetention)
	}
}

// Refused callers return one after the other, at the rate that the servers take, the first
// when there is a token.
func TestRefusedCallersAreSpread(t *testing.T) {
	tr := alone()
	tr.observe(limit(4), -100, -100)
	for n := range 10 {
		want := time.Duration(n+1) * 250 * time.Millisecond
		if got := tr.ReturnIn("p", []Incarnation{server}, at(0)); got != want {
			t.Errorf("caller %d returns after %v, want %v", n, got, want)
		}
	}
	for range 100 {
		if got := tr.ReturnIn("p", []Incarnation{server}, at(0)); got > maxReturnTime {
			t.Fatalf("a caller returns after %v, want at most %v", got, maxReturnTime)
		}
	}
}

// The shares of all instances add up to the rate, and each feeds a request.
func TestShares(t *testing.T) {
	for _, instances := range []int{1, 2, 6, 300} {
		for _, perSecond := range []float64{0, 0.3, 1.2, 2.2, 12, 50, 1000} {
			total, burst := 0.0, 0.0
			for rank := range instances {
				s := shareOf(perSecond, rank, instances)
				if s.burst > 0 && s.burst < minBurst {
					t.Errorf("burst of %g at rate %g with %d instances is below one request", s.burst, perSecond, instances)
				}
				total, burst = total+s.perSecond, burst+s.burst
			}
			want := max(perSecond, minPerSecond)
			if total < 0.999*want || total > 1.001*want || burst > 2*want+5 {
				t.Errorf("shares of rate %g among %d instances add up to %g, with bursts of %g", perSecond, instances, total, burst)
			}
		}
	}
}

// What is kept and told is bounded, and what has changed is told first.
func TestMessagesAreBounded(t *testing.T) {
	tr := alone()
	for n := range maxServers + 10 {
		tr.Observe(Incarnation{ID: machine.ID(fmt.Sprint(n))}, Observation{limit(1), at(0), at(0)})
	}
	if len(tr.servers) > maxServers {
		t.Errorf("limits of %d servers are kept", len(tr.servers))
	}
	const servers = 10 * maxMessageServers
	tr = alone()
	for n := range servers {
		tr.Observe(Incarnation{ID: machine.ID(fmt.Sprint(n))}, Observation{limit(1), at(0), at(0)})
	}
	for range gossip.NewsSends * servers / maxMessageServers {
		tr.Messages(at(10))
	}
	tr.Observe(Incarnation{ID: "7"}, Observation{limit(2), at(20), at(20)})
	list := tr.Messages(at(30))
	if len(list) == 0 || len(list) > maxMessageServers || list[0].GetServer().GetServer() != "7" {
		t.Errorf("%d limits in a message, want the one that changed first", len(list))
	}
	if got := len(tr.Messages(at(40).Add(refreshInterval))); got != maxMessageServers {
		t.Errorf("%d limits in a message after %v, want %d", got, refreshInterval, maxMessageServers)
	}
}

// Limits of servers that are gone, and ends that are known everywhere, are dropped.
func TestRetain(t *testing.T) {
	tr := alone()
	tr.observe(limit(1), 0, 0)
	gone := func(machine.ID) bool { return false }
	tr.Retain(gone, at(0).Add(unknownRetention-1))
	if !tr.IsLimited(server) {
		t.Error("news of a server that is not listed yet were dropped")
	}
	tr.Retain(gone, at(0).Add(unknownRetention))
	if tr.IsLimited(server) || tr.limits.Load() != 0 {
		t.Error("the limit of a server that is gone is kept")
	}
	tr.observe(limit(1), 0, 0)
	tr.observe(Limit{}, 10, 20)
	tr.Retain(gone, at(20).Add(endedRetention))
	if len(tr.servers) != 0 {
		t.Error("the end of a limit is kept for ever")
	}
}

// The end of a limit is remembered: an earlier answer that is told late does not bring the limit
// back.
func TestEndedLimitDoesNotComeBack(t *testing.T) {
	tr := alone()
	tr.observe(limit(3), 20, 30)
	tr.observe(Limit{}, 50, 60)
	tr.Retain(func(machine.ID) bool { return true }, at(1000))
	tr.observe(limit(3), 10, 40)
	if tr.IsLimited(server) {
		t.Error("an answer from before the end brought the limit back")
	}
}

// Another instance's message names a rate that is not a number, or is negative.
func TestRateThatIsNoRateIsNotTaken(t *testing.T) {
	for _, rate := range []float64{math.NaN(), -1, math.Inf(-1)} {
		tr := alone()
		m := &pb.ServerLimit{Server: &pb.ServerIncarnation{Server: "s", StartedAtMs: 1, Address: "a"}, Limited: true, PerSecond: rate}
		tr.Merge([]*pb.ServerLimit{m}, at(10))
		if tr.IsLimited(server) {
			t.Errorf("a rate of %g was taken for a limit", rate)
		}
	}
}

// A server lowers its limit: what was saved up at the old rate is not spent at the new one.
func TestSavedRequestsFallWithTheShare(t *testing.T) {
	tr := alone()
	tr.observe(limit(50), 0, 0)
	if !tr.Allows(server, at(10_000)) {
		t.Fatal("no request is allowed at 50 a second")
	}
	tr.observe(limit(1), 10_000, 10_010)
	allowed := 0
	for tr.Take(server, at(10_010)) {
		allowed++
	}
	if most := int(shareOf(1, 0, 1).burst); allowed > most {
		t.Errorf("%d requests at once after the limit fell to 1 a second, want at most %d", allowed, most)
	}
	full := bucket{share: share{50, 53}, tokens: 53, filledAt: at(0)}
	full.setShare(share{1, 4})
	if full.tokens != 4 {
		t.Errorf("%g tokens after the share fell to a burst of 4", full.tokens)
	}
}

// A server that takes no requests is still asked now and then: otherwise nobody would learn that
// it takes some again.
func TestServerWithoutARateIsAskedNowAndThen(t *testing.T) {
	tr := alone()
	tr.observe(limit(0), 0, 0)
	asked := 0
	for s := range 60 {
		if tr.Take(server, at(1000*s)) {
			asked++
		}
	}
	if asked < 3 || asked > 7 {
		t.Errorf("a server that takes no requests was asked %d times in a minute, want about one in ten seconds", asked)
	}
}
