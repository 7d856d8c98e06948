package client

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// errStreamEnded reports a stream that ended without its end marker.
var errStreamEnded = errors.New("client: the stream ended before its end marker")

// eventReader reads the data of server-sent events. Lines and events are
// bounded in size.
type eventReader struct {
	r   *bufio.Reader
	max int
}

func newEventReader(r io.Reader, maxLine int) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 4096), max: maxLine}
}

// next returns the data of the next event that has any; several data lines are
// joined by newlines, other fields and comments are skipped. It returns io.EOF
// at the end and io.ErrUnexpectedEOF within an event.
func (e *eventReader) next() ([]byte, error) {
	var data []byte
	has := false
	for {
		line, err := e.line()
		if err != nil {
			if errors.Is(err, io.EOF) && (has || len(line) > 0) {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if has {
				return data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if has {
			data = append(data, '\n')
		}
		has = true
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		if len(data) > e.max {
			return nil, fmt.Errorf("%w: event above %d bytes", port.ErrTooLarge, e.max)
		}
	}
}

func (e *eventReader) line() ([]byte, error) {
	var line []byte
	for {
		part, err := e.r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > e.max {
			return nil, fmt.Errorf("%w: line above %d bytes", port.ErrTooLarge, e.max)
		}
		if err == nil {
			return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}
