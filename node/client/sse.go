package client

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// errTruncatedStream reports a stream that ended without its end marker.
var errTruncatedStream = errors.New("client: the stream ended before its end marker")

// eventReader reads the data of server-sent events. Lines and events of more than
// maxBytes are errors.
type eventReader struct {
	r        *bufio.Reader
	maxBytes int
}

func newEventReader(r io.Reader, maxBytes int) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 4096), maxBytes: maxBytes}
}

// next returns the data of the next event that has any. The data lines of an event
// are joined by newlines; other fields and comments are skipped. It returns io.EOF at
// the end of the stream and io.ErrUnexpectedEOF if the stream ends within an event.
func (e *eventReader) next() ([]byte, error) {
	var data []byte
	hasData := false
	for {
		line, err := e.line()
		if err != nil {
			if errors.Is(err, io.EOF) && (hasData || len(line) > 0) {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if hasData {
			data = append(data, '\n')
		}
		hasData = true
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		if len(data) > e.maxBytes {
			return nil, fmt.Errorf("%w: event exceeds %d bytes", port.ErrTooLarge, e.maxBytes)
		}
	}
}

func (e *eventReader) line() ([]byte, error) {
	var line []byte
	for {
		part, err := e.r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > e.maxBytes {
			return nil, fmt.Errorf("%w: line exceeds %d bytes", port.ErrTooLarge, e.maxBytes)
		}
		if err == nil {
			return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}
