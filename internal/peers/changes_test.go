package peers

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	pb "kumquatyard/proto/kumquat/v1"
)

// zoneOfTheLargeDeployment is the number of other instances in a zone of the large deployment.
const zoneOfTheLargeDeployment = 61

// configItem returns a configuration with the given number of routes, each with a name, a
// host and a prefix of its own.
func configItem(routes int) *pb.StoreItem {
	random := rand.New(rand.NewPCG(1, uint64(routes)))
	word := func() string { return fmt.Sprintf("%07x", random.Uint32()%(1<<28)) }
	var config strings.Builder
	for n := range routes {
		fmt.Fprintf(&config, `{"name":"r-%s","host":"%s.example","path":"/%s/","answer":"event-stream","answered_within":%d,"first_byte_within":%d,"precedence":%d,"pool":"writers","tries_at_most":2,"anonymous":false,"affinity":true,"may_continue":true,"pause_at_most":600},`,
			word(), word(), word(), 3000+1000*(n%4), 300+100*(n%5), n%3)
	}
	return &pb.StoreItem{Key: "settings/routes", Value: []byte(config.String()), Revision: 2}
}

// serverItem returns the entry of a server.
func serverItem(n int) *pb.StoreItem {
	return &pb.StoreItem{
		Key:      fmt.Sprintf("servers/i-%08x", n*2654435761),
		Value:    fmt.Appendf(nil, `{"pool":"writers","address":"10.3.%d.%d:8323","zone":"z","version":"v1","slots":64,"state":"serving","n":%d}`, n/250, n%250, n),
		Revision: uint64(n),
	}
}

// Pattern: the configuration of the large deployment grows by 1,650 routes, while a server
// says that it leaves. The relay has the zone's widest link.
func TestLargeConfigurationIsRelayed(t *testing.T) {
	a, b := newInstance(t, "z0", "z"), newInstance(t, "z1", "z")
	a.options.Self.LinkMbps = 200
	sent := &pb.StoreChanges{From: "z0", After: 1, Revision: 9, Items: []*pb.StoreItem{configItem(1750), serverItem(9)}}
	data, err := a.encodeForZone(proto.Clone(sent).(*pb.StoreChanges), true, zoneOfTheLargeDeployment)
	if err != nil {
		t.Fatal(err)
	}
	if needed := a.relayTime(len(data) * zoneOfTheLargeDeployment); needed > maxRelayTime {
		t.Errorf("%d bytes to %d instances take the link %v, want at most %v", len(data), zoneOfTheLargeDeployment, needed, maxRelayTime)
	}
	b.handleDatagram(data, time.Now())
	b.mu.Lock()
	defer b.mu.Unlock()
	if !proto.Equal(b.lastChanges, sent) {
		t.Errorf("arrived: %d items after %d, want the configuration and the server's entry", len(b.lastChanges.GetItems()), b.lastChanges.GetAfter())
	}
}

// Pattern: the relay's link is too narrow for a large configuration: only that is omitted,
// and the notice of the server that leaves arrives.
func TestOnlyLargeValuesAreOmitted(t *testing.T) {
	for name, test := range map[string]struct {
		linkMbps uint32
		routes   int
	}{
		"narrow link":                     {20, 1750},
		"link of unknown bandwidth":       {0, 1750},
		"wide link, too large a datagram": {1000, 9000},
		"wide link, too large a message":  {1000, 30000},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newInstance(t, "z0", "z"), newInstance(t, "z1", "z")
			a.options.Self.LinkMbps = test.linkMbps
			config := configItem(test.routes)
			data, err := a.encodeForZone(&pb.StoreChanges{From: "z0", After: 1, Revision: 9, Items: []*pb.StoreItem{config, serverItem(9)}}, true, zoneOfTheLargeDeployment)
			if err != nil {
				t.Fatal(err)
			}
			b.handleDatagram(data, time.Now())
			want := &pb.StoreChanges{From: "z0", After: 1, Revision: 9, Items: []*pb.StoreItem{{Key: config.Key, Revision: config.Revision, ValueOmitted: true}, serverItem(9)}}
			b.mu.Lock()
			defer b.mu.Unlock()
			if !proto.Equal(b.lastChanges, want) {
				t.Errorf("arrived: %d items after %d, want the server's entry, and the configuration without its value", len(b.lastChanges.GetItems()), b.lastChanges.GetAfter())
			}
		})
	}
}

// Pattern: thousands of servers write their entries at once. They would fill the link even
// though similar entries compress well: the batch is only announced, and each instance reads
// the changes with one call, at 6 instances and at 300.
func TestLargeBatchesAreOnlyAnnounced(t *testing.T) {
	for _, instances := range []int{5, zoneOfTheLargeDeployment} {
		a := newInstance(t, "z0", "z")
		a.options.Self.LinkMbps = 10
		encode := func(servers int) (data []byte, got *pb.StoreChanges) {
			m := &pb.StoreChanges{From: "z0", After: 1, Revision: uint64(servers)}
			for n := range servers {
				m.Items = append(m.Items, serverItem(n))
			}
			data, err := a.encodeForZone(m, true, instances)
			if err != nil {
				t.Fatal(err)
			}
			a.handleDatagram(data, time.Now())
			a.mu.Lock()
			defer a.mu.Unlock()
			return data, a.lastChanges
		}
		if data, got := encode(18); a.relayTime(len(data)*instances) > maxRelayTime/2 || len(got.GetItems()) != 18 {
			t.Errorf("18 entries to %d instances: %d bytes, %d items; want all of them in half of the time", instances, len(data), len(got.GetItems()))
		}
		if data, got := encode(20000); len(data) > 100 || got.GetAfter() != 20000 || len(got.GetItems()) != 0 {
			t.Errorf("20000 entries to %d instances: %d bytes, %d items after %d; want no items and After equal to Revision", instances, len(data), len(got.GetItems()), got.GetAfter())
		}
	}
}

// Guards against batches of changes that an earlier build drops (issue 33): while one of the zone's
// instances does not say that it decodes zstd frames, they are sent as S2 blocks, which all builds
// decode, and the small changes among them arrive.
func TestChangesForEarlierBuilds(t *testing.T) {
	current := &pb.Instance{Name: "z0", DecodesZstd: true}
	earlier := &pb.Instance{Name: "z1"}
	sent := &pb.StoreChanges{From: "z0", After: 1, Revision: 9, Items: []*pb.StoreItem{configItem(300), serverItem(9)}}
	tests := map[string]struct {
		members []*pb.Instance
		dense   bool
	}{
		"builds side by side": {[]*pb.Instance{current, earlier}, false},
		"one build":           {[]*pb.Instance{current, current}, true},
	}
	for name, tt := range tests {
		a := newInstance(t, "z0", "z")
		a.options.Self.LinkMbps = 200
		data, err := a.encodeForZone(proto.Clone(sent).(*pb.StoreChanges), allDecodeZstd(tt.members), 2)
		if err != nil {
			t.Fatal(err)
		}
		var message pb.PeerMessage
		if err := proto.Unmarshal(data, &message); err != nil {
			t.Fatal(err)
		}
		plain, err := s2.Decode(nil, message.GetChanges())
		if isBlock := err == nil; isBlock == tt.dense {
			t.Errorf("%s: an S2 block: %v, want %v", name, isBlock, !tt.dense)
			continue
		}
		var got pb.StoreChanges
		if err := proto.Unmarshal(plain, &got); !tt.dense && (err != nil || !proto.Equal(&got, sent)) {
			t.Errorf("%s: %d of %d items arrived, error %v", name, len(got.GetItems()), len(sent.GetItems()), err)
		}
	}
}
