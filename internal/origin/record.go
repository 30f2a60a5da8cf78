package origin

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"kumquatyard/internal/machine"
	"kumquatyard/internal/store"
	pb "kumquatyard/proto/kumquat/v1"
)

const (
	// VersionsPrefix is the store's prefix of the lists of the pools' versions.
	VersionsPrefix = "kumquat/versions/"
	// streamsPrefix is the store's prefix of the records of streams.
	streamsPrefix = "kumquat/streams/"
	// recordTTL is the time to live of a record's lease, and leaseAge the age up to which
	// records are written under a lease.
	recordTTL = 60 * time.Second
	leaseAge  = 10 * time.Second
)

// recordsPrefix returns the prefix of the records of one stream. There is one for each origin
// that the stream may have, so that a late write of one that did not begin it hides none.
func recordsPrefix(stream string) string {
	return streamsPrefix + strconv.FormatUint(xxhash.Sum64String(stream), 16) + "/"
}

// encode returns the key and the value of a record.
func (r Record) encode() (key string, value []byte, err error) {
	o := r.Origin
	value, err = proto.Marshal(&pb.StreamOrigin{Pool: o.Pool, Version: o.Version, Server: string(o.Server), StartedAtMs: o.StartedAtMs})
	if err != nil {
		return "", nil, fmt.Errorf("encode the origin of stream %s: %w", r.Stream, err)
	}
	return recordsPrefix(r.Stream) + strconv.FormatUint(xxhash.Sum64(value), 16), value, nil
}

// encodeAll returns the keys and values of records.
func encodeAll(records []Record) (map[string][]byte, error) {
	values := make(map[string][]byte, len(records))
	for _, r := range records {
		key, value, err := r.encode()
		if err != nil {
			return nil, err
		}
		values[key] = value
	}
	return values, nil
}

// decodeRecords returns the origin that all records of a stream agree on. It fails with
// ErrUnknown if there is none.
func decodeRecords(items []store.Item) (Origin, error) {
	var found Origin
	for n, item := range items {
		var m pb.StreamOrigin
		if err := proto.Unmarshal(item.Value, &m); err != nil {
			return Origin{}, fmt.Errorf("decode the record %s: %w", item.Key, err)
		}
		o := Origin{Pool: m.GetPool(), Version: m.GetVersion(), Server: machine.ID(m.GetServer()), StartedAtMs: m.GetStartedAtMs()}
		if n > 0 && !o.alike(found) {
			return Origin{}, ErrUnknown
		}
		found = o
	}
	if len(items) == 0 {
		return Origin{}, ErrUnknown
	}
	return found, nil
}

// encodeList returns the stored form of a pool's list.
func encodeList(l list) ([]byte, error) {
	value, err := proto.Marshal(&pb.PoolVersions{Versions: l.versions, Era: l.era, Retiring: l.retiring})
	if err != nil {
		return nil, fmt.Errorf("encode the list of versions: %w", err)
	}
	return value, nil
}

// decodeList returns a pool's list from its item; an empty one if the store has none.
func decodeList(item store.Item) (list, error) {
	l := list{revision: item.Revision}
	if !item.Exists() {
		return l, nil
	}
	var m pb.PoolVersions
	if err := proto.Unmarshal(item.Value, &m); err != nil {
		return l, fmt.Errorf("decode the list of versions %s: %w", item.Key, err)
	}
	l.versions, l.era, l.retiring = m.GetVersions(), m.GetEra(), m.GetRetiring()
	return l, nil
}
