package rollout

import (
	"math"
	"time"

	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// latencyClasses is the number of classes of latencies, of which each but the first and the
	// last spans latencyFactor.
	latencyClasses = 30
	latencyFactor  = 1.35
	firstLatency   = 4 * time.Millisecond
)

// latencyClass returns the class of a latency.
func latencyClass(d time.Duration) int {
	if d <= firstLatency {
		return 0
	}
	class := 1 + int(math.Log(float64(d)/float64(firstLatency))/math.Log(latencyFactor))
	return min(class, latencyClasses-1)
}

// Counts counts answers.
type Counts struct {
	Answers, Failed int
	// Latencies counts the answers that did not fail by the class of their latency.
	Latencies [latencyClasses]int
}

// Add adds o to c.
func (c *Counts) Add(o *Counts) {
	c.Answers += o.Answers
	c.Failed += o.Failed
	for i, n := range o.Latencies {
		c.Latencies[i] += n
	}
}

// add counts one answer.
func (c *Counts) add(failed bool, latency time.Duration) {
	c.Answers++
	if failed {
		c.Failed++
		return
	}
	c.Latencies[latencyClass(latency)]++
}

// timed returns the number of answers with a latency, and how many of them are in a class above
// the given one.
func (c *Counts) timed(class int) (n, above int) {
	for i, count := range c.Latencies {
		n += count
		if i > class {
			above += count
		}
	}
	return n, above
}

// cellKey says whose answers are counted.
type cellKey struct {
	route  uint32
	target bool
	// server is 0 for several servers.
	server uint32
}

// Cell counts the answers of a version's servers, or one of them, on a route.
type Cell struct {
	cellKey
	// Total counts all answers, and Recent those of the last seconds.
	Total, Recent Counts
}

func encodeCounts(c *Counts) *pb.RolloutCounts {
	if c.Answers == 0 {
		return nil
	}
	m := &pb.RolloutCounts{Answers: uint32(c.Answers), Failed: uint32(c.Failed)}
	last := latencyClasses
	for last > 0 && c.Latencies[last-1] == 0 {
		last--
	}
	for _, n := range c.Latencies[:last] {
		m.LatencyClasses = append(m.LatencyClasses, uint32(n))
	}
	return m
}

func decodeCounts(m *pb.RolloutCounts) Counts {
	c := Counts{Answers: int(m.GetAnswers()), Failed: int(m.GetFailed())}
	for i, n := range m.GetLatencyClasses() {
		if i < latencyClasses {
			c.Latencies[i] = int(n)
		}
	}
	return c
}

func encodeCells(cells []Cell) []*pb.RolloutCell {
	list := make([]*pb.RolloutCell, 0, len(cells))
	for i := range cells {
		c := &cells[i]
		list = append(list, &pb.RolloutCell{
			Route: c.route, Target: c.target, Server: c.server, Total: encodeCounts(&c.Total), Recent: encodeCounts(&c.Recent),
		})
	}
	return list
}

func decodeCells(list []*pb.RolloutCell) []Cell {
	cells := make([]Cell, 0, len(list))
	for _, m := range list {
		cells = append(cells, Cell{
			cellKey: cellKey{m.GetRoute(), m.GetTarget(), m.GetServer()}, Total: decodeCounts(m.GetTotal()), Recent: decodeCounts(m.GetRecent()),
		})
	}
	return cells
}
