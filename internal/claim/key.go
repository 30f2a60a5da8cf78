// Package claim decides who may run a non-idempotent request. A request's
// idempotency key belongs to one of a fixed number of shards. The shard's owner
// records claims and their outcomes in the platform's key-value service and
// grants a claim only after its record is known to be stored.
//
// The package does no I/O: it turns messages and the results of key-value
// calls into replies and further calls, which internal/claimshard performs.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	pb "kumquatyard/proto/kumquat/v1"
)

// DigestBytes is the length of keys and fingerprints in bytes.
const DigestBytes = 16

// ID is the digest of a workspace and an idempotency key.
type ID [DigestBytes]byte

// Key returns the digest of workspace and idempotencyKey.
func Key(workspace, idempotencyKey string) []byte {
	return digest([]byte(workspace), []byte(idempotencyKey))
}

// Fingerprint returns the digest of a request's method, path and body.
func Fingerprint(method, path string, body []byte) []byte {
	return digest([]byte(method), []byte(path), body)
}

// digest hashes parts, each preceded by its length, so that different lists of
// parts never give the same hash input.
func digest(parts ...[]byte) []byte {
	h := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return h.Sum(nil)[:DigestBytes]
}

// ShardOf returns the number of key's shard, 0 to shards-1.
func ShardOf(key []byte, shards int) int {
	return int(xxhash.Sum64(key) % uint64(shards))
}

// OwnerOf returns the name under which a process owns shards. It is unique to one
// start of the process.
func OwnerOf(p *pb.Peer) string {
	return p.GetId() + "/" + strconv.FormatUint(p.GetIncarnation(), 10)
}

// PreferredOwner returns the peer that should own shard: the one with the highest
// rendezvous score among those that are not leaving, or nil if there is none.
func PreferredOwner(shard int, peers []*pb.Peer) *pb.Peer {
	var best *pb.Peer
	var bestScore uint64
	for _, p := range peers {
		if p.GetLeaving() {
			continue
		}
		score := xxhash.Sum64String(strconv.Itoa(shard) + "/" + p.GetId())
		if best == nil || score > bestScore || (score == bestScore && p.GetId() < best.GetId()) {
			best, bestScore = p, score
		}
	}
	return best
}
