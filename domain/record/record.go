// Package record encodes and decodes the payloads that instances append to the
// platform's log.
//
// A payload is a version byte followed by a zstd frame that contains a protobuf
// recordpb.Batch. A payload is at most [MaxPayload] bytes long and decompresses to
// at most [MaxDecoded] bytes. Encode enforces both limits, so that an instance never
// writes a payload that another instance of the same version refuses.
//
// Encode and Decode are safe for concurrent use.
package record

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// Version is the payload version that Encode writes.
	Version = 1
	// MaxPayload is the largest payload in bytes (docs/design.md 2.2).
	MaxPayload = 512 << 10
	// MaxDecoded is the largest decompressed batch in bytes. Eight times MaxPayload
	// allows for a large entry that compresses well, and limits the memory that a
	// corrupt frame can make a reader allocate.
	MaxDecoded = 8 * MaxPayload
)

// ErrEmpty reports a payload without a version byte. It wraps ErrCorrupt.
var ErrEmpty = fmt.Errorf("%w: no version byte", ErrCorrupt)

var (
	// ErrCorrupt reports a payload of a known version that cannot be decoded.
	ErrCorrupt = errors.New("record: corrupt payload")
	// ErrTooLarge reports a payload above MaxPayload or a batch above MaxDecoded.
	ErrTooLarge = errors.New("record: payload too large")
)

// VersionError reports a payload version that this binary does not support.
type VersionError struct{ Version byte }

func (e *VersionError) Error() string {
	return fmt.Sprintf("record: unknown payload version %d", e.Version)
}

var (
	encoder = must(zstd.NewWriter(nil,
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderCRC(true), zstd.WithWindowSize(MaxPayload)))
	decoder = must(zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(MaxDecoded)))
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns the payload that contains b. The error is ErrTooLarge if b exceeds a
// limit.
func Encode(b *recordpb.Batch) ([]byte, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	if len(raw) > MaxDecoded {
		return nil, ErrTooLarge
	}
	out := make([]byte, 1, 1+len(raw)/2+64)
	out[0] = Version
	out = encoder.EncodeAll(raw, out)
	if len(out) > MaxPayload {
		return nil, ErrTooLarge
	}
	return out, nil
}

// Decode returns the batch in payload. The error wraps ErrCorrupt or is ErrTooLarge or a
// *VersionError.
func Decode(payload []byte) (*recordpb.Batch, error) {
	if len(payload) == 0 {
		return nil, ErrEmpty
	}
	if payload[0] != Version {
		return nil, &VersionError{Version: payload[0]}
	}
	if len(payload) > MaxPayload {
		return nil, ErrTooLarge
	}
	raw, err := decoder.DecodeAll(payload[1:], nil)
	switch {
	case errors.Is(err, zstd.ErrDecoderSizeExceeded), errors.Is(err, zstd.ErrWindowSizeExceeded):
		return nil, ErrTooLarge
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	b := new(recordpb.Batch)
	if err := proto.Unmarshal(raw, b); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return b, nil
}
