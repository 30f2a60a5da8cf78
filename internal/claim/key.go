// Package claim decides who may run a non-idempotent request. A request's
// idempotency key belongs to one of a fixed number of shards; the shard's
// owner records claims and their outcomes in the platform's key-value service
// and grants a claim only after its record is known to be stored.
//
// The package is pure: it turns messages and results of key-value calls into
// replies and further calls. internal/claimshard performs them.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	pb "kumquatyard/proto/kumquat/v1"
)

// DigestBytes is the length of keys and fingerprints.
const DigestBytes = 16

// ID is the digest of a workspace and an idempotency key.
type ID [DigestBytes]byte

// Key returns the digest that stands for idempotencyKey of workspace.
func Key(workspace, idempotencyKey string) []byte {
	return digest([]byte(workspace), []byte(idempotencyKey))
}

// Fingerprint returns the digest of a request's method, path and body.
func Fingerprint(method, path string, body []byte) []byte {
	return digest([]byte(method), []byte(path), body)
}

// digest hashes parts with their lengths, so that no two lists of parts share
// an input.
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

// ShardOf returns the shard, 0 to shards-1, that key belongs to.
func ShardOf(key []byte, shards int) int {
	return int(xxhash.Sum64(key) % uint64(shards))
}

// OwnerOf returns the name that a process owns shards by, unique to one start
// of the process.
func OwnerOf(p *pb.Peer) string {
	return p.GetId() + "/" + strconv.FormatUint(p.GetIncarnation(), 10)
}

// PreferredOwner returns the peer that shall try to own shard: the one with the highest
// rendezvous score. It returns nil when peers is empty. Peers that are leaving
// are passed over.
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
