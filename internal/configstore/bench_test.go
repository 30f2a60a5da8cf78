package configstore

import (
	"crypto/rand"
	"fmt"
	"strings"
	"testing"
	"time"

	"kumquatyard/internal/config"
	pb "kumquatyard/proto/kumquat/v1"
)

// largeBundle returns a bundle with 18 zones, the given total number of servers,
// and a workspace and an override for every hundredth server.
func largeBundle(servers int) *pb.ConfigBundle {
	const zones = 18
	docs := map[string][]byte{}
	var zoneList strings.Builder
	zoneList.WriteString("zones:\n")
	for z := range zones {
		fmt.Fprintf(&zoneList, "  - {name: z%d, region: r%d}\n", z, z%8)
		var b strings.Builder
		b.WriteString("servers:\n")
		for i := range servers / zones {
			fmt.Fprintf(&b, "  - id: z%d-s%d\n    address: 10.%d.%d.%d:8000\n    kind: engine\n    pool: chat\n    vendor: v\n    class: l4\n    accelerators: 2\n    price_per_hour: 1.25\n    reclaimable: true\n    checks_fencing: true\n    models: [m]\n", z, i, z, i/250, i%250)
		}
		docs[fmt.Sprintf("inventory/z%d", z)] = []byte(b.String())
	}
	docs["zones"] = []byte(zoneList.String())
	for i := range servers / 100 {
		docs[fmt.Sprintf("rules/w%d", i)] = fmt.Appendf(nil, "name: w%d\napi_key_sha256: [\"%064x\"]\n", i, i)
		docs[fmt.Sprintf("overrides/z0-s%d", i)] = []byte("drain: true\n")
	}
	head, _ := config.Apply(config.Head{}, config.Change{ID: "1", Puts: docs})
	// Fill the head with the maximum number of change records.
	for i := range 300 {
		name := fmt.Sprintf("overrides/z0-s%d", i%(servers/100))
		docs[name] = fmt.Appendf(nil, "note: %d\n", i)
		head, _ = config.Apply(head, config.Change{
			ID: rand.Text()[:16], Author: "operator", At: time.Unix(int64(i), 0),
			Puts: map[string][]byte{name: docs[name]}, BaseHashes: head.Documents,
		})
	}
	return bundleOf(head, docs)
}

func bundleOf(head config.Head, docs map[string][]byte) *pb.ConfigBundle {
	data, err := head.Marshal()
	if err != nil {
		panic(err)
	}
	bundle := &pb.ConfigBundle{Version: head.Version, Head: data}
	for name, body := range docs {
		bundle.Documents = append(bundle.Documents, &pb.ConfigDocument{Name: name, Hash: string(config.HashOf(body)), Body: body})
	}
	return bundle
}

func BenchmarkParseAll(b *testing.B) {
	for _, servers := range []int{360, 1800, 3400} {
		bundle := largeBundle(servers)
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Parse(bundle); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(bundle.GetHead())), "head_bytes")
		})
	}
}

// BenchmarkParseChange measures parsing a bundle with one changed override after
// the previous version.
func BenchmarkParseChange(b *testing.B) {
	for _, servers := range []int{360, 1800, 3400} {
		bundle := largeBundle(servers)
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			var p Parser
			if _, err := p.Parse(bundle); err != nil {
				b.Fatal(err)
			}
			head, _ := config.UnmarshalHead(bundle.GetHead())
			bodies := [2]map[string][]byte{{"overrides/z0-s0": []byte("drain: true\n")}, {"overrides/z0-s0": []byte("drain: false\n")}}
			var bundles [2]*pb.ConfigBundle
			for i, docs := range bodies {
				next, _ := config.Apply(head, config.Change{ID: fmt.Sprint("next", i), Puts: docs, BaseHashes: head.Documents})
				bundles[i] = bundleOf(next, docs)
			}
			for i := 0; b.Loop(); i++ {
				if _, err := p.Parse(bundles[i%2]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
