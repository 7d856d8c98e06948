package client

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// Log is the adapter for the platform's log.
type Log struct {
	short  *short
	header map[string]string
}

var _ port.Log = (*Log)(nil)

// readMargin is what a long poll may take beyond its wait.
const readMargin = 5 * time.Second

// NewLog returns an adapter for the log at addr, an IP address and port. name is
// sent with each request and may be empty.
func NewLog(addr, name string, o Options) *Log {
	l := &Log{short: newShort(addr, o), header: map[string]string{"Content-Type": "application/octet-stream"}}
	if name != "" {
		l.header["Log-Client"] = name
	}
	return l
}

func streamPath(stream string) string { return "/v1/streams/" + url.PathEscape(stream) + "/records" }

// Append implements port.Log.
func (l *Log) Append(ctx context.Context, stream string, payload []byte) (int64, error) {
	// The request may outlive this call when ctx ends early; the caller is free to
	// reuse payload then.
	payload = append([]byte{}, payload...)
	a, sent, err := l.short.do(ctx, http.MethodPost, streamPath(stream), l.header, payload, l.short.opts.CallTimeout)
	if err != nil {
		return 0, failure(sent, err)
	}
	switch {
	case a.status == http.StatusOK:
		var ok struct {
			Offset *int64 `json:"offset"`
		}
		if err := json.Unmarshal(a.body, &ok); err != nil || ok.Offset == nil {
			return 0, failure(true, fmt.Errorf("answer without an offset: %w", errors.Join(err)))
		}
		return *ok.Offset, nil
	case a.status == http.StatusRequestEntityTooLarge:
		return 0, port.ErrTooLarge
	case a.status == http.StatusServiceUnavailable || a.status < 500:
		return 0, failure(false, statusError(a.status, a.body, a.retryAfter))
	default:
		return 0, failure(true, statusError(a.status, a.body, a.retryAfter))
	}
}

// Read implements port.Log. A read has no effect, so all its failures but an
// *ExpiredError are ErrUnavailable.
func (l *Log) Read(ctx context.Context, stream string, from int64, maxBytes int, wait time.Duration) (port.Page, error) {
	wait = max(0, wait)
	uri := fmt.Sprintf("%s?from=%d&max_bytes=%d&wait_ms=%d", streamPath(stream), from, min(maxBytes, l.short.opts.MaxBodyBytes/2), wait.Milliseconds())
	a, _, err := l.short.do(ctx, http.MethodGet, uri, l.header, nil, wait+readMargin)
	if err != nil {
		return port.Page{}, failure(false, err)
	}
	if a.status != http.StatusOK && a.status != http.StatusGone {
		return port.Page{}, failure(false, statusError(a.status, a.body, a.retryAfter))
	}
	page := port.Page{}
	if page.First, err = strconv.ParseInt(a.header("Log-First"), 10, 64); err != nil {
		return port.Page{}, failure(false, err)
	}
	if page.End, err = strconv.ParseInt(a.header("Log-End"), 10, 64); err != nil {
		return port.Page{}, failure(false, err)
	}
	if a.status == http.StatusGone {
		return port.Page{}, &port.ExpiredError{Stream: stream, First: page.First}
	}
	if page.Records, err = parseFrames(a.body); err != nil {
		return port.Page{}, failure(false, err)
	}
	return page, nil
}

// frameHeader is the size of a record's offset and length, in bytes.
const frameHeader = 12

func parseFrames(b []byte) ([]port.Record, error) {
	var records []port.Record
	for len(b) > 0 {
		if len(b) < frameHeader {
			return nil, errors.New("client: page ends within a frame header")
		}
		offset, size := int64(binary.BigEndian.Uint64(b)), uint64(binary.BigEndian.Uint32(b[8:]))
		b = b[frameHeader:]
		if uint64(len(b)) < size {
			return nil, errors.New("client: page ends within a record")
		}
		records = append(records, port.Record{Offset: offset, Payload: b[:size:size]})
		b = b[size:]
	}
	return records, nil
}
