package link

import (
	"bufio"
	"bytes"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes bounds one message on a stream.
const MaxFrameBytes = 16 << 20

// frameReaderBytes is the read buffer of one stream.
const frameReaderBytes = 1 << 10

var frameDecoder = protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}

// encodeFrame returns m with its length prefix in one buffer, so that it is sent
// in a single write.
func encodeFrame(m proto.Message) ([]byte, error) {
	var buf bytes.Buffer
	if _, err := protodelim.MarshalTo(&buf, m); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

func newFrameReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, frameReaderBytes) }

func readFrame(r *bufio.Reader, m proto.Message) error { return frameDecoder.UnmarshalFrom(r, m) }
