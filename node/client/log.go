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
	client *unaryClient
	header map[string]string
}

var _ port.Log = (*Log)(nil)

// longPollMargin is the time that a long poll may take beyond its wait.
const longPollMargin = 5 * time.Second

// NewLog returns an adapter for the log at addr, an IP address and port. If name is
// not empty, it is sent with each request as Log-Client.
func NewLog(addr, name string, o Options) *Log {
	l := &Log{client: newUnaryClient(addr, o), header: map[string]string{"Content-Type": "application/octet-stream"}}
	if name != "" {
		l.header["Log-Client"] = name
	}
	return l
}

func streamPath(stream string) string { return "/v1/streams/" + url.PathEscape(stream) + "/records" }

// Append implements port.Log.
func (l *Log) Append(ctx context.Context, stream string, payload []byte) (int64, error) {
	// The request may outlive this call if ctx ends early, and the caller may reuse
	// payload then.
	payload = append([]byte{}, payload...)
	resp, sent, err := l.client.do(ctx, http.MethodPost, streamPath(stream), l.header, payload, l.client.opts.CallTimeout)
	if err != nil {
		return 0, transportError(sent, err)
	}
	switch {
	case resp.status == http.StatusOK:
		var appended struct {
			Offset *int64 `json:"offset"`
		}
		if err := json.Unmarshal(resp.body, &appended); err != nil || appended.Offset == nil {
			return 0, transportError(true, fmt.Errorf("response without an offset: %w", errors.Join(err)))
		}
		return *appended.Offset, nil
	case resp.status == http.StatusRequestEntityTooLarge:
		return 0, port.ErrTooLarge
	case resp.status == http.StatusServiceUnavailable || resp.status/100 == 4:
		return 0, transportError(false, statusError(resp.status, resp.body, resp.retryAfter))
	default:
		return 0, transportError(true, statusError(resp.status, resp.body, resp.retryAfter))
	}
}

// Read implements port.Log. A read has no effect, so all its errors except
// *port.ExpiredError match port.ErrUnavailable.
func (l *Log) Read(ctx context.Context, stream string, from int64, maxBytes int, wait time.Duration) (port.Page, error) {
	wait = max(0, wait)
	uri := fmt.Sprintf("%s?from=%d&max_bytes=%d&wait_ms=%d", streamPath(stream), from, min(maxBytes, l.client.opts.MaxBodyBytes/2), wait.Milliseconds())
	resp, _, err := l.client.do(ctx, http.MethodGet, uri, l.header, nil, wait+longPollMargin)
	if err != nil {
		return port.Page{}, transportError(false, err)
	}
	if resp.status != http.StatusOK && resp.status != http.StatusGone {
		return port.Page{}, transportError(false, statusError(resp.status, resp.body, resp.retryAfter))
	}
	page := port.Page{}
	if page.First, err = strconv.ParseInt(resp.header("Log-First"), 10, 64); err != nil {
		return port.Page{}, transportError(false, err)
	}
	if page.End, err = strconv.ParseInt(resp.header("Log-End"), 10, 64); err != nil {
		return port.Page{}, transportError(false, err)
	}
	if resp.status == http.StatusGone {
		return port.Page{}, &port.ExpiredError{Stream: stream, First: page.First}
	}
	if page.Records, err = parseFrames(resp.body); err != nil {
		return port.Page{}, transportError(false, err)
	}
	return page, nil
}

// frameHeaderBytes is the size of the offset and length that precede a record.
const frameHeaderBytes = 12

func parseFrames(b []byte) ([]port.Record, error) {
	var records []port.Record
	for len(b) > 0 {
		if len(b) < frameHeaderBytes {
			return nil, errors.New("client: page ends within a frame header")
		}
		offset, size := int64(binary.BigEndian.Uint64(b)), uint64(binary.BigEndian.Uint32(b[8:]))
		b = b[frameHeaderBytes:]
		if uint64(len(b)) < size {
			return nil, errors.New("client: page ends within a record")
		}
		records = append(records, port.Record{Offset: offset, Payload: b[:size:size]})
		b = b[size:]
	}
	return records, nil
}
