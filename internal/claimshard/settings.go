package claimshard

import (
	"time"

	"kumquatyard/internal/claim"
)

// Settings are the claim keys of an agent's settings file.
type Settings struct {
	// Shards is the number of shards. It is part of the stored layout: it must be
	// the same at all agents and must not change.
	Shards int `yaml:"shards" validate:"min=1,max=1024"`
	// WritesPerSecond limits the commits of all shards together.
	WritesPerSecond float64 `yaml:"writes_per_second" validate:"min=1"`
	// Retention is how long a key is kept after its claim.
	Retention time.Duration `yaml:"retention" validate:"min=60000000000"`
	// SegmentBytes is the size at which a shard opens a new segment.
	SegmentBytes int `yaml:"segment_bytes" validate:"min=1024,max=32768"`
	// MaxKeys limits the memory of a shard. A shard with that many keys refuses new
	// ones until old ones are past Retention.
	MaxKeys int `yaml:"max_keys" validate:"min=100"`
}

// DefaultSettings returns settings for both deployments, on a key-value service
// that allows several hundred writes per second.
func DefaultSettings() Settings {
	limits := claim.DefaultLimits()
	return Settings{
		Shards:          16,
		WritesPerSecond: 160,
		Retention:       limits.Retention,
		SegmentBytes:    limits.SegmentBytes,
		MaxKeys:         limits.MaxKeys,
	}
}

// limits returns the limits of one shard.
func (s Settings) limits() claim.Limits {
	l := claim.DefaultLimits()
	l.Retention, l.SegmentBytes, l.MaxKeys = s.Retention, s.SegmentBytes, s.MaxKeys
	l.WritesPerSecond = s.WritesPerSecond / float64(s.Shards)
	return l
}
