package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
)

const (
	// maxEventBytes limits the size of one event, and thereby the memory of a stream.
	maxEventBytes  = 256 << 10
	readChunkBytes = 4 << 10
	idField        = "id:"
	eventEndLF     = "\n\n"
	eventEndCRLF   = "\r\n\r\n"
)

var errEventTooLong = errors.New("gateway: event of a stream is too large")

// Event is one complete server-sent event.
type Event struct {
	// Raw holds the bytes of the event with the blank line that ends it.
	Raw []byte
	// ID is the event's numeric id; it is valid only if HasID is set.
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

// IsComment reports whether the event has no field, only comments or blank lines.
func (e Event) IsComment() bool {
	for line := range bytes.Lines(e.Raw) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// IsEventStream reports whether a response may be an event stream by its type. A response
// without a type may be one.
func IsEventStream(h http.Header) bool {
	contentType := h.Get("Content-Type")
	if contentType == "" {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == "text/event-stream"
}

// Follows returns an error if an event does not follow the one with the ID last in a stream that
// began in another response: whatever has no ID there does not belong to the stream.
func (e Event) Follows(last int64) error {
	switch {
	case e.IsComment():
		return nil
	case !e.HasID:
		return fmt.Errorf("event without an ID after event %d", last)
	case e.ID != last+1:
		return fmt.Errorf("event %d after event %d", e.ID, last)
	}
	return nil
}

// EventReader splits a stream into events. It never returns the incomplete event at the
// end of a truncated stream.
type EventReader struct {
	source io.Reader
	buffer []byte
	// searched is the length of the part of the buffer that holds no end of an event.
	searched int
	err      error
}

// NewEventReader returns a reader of the events of source.
func NewEventReader(source io.Reader) *EventReader { return &EventReader{source: source} }

// Next returns the next event. It returns io.EOF if the stream ended after a complete
// event and io.ErrUnexpectedEOF if it ended within one.
func (e *EventReader) Next() (Event, error) {
	for {
		// The end of an event may have begun in the part that was searched before.
		from := max(0, e.searched-len(eventEndCRLF)+1)
		if end := eventEnd(e.buffer[from:]); end > 0 {
			raw := bytes.Clone(e.buffer[:from+end])
			e.buffer, e.searched = append(e.buffer[:0], e.buffer[from+end:]...), 0
			return parseEvent(raw), nil
		}
		e.searched = len(e.buffer)
		if e.err != nil {
			if errors.Is(e.err, io.EOF) && len(bytes.TrimSpace(e.buffer)) > 0 {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{}, e.err
		}
		if len(e.buffer) > maxEventBytes {
			return Event{}, errEventTooLong
		}
		var chunk [readChunkBytes]byte
		n, err := e.source.Read(chunk[:])
		e.buffer = append(e.buffer, chunk[:n]...)
		e.err = err
	}
}

// eventEnd returns the length of the first complete event in b, or 0.
func eventEnd(b []byte) int {
	end := 0
	if i := bytes.Index(b, []byte(eventEndLF)); i >= 0 {
		end = i + len(eventEndLF)
	}
	if i := bytes.Index(b, []byte(eventEndCRLF)); i >= 0 && (end == 0 || i+len(eventEndCRLF) < end) {
		end = i + len(eventEndCRLF)
	}
	return end
}

func parseEvent(raw []byte) Event {
	e := Event{Raw: raw}
	for line := range bytes.Lines(raw) {
		value, ok := bytes.CutPrefix(line, []byte(idField))
		if !ok {
			continue
		}
		if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
			e.ID, e.HasID = n, true
		}
	}
	return e
}
