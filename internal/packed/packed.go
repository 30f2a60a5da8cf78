// Package packed encodes protobuf messages as compressed blocks, for use in datagrams
// and in the store.
package packed

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"
)

// ErrTooLarge means that the decompressed size of a block is over the limit.
var ErrTooLarge = errors.New("decompressed size is over the limit")

// Marshal encodes a message as an S2 block. Equal messages give equal blocks.
func Marshal(m proto.Message) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return s2.EncodeBetter(nil, data), nil
}

// Unmarshal decodes a block into m. It fails with ErrTooLarge if the decompressed
// size is over limit, in bytes.
func Unmarshal(block []byte, limit int, m proto.Message) error {
	length, err := s2.DecodedLen(block)
	if err != nil {
		return fmt.Errorf("read the length of compressed message: %w", err)
	}
	if length > limit {
		return fmt.Errorf("compressed message: %w: %d of at most %d bytes", ErrTooLarge, length, limit)
	}
	data, err := s2.Decode(nil, block)
	if err != nil {
		return fmt.Errorf("decompress message: %w", err)
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return fmt.Errorf("parse decompressed message: %w", err)
	}
	return nil
}
