// Package packed encodes protobuf messages as compressed blocks, for use in datagrams
// and in the store.
package packed

import (
	"bytes"
	"errors"
	"fmt"
	"sync"

	"github.com/klauspost/compress/s2"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"
)

// ErrTooLarge means that the decompressed size of a block is over the limit.
var ErrTooLarge = errors.New("decompressed size is over the limit")

// Marshal encodes a message as an S2 block. Equal messages give equal blocks.
func Marshal(m proto.Message) ([]byte, error) {
	data, err := encode(m)
	if err != nil {
		return nil, err
	}
	return s2.EncodeBetter(nil, data), nil
}

// MarshalDense encodes a message as a zstd frame, which is about half as large as the block
// of Marshal and takes more processor time.
func MarshalDense(m proto.Message) ([]byte, error) {
	data, err := encode(m)
	if err != nil {
		return nil, err
	}
	return Compress(data)
}

func encode(m proto.Message) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return data, nil
}

// Compress returns data as a zstd frame.
func Compress(data []byte) ([]byte, error) {
	encoder, err := denseEncoder()
	if err != nil {
		return nil, fmt.Errorf("create zstd encoder: %w", err)
	}
	return encoder.EncodeAll(data, nil), nil
}

// denseWindowBytes is how far back an encoder looks for repetitions, which bounds its memory.
const denseWindowBytes = 512 << 10

// denseEncoder returns the encoder of Compress.
var denseEncoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(denseWindowBytes))
})

// Unmarshal decodes what Marshal or MarshalDense returned into m. It fails with ErrTooLarge
// if the decompressed size is over limit, in bytes.
func Unmarshal(block []byte, limit int, m proto.Message) error {
	decompress := decompressBlock
	if bytes.HasPrefix(block, zstdMagic) {
		decompress = Decompress
	}
	data, err := decompress(block, limit)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return fmt.Errorf("parse decompressed message: %w", err)
	}
	return nil
}

// zstdMagic begins each zstd frame (RFC 8878, 3.1.1). No S2 block begins with it: its second byte
// would copy from before the block.
var zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// decompressBlock decompresses an S2 block.
func decompressBlock(block []byte, limit int) ([]byte, error) {
	length, err := s2.DecodedLen(block)
	if err != nil {
		return nil, fmt.Errorf("read the length of compressed message: %w", err)
	}
	if length > limit {
		return nil, fmt.Errorf("compressed message: %w: %d of at most %d bytes", ErrTooLarge, length, limit)
	}
	data, err := s2.Decode(nil, block)
	if err != nil {
		return nil, fmt.Errorf("decompress message: %w", err)
	}
	return data, nil
}

// Decompress returns the content of a zstd frame. It fails with ErrTooLarge if that is over
// limit, in bytes.
func Decompress(frame []byte, limit int) ([]byte, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(limit)))
	if err != nil {
		return nil, fmt.Errorf("create zstd decoder: %w", err)
	}
	defer decoder.Close()
	data, err := decoder.DecodeAll(frame, nil)
	if errors.Is(err, zstd.ErrDecoderSizeExceeded) || errors.Is(err, zstd.ErrWindowSizeExceeded) {
		return nil, fmt.Errorf("compressed message: %w of %d bytes: %w", ErrTooLarge, limit, err)
	}
	if err != nil {
		return nil, fmt.Errorf("decompress message: %w", err)
	}
	return data, nil
}
