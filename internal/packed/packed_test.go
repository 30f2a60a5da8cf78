package packed

import (
	"errors"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "kumquatyard/proto/kumquat/v1"
)

func TestRoundTrip(t *testing.T) {
	for name, marshal := range map[string]func(proto.Message) ([]byte, error){"block": Marshal, "dense": MarshalDense} {
		t.Run(name, func(t *testing.T) {
			sent := &pb.StoreChanges{From: strings.Repeat("a", 1000), Revision: 7}
			block, err := marshal(sent)
			if err != nil {
				t.Fatal(err)
			}
			if len(block) > 200 {
				t.Errorf("block of 1000 equal bytes has %d bytes, want at most 200", len(block))
			}
			var got pb.StoreChanges
			if err := Unmarshal(block, 2000, &got); err != nil || !proto.Equal(sent, &got) {
				t.Errorf("Unmarshal = %v, %v, want the encoded message", &got, err)
			}
			if err := Unmarshal(block, 500, &got); !errors.Is(err, ErrTooLarge) {
				t.Errorf("Unmarshal over the limit = %v, want ErrTooLarge", err)
			}
			if err := Unmarshal(block[:len(block)-1], 2000, &got); err == nil {
				t.Error("Unmarshal of a truncated block did not fail")
			}
			if err := Unmarshal([]byte{0xff}, 500, &got); err == nil {
				t.Error("Unmarshal of an invalid block did not fail")
			}
		})
	}
}
