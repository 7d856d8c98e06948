package gateway

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	// maxEvent bounds one event of a stream, in bytes.
	maxEvent   = 1 << 20
	readChunk  = 4 << 10
	fieldID    = "id:"
	eventBreak = "\n\n"
)

var errEventTooLong = errors.New("gateway: an event of a stream is too long")

// Event is one whole event of a stream, with the blank line that ends it.
type Event struct {
	Raw []byte
	// ID is the event's id, when HasID is set.
	ID    int64
	HasID bool
}

// Data returns the event's data lines, joined by line feeds.
func (e Event) Data() []byte {
	var data [][]byte
	for line := range bytes.Lines(e.Raw) {
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			data = append(data, bytes.TrimPrefix(value, []byte(" ")))
		}
	}
	return bytes.Join(data, []byte("\n"))
}

// EventReader splits a stream into whole events. A torn event at the end of a broken
// stream is never returned.
type EventReader struct {
	source io.Reader
	buffer []byte
	err    error
}

// NewEventReader returns the events of source.
func NewEventReader(source io.Reader) *EventReader { return &EventReader{source: source} }

// Next returns the next whole event. io.EOF means that the stream ended after a
// whole event; io.ErrUnexpectedEOF that it ended within one.
func (e *EventReader) Next() (Event, error) {
	for {
		if end := eventEnd(e.buffer); end > 0 {
			raw := bytes.Clone(e.buffer[:end])
			e.buffer = append(e.buffer[:0], e.buffer[end:]...)
			return parseEvent(raw), nil
		}
		if e.err != nil {
			if errors.Is(e.err, io.EOF) && len(bytes.TrimSpace(e.buffer)) > 0 {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{}, e.err
		}
		if len(e.buffer) > maxEvent {
			return Event{}, errEventTooLong
		}
		var chunk [readChunk]byte
		n, err := e.source.Read(chunk[:])
		e.buffer = append(e.buffer, chunk[:n]...)
		e.err = err
	}
}

// eventEnd returns the length of the first whole event in b, or 0.
func eventEnd(b []byte) int {
	end := 0
	if i := bytes.Index(b, []byte(eventBreak)); i >= 0 {
		end = i + len(eventBreak)
	}
	if i := bytes.Index(b, []byte("\r\n\r\n")); i >= 0 && (end == 0 || i+4 < end) {
		end = i + 4
	}
	return end
}

func parseEvent(raw []byte) Event {
	e := Event{Raw: raw}
	for line := range bytes.Lines(raw) {
		value, ok := bytes.CutPrefix(line, []byte(fieldID))
		if !ok {
			continue
		}
		if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
			e.ID, e.HasID = n, true
		}
	}
	return e
}
