package rollup

const (
	// WeightUnits is the number of units of a sum's Weight and Waiting that one answer adds.
	WeightUnits = 4
	// LogUnits is the number of units of a sum's Log per weight of one answer and unit of the
	// natural logarithm.
	LogUnits = 32
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
