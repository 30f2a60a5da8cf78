package usage

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "kumquatyard/proto/kumquat/v1"
)

// Guards against a process that ends by concurrent use of a map, with all its requests: the counts
// of many workspaces are encoded, for the checkpoint and for peers, while requests and reports of
// other instances are counted.
func TestCountsAreEncodedWhileTheyChange(t *testing.T) {
	const (
		workspaces = 40
		rounds     = 2000
	)
	c := New(length)
	at := time.Unix(1_700_000_000, 0)
	w := c.WindowAt(at)
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := range rounds {
			c.RecordStart(fmt.Sprintf("w%d", n%workspaces), at)
		}
	})
	wg.Go(func() {
		for n := range rounds {
			c.RecordPeerReport("peer/1", map[Window]Counts{w: {fmt.Sprintf("w%d", n%workspaces): int64(n)}})
		}
	})
	encode := func(message func() proto.Message) {
		for range rounds / 10 {
			if _, err := proto.Marshal(message()); err != nil {
				t.Error(err)
			}
		}
	}
	wg.Go(func() { encode(func() proto.Message { return c.checkpoint("self/1", w) }) })
	wg.Go(func() { encode(func() proto.Message { return &pb.UsageCounts{Others: c.OtherCounts()} }) })
	wg.Go(func() {
		encode(func() proto.Message { return &pb.UsageCounts{Windows: EncodeWindows(c.LocalCounts())} })
	})
	wg.Wait()
}
