package gateway

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// readEvents returns the events of a source until its end or first error.
func readEvents(source io.Reader) (events []Event, err error) {
	reader := NewEventReader(source)
	for {
		event, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

// Guards against events whose end is missed, because it arrives in two reads.
func TestEventEndInTwoReads(t *testing.T) {
	const stream = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	events, err := readEvents(iotest.OneByteReader(strings.NewReader(stream)))
	if len(events) != 3 || !errors.Is(err, io.EOF) || events[2].ID != 3 || string(events[0].Data()) != "a" {
		t.Fatalf("%d events, %v", len(events), err)
	}
}

// FuzzEventReader guards against a panic, lost bytes and a different division into events
// when the same stream arrives in other pieces.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"), 3)
	f.Add([]byte("id: 99999999999999999999\r\ndata\r\n\r\n\n\n"), 1)
	f.Add([]byte("data: truncated"), 2)
	f.Fuzz(func(t *testing.T, raw []byte, size int) {
		whole, wholeErr := readEvents(bytes.NewReader(raw))
		pieces, piecesErr := readEvents(iotest.OneByteReader(bytes.NewReader(raw)))
		if len(whole) != len(pieces) || (wholeErr == io.EOF) != (piecesErr == io.EOF) {
			t.Fatalf("%d and %d events, %v and %v", len(whole), len(pieces), wholeErr, piecesErr)
		}
		var joined []byte
		for i, e := range whole {
			if !bytes.Equal(e.Raw, pieces[i].Raw) {
				t.Fatalf("event %d: %q and %q", i, e.Raw, pieces[i].Raw)
			}
			joined = append(joined, e.Raw...)
		}
		if !bytes.HasPrefix(raw, joined) {
			t.Fatal("the events are not a prefix of the stream")
		}
	})
}
