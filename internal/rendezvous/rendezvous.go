// Package rendezvous holds the hash by which all instances make the same choice without
// telling each other (highest random weight; Thaler and Ravishankar, 1998).
package rendezvous

// Score returns the weight of a candidate for a key, from hashes of both. The candidate with
// the highest score is chosen.
func Score(candidate, key uint64) uint64 { return Mix(candidate ^ key) }

// Mix is the finalizer of splitmix64.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
