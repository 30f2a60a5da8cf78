package load

import (
	"math/rand/v2"
	"time"
)

// times returns the arrival times of a Poisson process whose rate alternates
// between calm and bursts of exponential length (a Markov-modulated Poisson
// process), in order.
func (a Arrivals) times(rng *rand.Rand, duration time.Duration) []time.Duration {
	calm := a.Rate / (1 - a.BurstShare + a.BurstShare*a.BurstFactor)
	var times []time.Duration
	burst := false
	for start := time.Duration(0); start < duration; burst = !burst {
		length, rate := duration, calm
		if a.BurstShare > 0 {
			length, rate = a.phase(rng, burst, calm, duration)
		}
		end := min(start+length, duration)
		for at := start + wait(rng, rate); at < end; at += wait(rng, rate) {
			times = append(times, at)
		}
		start = end
	}
	return times
}

// phase returns the length, at most limit, and the rate of a burst or a calm.
func (a Arrivals) phase(rng *rand.Rand, burst bool, calm float64, limit time.Duration) (time.Duration, float64) {
	length, rate := rng.ExpFloat64()*float64(a.BurstLength), calm
	if burst {
		rate = calm * a.BurstFactor
	} else {
		length *= (1 - a.BurstShare) / a.BurstShare
	}
	return time.Duration(min(length, float64(limit))), rate
}

// maxWait is longer than any run.
const maxWait = 1 << 60 * time.Nanosecond

// wait returns the time to the next arrival at rate a second.
func wait(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(min(rng.ExpFloat64()/rate*float64(time.Second), float64(maxWait)))
}
