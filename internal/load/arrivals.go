package load

import (
	"math/rand/v2"
	"time"
)

// times returns the arrival times, in order, of a Markov-modulated Poisson
// process. Its rate alternates between calm and burst phases, whose lengths are
// exponentially distributed.
func (a Arrivals) times(rng *rand.Rand, duration time.Duration) []time.Duration {
	calmRate := a.Rate / (1 - a.BurstShare + a.BurstShare*a.BurstFactor)
	var times []time.Duration
	burst := false
	for start := time.Duration(0); start < duration; burst = !burst {
		length, rate := duration, calmRate
		if a.BurstShare > 0 {
			length, rate = a.phase(rng, burst, calmRate, duration)
		}
		end := min(start+length, duration)
		for at := start + interarrival(rng, rate); at < end; at += interarrival(rng, rate) {
			times = append(times, at)
		}
		start = end
	}
	return times
}

// phase returns the length, at most limit, and the rate of a burst or calm phase.
func (a Arrivals) phase(rng *rand.Rand, burst bool, calmRate float64, limit time.Duration) (time.Duration, float64) {
	length, rate := rng.ExpFloat64()*float64(a.BurstLength), calmRate
	if burst {
		rate = calmRate * a.BurstFactor
	} else {
		length *= (1 - a.BurstShare) / a.BurstShare
	}
	return time.Duration(min(length, float64(limit))), rate
}

// maxInterarrival, longer than any run, keeps an interarrival time within the
// range of a Duration.
const maxInterarrival = 1 << 60 * time.Nanosecond

// interarrival returns the time to the next arrival at rate per second.
func interarrival(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(min(rng.ExpFloat64()/rate*float64(time.Second), float64(maxInterarrival)))
}
