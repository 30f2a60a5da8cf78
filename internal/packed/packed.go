// Package packed encodes protobuf messages as compressed blocks, for datagrams
// and for values in the store.
package packed

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"
)

// ErrTooLarge means that a block is larger than allowed once decompressed.
var ErrTooLarge = errors.New("the block is too large")

// Marshal returns a message as an S2 block; equal messages give equal blocks.
func Marshal(m proto.Message) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode a block: %w", err)
	}
	return s2.EncodeBetter(nil, data), nil
}

// Unmarshal decodes a block of at most limit bytes into m.
func Unmarshal(block []byte, limit int, m proto.Message) error {
	length, err := s2.DecodedLen(block)
	if err != nil {
		return fmt.Errorf("decode a block: %w", err)
	}
	if length > limit {
		return fmt.Errorf("decode a block of %d bytes: %w", length, ErrTooLarge)
	}
	data, err := s2.Decode(nil, block)
	if err != nil {
		return fmt.Errorf("decode a block: %w", err)
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return fmt.Errorf("decode a block: %w", err)
	}
	return nil
}
