package forecast

import (
	"math"
	"time"

	"kumquatyard/internal/rollup"
)

const (
	// speedMemory is the time constant with which observations of a server's speed lose weight.
	speedMemory = 20 * time.Second
	// reportMemory is the time constant with which a server's reports of itself lose weight against
	// later ones, and stateDuration that with which the latest stops to hold: how long a machine
	// stays as busy as it is.
	reportMemory  = 250 * time.Millisecond
	stateDuration = 500 * time.Millisecond
)

// level is a sum over observations whose weights decay with their age.
type level struct {
	weight, log, waiting float64
	at                   time.Time
}

// add adds an observation of the given weight at now.
func (l *level) add(log, waiting, weight float64, now time.Time, memory time.Duration) {
	*l = l.decayed(now, memory)
	l.weight += weight
	l.log += weight * log
	l.waiting += weight * waiting
}

// decayed returns the level at now.
func (l level) decayed(now time.Time, memory time.Duration) level {
	if l.weight == 0 {
		return level{at: now}
	}
	left := math.Exp(-max(now.Sub(l.at), 0).Seconds() / memory.Seconds())
	return level{l.weight * left, l.log * left, l.waiting * left, now}
}

// plus returns the sum of two levels of the same time.
func (l level) plus(o level) level {
	return level{l.weight + o.weight, l.log + o.log, l.waiting + o.waiting, l.at}
}

// speedSum returns the message form of a level.
func (l level) speedSum() rollup.SpeedSum {
	weight := units(l.weight, rollup.WeightUnits)
	if weight == 0 {
		return rollup.SpeedSum{}
	}
	return rollup.SpeedSum{Weight: weight, Log: units(l.log, rollup.LogUnits)}
}

// reportSum returns the message form of a level.
func (l level) reportSum() rollup.ReportSum {
	weight := units(l.weight, rollup.WeightUnits)
	if weight == 0 {
		return rollup.ReportSum{}
	}
	return rollup.ReportSum{Weight: weight, Log: units(l.log, rollup.LogUnits), Waiting: min(units(l.waiting, rollup.WeightUnits), math.MaxInt32)}
}

func units(x float64, perOne int) int { return int(math.Round(x * float64(perOne))) }

// speedLevel and reportLevel return the levels of sums as of a time.
func speedLevel(s rollup.SpeedSum, at time.Time) level {
	return level{weight: float64(s.Weight) / rollup.WeightUnits, log: float64(s.Log) / rollup.LogUnits, at: at}
}

func reportLevel(s rollup.ReportSum, at time.Time) level {
	return level{weight: float64(s.Weight) / rollup.WeightUnits, log: float64(s.Log) / rollup.LogUnits, waiting: float64(s.Waiting) / rollup.WeightUnits, at: at}
}
