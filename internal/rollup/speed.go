package rollup

import pb "kumquatyard/proto/kumquat/v1"

const (
	// WeightUnits is the number of units of a sum's Weight and Waiting that one answer adds.
	WeightUnits = 4
	// LogUnits is the number of units of a sum's Log per weight of one answer and unit of the
	// natural logarithm.
	LogUnits = 32
	// maxSpeeds is the number of servers above which a message has no speeds, so that it fits
	// into a datagram.
	maxSpeeds = 2000
)

// SpeedSum sums over answers how much longer than usual in its pool a server took. Each
// answer's weight decreases with its age, so that a sum is a level and not a counter: it can
// be added, and subtracted again.
type SpeedSum struct {
	// Weight is the sum of the weights, in WeightUnits.
	Weight int
	// Log is the weighted sum of the logarithms of the ratios, in LogUnits.
	Log int
}

func (s SpeedSum) plus(o SpeedSum) SpeedSum { return SpeedSum{s.Weight + o.Weight, s.Log + o.Log} }

func (s SpeedSum) minus(o SpeedSum) SpeedSum {
	if s.Weight <= o.Weight {
		return SpeedSum{}
	}
	return SpeedSum{s.Weight - o.Weight, s.Log - o.Log}
}

// ReportSum sums over answers what a server reported with them of itself, weighted as in a
// SpeedSum.
type ReportSum struct {
	// Weight is the sum of the weights, in WeightUnits.
	Weight int
	// Log is the weighted sum of the logarithms of the slowdowns, in LogUnits.
	Log int
	// Waiting is the weighted sum of the numbers of waiting requests, in WeightUnits.
	Waiting int
}

func (s ReportSum) plus(o ReportSum) ReportSum {
	return ReportSum{s.Weight + o.Weight, s.Log + o.Log, s.Waiting + o.Waiting}
}

func (s ReportSum) minus(o ReportSum) ReportSum {
	if s.Weight <= o.Weight {
		return ReportSum{}
	}
	return ReportSum{s.Weight - o.Weight, s.Log - o.Log, max(s.Waiting-o.Waiting, 0)}
}

// encodeSpeeds adds the speeds and reports of the servers that the message lists. It leaves out
// lists that would hold zeros only.
func encodeSpeeds(m *pb.Work, work map[uint32]Work) {
	if len(m.Servers) > maxSpeeds {
		return
	}
	var speed SpeedSum
	var reports ReportSum
	for _, key := range m.Servers {
		speed, reports = speed.plus(work[key].Speed), reports.plus(work[key].Reports)
	}
	for _, key := range m.Servers {
		if w := work[key].Speed; speed.Weight > 0 {
			m.SpeedWeights = append(m.SpeedWeights, uint32(w.Weight))
			m.SpeedLogs = append(m.SpeedLogs, int32(w.Log))
		}
		if w := work[key].Reports; reports.Weight > 0 {
			m.ReportWeights = append(m.ReportWeights, uint32(w.Weight))
			m.ReportLogs = append(m.ReportLogs, int32(w.Log))
			m.ReportWaiting = append(m.ReportWaiting, uint32(w.Waiting))
		}
	}
}
