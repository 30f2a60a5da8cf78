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
			length, rate = a.phase(rng, burst, calm)
		}
		end := min(start+length, duration)
		for at := start + wait(rng, rate); at < end; at += wait(rng, rate) {
			times = append(times, at)
		}
		start = end
	}
	return times
}

// phase returns the length and the rate of a burst or a calm.
func (a Arrivals) phase(rng *rand.Rand, burst bool, calm float64) (time.Duration, float64) {
	mean := float64(a.BurstLength)
	if burst {
		return time.Duration(rng.ExpFloat64() * mean), calm * a.BurstFactor
	}
	return time.Duration(rng.ExpFloat64() * mean * (1 - a.BurstShare) / a.BurstShare), calm
}

// wait returns the time to the next arrival at rate a second.
func wait(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}
