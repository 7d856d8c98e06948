package web

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/jacinthnotch/jacinthnotch/node/api"
)

// BodyLimits bound the size and duration of reading one body.
type BodyLimits struct {
	Bytes int64
	// Timeout bounds the arrival of the body. MinRate, in bytes per second,
	// extends it with each byte received, so that a long body may take longer but
	// a caller cannot hold a connection open by sending single bytes.
	Timeout time.Duration
	MinRate int64
}

// LowerLimit returns the smaller of limit and override. An override of zero means none.
func LowerLimit[T int | int64](limit, override T) T {
	if override > 0 && override < limit {
		return override
	}
	return limit
}

// ReadBody reads a whole body of at most limits.Bytes.
func ReadBody(c fiber.Ctx, limits BodyLimits) ([]byte, error) {
	body, err := OpenBody(c, limits)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	if n := c.Request().Header.ContentLength(); n > 0 {
		// Content-Length is not trusted: beyond 64 KiB the buffer grows with the
		// bytes that arrive.
		buf.Grow(min(n, 64<<10) + bytes.MinRead)
	}
	if _, err := buf.ReadFrom(body); err != nil {
		return nil, BodyError(err)
	}
	c.Locals(bodyReadKey{}, true)
	return buf.Bytes(), nil
}

// OpenBody returns a reader of the body. Its Read fails when the body exceeds
// limits.Bytes, arrives too slowly or ends early; BodyError translates the error.
func OpenBody(c fiber.Ctx, limits BodyLimits) (io.Reader, error) {
	if enc := c.Get(fiber.HeaderContentEncoding); enc != "" && !strings.EqualFold(enc, "identity") {
		return nil, api.Invalid(fiber.HeaderContentEncoding, "%q is not supported", enc)
	}
	length := int64(c.Request().Header.ContentLength())
	if length > limits.Bytes {
		return nil, api.TooLarge("body", "the body has %d bytes, the limit is %d", length, limits.Bytes)
	}
	stream := c.Request().BodyStream()
	if stream == nil {
		return bytes.NewReader(c.Request().Body()), nil
	}
	return &bodyReader{stream: stream, length: length, limits: limits, start: time.Now(),
		setDeadline: c.RequestCtx().SetReadDeadline}, nil
}

const (
	// maxDiscardBytes and discardTimeout bound the reading of an unwanted body
	// (lingering close). Closing a connection on which data is still arriving
	// resets it, and the caller would lose the error response.
	maxDiscardBytes = 64 << 20
	discardTimeout  = 10 * time.Second
)

// discardBody reads the rest of a body and reports whether it reached the end.
func discardBody(c fiber.Ctx) bool {
	stream := c.Request().BodyStream()
	if stream == nil || c.Locals(bodyReadKey{}) != nil {
		return true
	}
	if c.RequestCtx().SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(stream, maxDiscardBytes))
	return err == nil && n < maxDiscardBytes
}

var errBodyTooLarge = errors.New("web: body above its limit")

// bodyReader applies limits to a body. It also checks the length, because fasthttp
// reports a connection that ends within a body of known length as io.EOF.
type bodyReader struct {
	stream      io.Reader
	length      int64
	limits      BodyLimits
	start       time.Time
	read        int64
	setDeadline func(time.Time) error
}

func (b *bodyReader) Read(p []byte) (int, error) {
	extra := time.Duration(0)
	if b.limits.MinRate > 0 {
		extra = time.Duration(float64(b.read) / float64(b.limits.MinRate) * float64(time.Second))
	}
	if err := b.setDeadline(b.start.Add(b.limits.Timeout + extra)); err != nil {
		return 0, err
	}
	n, err := b.stream.Read(p)
	b.read += int64(n)
	if b.read > b.limits.Bytes {
		return 0, errBodyTooLarge
	}
	if err == io.EOF && b.length > b.read {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// BodyError converts an error of reading a body to a refusal.
func BodyError(err error) error {
	if err == nil {
		return nil
	}
	if r, ok := errors.AsType[*api.Refusal](err); ok {
		return r
	}
	if errors.Is(err, errBodyTooLarge) {
		return api.TooLarge("body", "the body is above the limit")
	}
	if ne, ok := errors.AsType[net.Error](err); ok && ne.Timeout() {
		return &api.Refusal{Code: api.CodeDeadline, Status: http.StatusRequestTimeout, Param: "body",
			Message: "the body did not arrive in time", Outcome: api.NotRun, Err: err}
	}
	return api.Invalid("body", "the body ended early or is malformed")
}
