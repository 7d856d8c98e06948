package record

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

func testBatch(bodies ...[]byte) *recordpb.Batch {
	b := &recordpb.Batch{Epoch: 7, Seq: 9, Base: 3, Instance: "a"}
	for _, p := range bodies {
		b.Entries = append(b.Entries, &recordpb.Entry{AtMs: 1, Kind: &recordpb.Entry_CallFinished{
			CallFinished: &recordpb.CallFinished{Workspace: "w", Key: "k", Body: p}}})
	}
	return b
}

// Guards against batches that differ after encoding and decoding.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := testBatch(rapid.SliceOf(rapid.SliceOf(rapid.Byte())).Draw(t, "bodies")...)
		p, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(p); err != nil || !proto.Equal(got, want) {
			t.Fatalf("%v, %v", got, err)
		}
	})
}

// Guards against payloads above the limits when encoding and when decoding, and against
// errors that a reader cannot distinguish.
func TestLimitsAndErrors(t *testing.T) {
	noise := make([]byte, MaxPayload)
	rand.NewChaCha8([32]byte{}).Read(noise)
	for _, b := range []*recordpb.Batch{testBatch(noise), testBatch(make([]byte, MaxDecoded))} {
		if _, err := Encode(b); !errors.Is(err, ErrTooLarge) {
			t.Errorf("encode: %v", err)
		}
	}
	if p, err := Encode(testBatch(make([]byte, MaxDecoded-100))); err != nil {
		t.Error(err)
	} else if _, err := Decode(p); err != nil {
		t.Errorf("the largest batch that can be written cannot be read: %v", err)
	}
	// Payloads that another encoder wrote can exceed the limits that Encode enforces.
	unlimited, _ := zstd.NewWriter(nil)
	for name, c := range map[string]struct {
		payload []byte
		want    error
	}{
		"empty":              {nil, ErrCorrupt},
		"no frame":           {[]byte{Version}, nil}, // an empty batch
		"noise":              {append([]byte{Version}, noise[:100]...), ErrCorrupt},
		"no batch":           {unlimited.EncodeAll([]byte{0xff, 0xff}, []byte{Version}), ErrCorrupt},
		"long":               {append([]byte{Version}, noise...), ErrTooLarge},
		"decompression bomb": {unlimited.EncodeAll(make([]byte, 4*MaxDecoded), []byte{Version}), ErrTooLarge},
		"two frames":         {unlimited.EncodeAll(make([]byte, MaxDecoded), unlimited.EncodeAll(make([]byte, 100), []byte{Version})), ErrTooLarge},
	} {
		if _, err := Decode(c.payload); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	var ve *VersionError
	if _, err := Decode([]byte{9, 1}); !errors.As(err, &ve) || ve.Version != 9 {
		t.Errorf("version: %v", err)
	}
}

// Guards against corrupt payloads that make a reader panic or allocate without limit.
func FuzzDecode(f *testing.F) {
	p, _ := Encode(testBatch([]byte("body")))
	f.Add(p)
	f.Add([]byte{Version})
	f.Add([]byte{2, 0})
	f.Fuzz(func(t *testing.T, p []byte) {
		b, err := Decode(p)
		if err != nil {
			return
		}
		again, err := Encode(b)
		if err != nil {
			return // a batch with redundant fields can exceed the limits when it is encoded again
		}
		if c, err := Decode(again); err != nil || !proto.Equal(b, c) {
			t.Fatalf("decoded again: %v, %v", c, err)
		}
	})
}

func benchmarkBatch() *recordpb.Batch {
	var bodies [][]byte
	for range 50 {
		bodies = append(bodies, bytes.Repeat([]byte("answer "), 60))
	}
	return testBatch(bodies...)
}

func BenchmarkEncode(b *testing.B) {
	in := benchmarkBatch()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Encode(in); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "records/s")
}

func BenchmarkDecode(b *testing.B) {
	p, err := Encode(benchmarkBatch())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(p); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "records/s")
}
