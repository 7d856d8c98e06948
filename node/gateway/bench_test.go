package gateway

import (
	"bytes"
	"fmt"
	"testing"
)

// BenchmarkEvents measures the parsing of a stream of 31 events.
func BenchmarkEvents(b *testing.B) {
	var stream bytes.Buffer
	const events = 31
	for n := range events {
		fmt.Fprintf(&stream, "id: %d\ndata: %090d\n\n", n+1, n)
	}
	b.ReportAllocs()
	for b.Loop() {
		e := NewEventReader(bytes.NewReader(stream.Bytes()))
		for range events {
			if _, err := e.Next(); err != nil {
				b.Fatal(err)
			}
		}
	}
}
