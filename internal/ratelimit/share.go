package ratelimit

import "time"

const (
	// minPerSecond is the least rate that is used, in requests per second: without any
	// request it would not be known when a limit ends.
	minPerSecond = 0.1
	// All holders together may burst by burstTime at the rate, and by burstBase requests.
	burstTime = time.Second
	burstBase = 3
	// minBurst is the burst of a holder, in requests: more than one, since a bucket that is
	// full gains nothing until a request comes.
	minBurst = 1.3
)

// share is an instance's part of a server's rate, in requests per second, and the burst up
// to which it can be saved, in requests.
type share struct{ perSecond, burst float64 }

// shareOf returns the share of the instance with the given rank, counted from 0.
func shareOf(perSecond float64, rank, instances int) share {
	if instances == 0 {
		return share{}
	}
	perSecond = max(perSecond, minPerSecond)
	burst := perSecond*burstTime.Seconds() + burstBase
	holders := min(int(burst/minBurst), instances)
	if rank >= holders {
		return share{}
	}
	return share{perSecond / float64(holders), burst / float64(holders)}
}

// bucket is a token bucket with an instance's share. It starts empty: what was sent before
// the limit was known counts against it too.
type bucket struct {
	share
	tokens   float64
	filledAt time.Time
}

// refill adds the tokens for the time since the last refill.
func (b *bucket) refill(now time.Time) {
	if passed := now.Sub(b.filledAt); !b.filledAt.IsZero() && passed > 0 {
		b.add(passed.Seconds() * b.perSecond)
	}
	b.filledAt = now
}

func (b *bucket) add(tokens float64) { b.tokens = min(b.tokens+tokens, b.burst) }

// setShare changes the share.
func (b *bucket) setShare(s share) {
	b.share = s
	b.add(0)
}

// take takes a token and reports whether there was one.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// wait returns the time until there is a token.
func (b *bucket) wait() time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	if b.perSecond == 0 {
		return maxReturnTime
	}
	return time.Duration((1 - b.tokens) / b.perSecond * float64(time.Second))
}
