// Package rollup sums the states of entry instances in two levels. Each instance, a
// member of its zone, sends its state to the zone's aggregators. An aggregator sums the
// states of its members, sends the sum to the aggregators of the other zones, and sends
// the sum over all zones back to its members. A member subtracts its own state from it:
// the sum says which one it holds.
//
// What an instance sends and receives therefore depends on the number of servers and
// workspaces, and what an aggregator does on the size of its zone, but neither on the
// number of instances. Aggregators are not elected: each member chooses the two that
// rank first among those that answer, and whoever receives states sums them. The package
// does no I/O; internal/peers sends the messages.
package rollup

import (
	"math"

	"github.com/cespare/xxhash/v2"

	pb "kumquatyard/proto/kumquat/v1"
)

// Key returns the hash by which messages identify a name. Two of 3,400 servers have the
// same hash with a probability of 0.13 %; their work is then added up.
func Key(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Work is the unfinished work at an engine.
type Work struct {
	// Active is the number of requests that were sent and have not ended.
	Active int
	// Waiting is the number of those without a first token, and WaitingTokens the tokens
	// of their prompts that still need prefill.
	Waiting       int
	WaitingTokens int
	// Speed tells how fast the server answers, and Reports what it reports.
	Speed   SpeedSum
	Reports ReportSum
}

// Add adds o to w.
func (w *Work) Add(o Work) {
	w.Active += o.Active
	w.Waiting += o.Waiting
	w.WaitingTokens += o.WaitingTokens
	w.Speed = w.Speed.plus(o.Speed)
	w.Reports = w.Reports.plus(o.Reports)
}

// Minus returns w without what o, which was added before, holds.
func (w Work) Minus(o Work) Work {
	return Work{
		max(w.Active-o.Active, 0), max(w.Waiting-o.Waiting, 0), max(w.WaitingTokens-o.WaitingTokens, 0),
		w.Speed.minus(o.Speed), w.Reports.minus(o.Reports),
	}
}

// Totals are quantities that are summed over instances.
type Totals struct {
	// Work is the unfinished work by the Key of the server.
	Work map[uint32]Work
	// Demand is the prompt work that callers request, in tokens per second, by the Key of
	// the pool's name.
	Demand map[uint32]float64
}

func newTotals() Totals {
	return Totals{Work: make(map[uint32]Work), Demand: make(map[uint32]float64)}
}

// add adds the totals of a message.
func (t *Totals) add(work *pb.Work, demands []*pb.PoolDemand) {
	for i, key := range work.GetServers() {
		w := t.Work[key]
		w.Add(workAt(work, i))
		t.Work[key] = w
	}
	for _, d := range demands {
		t.Demand[d.GetPool()] += float64(d.GetTokensPerSecond())
	}
}

// workAt returns the work of a message at its server number i.
func workAt(work *pb.Work, i int) Work {
	return Work{
		element(work.GetActive(), i), element(work.GetWaiting(), i), element(work.GetWaitingTokens(), i),
		SpeedSum{element(work.GetSpeedWeights(), i), element(work.GetSpeedLogs(), i)},
		ReportSum{element(work.GetReportWeights(), i), element(work.GetReportLogs(), i), element(work.GetReportWaiting(), i)},
	}
}

// element returns an element of a list, 0 if a malformed message has a shorter one or if the
// sender does not know the list.
func element[N uint32 | int32](list []N, i int) int {
	if i >= len(list) {
		return 0
	}
	return int(list[i])
}

// subtract removes the totals of a message that was added before.
func (t *Totals) subtract(work *pb.Work, demands []*pb.PoolDemand) {
	for i, key := range work.GetServers() {
		t.Work[key] = t.Work[key].Minus(workAt(work, i))
	}
	for _, d := range demands {
		t.Demand[d.GetPool()] = max(t.Demand[d.GetPool()]-float64(d.GetTokensPerSecond()), 0)
	}
}

// EncodeWork returns the message form of work.
func EncodeWork(work map[uint32]Work) *pb.Work {
	m := &pb.Work{}
	for key, w := range work {
		if w == (Work{}) {
			continue
		}
		m.Servers = append(m.Servers, key)
		m.Active = append(m.Active, uint32(w.Active))
		m.Waiting = append(m.Waiting, uint32(w.Waiting))
		m.WaitingTokens = append(m.WaitingTokens, uint32(min(w.WaitingTokens, math.MaxUint32)))
	}
	encodeSpeeds(m, work)
	return m
}

// EncodeDemand returns the message form of demand.
func EncodeDemand(demand map[uint32]float64) []*pb.PoolDemand {
	list := make([]*pb.PoolDemand, 0, len(demand))
	for key, rate := range demand {
		list = append(list, &pb.PoolDemand{Pool: key, TokensPerSecond: float32(rate)})
	}
	return list
}
