// Package client implements the ports of package port over HTTP, in the
// protocols of docs/platform-protocols.md.
//
// No adapter retries a request. The adapters of the log, the directory and the
// weight store use fasthttp. Those of the engine and the plain service use net/http,
// because they need streaming and cancellation by closing the connection
// (docs/decisions/0001-http-libraries.md).
package client

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// Defaults of Options.
const (
	DefaultDialTimeout = 2 * time.Second
	// DefaultIdleTimeout is shorter than the usual idle timeouts of servers (60 s and
	// more), so that the client seldom writes to a connection that the server is
	// about to close.
	DefaultIdleTimeout = 30 * time.Second
	// DefaultMaxConnAge bounds how long a connection that no longer delivers data can
	// stay in the pool.
	DefaultMaxConnAge     = 5 * time.Minute
	DefaultMaxConns       = 512
	DefaultMaxBodyBytes   = 16 << 20
	DefaultMaxHeaderBytes = 64 << 10
	DefaultMaxLineBytes   = 1 << 20
	DefaultCallTimeout    = 5 * time.Second
	DefaultGapTimeout     = 30 * time.Second
	// maxErrorBodyBytes bounds the body kept in a port.StatusError.
	maxErrorBodyBytes = 64 << 10
)

// Options holds the limits of an adapter. A zero field means the default.
type Options struct {
	DialTimeout time.Duration
	// IdleTimeout bounds how long a pooled connection is kept unused, MaxConnAge how
	// long it is reused.
	IdleTimeout time.Duration
	MaxConnAge  time.Duration
	// MaxConns bounds the connections of a fasthttp adapter and the idle
	// connections for each server of a Pool.
	MaxConns int
	// MaxBodyBytes bounds request and response bodies, MaxHeaderBytes their headers
	// and MaxLineBytes each line and each event of a stream.
	MaxBodyBytes   int
	MaxHeaderBytes int
	MaxLineBytes   int
	// CallTimeout bounds each unary call: appends, listings, load reports, orders.
	CallTimeout time.Duration
	// GapTimeout bounds the wait for the next bytes of a response if the request
	// has no gap timeout.
	GapTimeout time.Duration
	// Now and AfterFunc are the clock. Nil means the system clock.
	Now       func() time.Time
	AfterFunc func(time.Duration, func()) Timer
}

// Timer is the part of *time.Timer that the adapters use.
type Timer interface {
	Reset(time.Duration) bool
	Stop() bool
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.MaxConnAge, DefaultMaxConnAge)
	setDefault(&o.MaxConns, DefaultMaxConns)
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&o.MaxLineBytes, DefaultMaxLineBytes)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.GapTimeout, DefaultGapTimeout)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.AfterFunc == nil {
		o.AfterFunc = func(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }
	}
	return o
}

// errNotSent reports a failure before the first byte of the request was written.
var errNotSent = errors.New("client: no byte of the request was written")

// transportError wraps the error of a transport in port.ErrOutcomeUnknown if a byte
// can have been sent, otherwise in port.ErrUnavailable.
func transportError(sent bool, cause error) error {
	if sent {
		return fmt.Errorf("%w: %w", port.ErrOutcomeUnknown, cause)
	}
	return fmt.Errorf("%w: %w", port.ErrUnavailable, cause)
}

func statusError(status int, body []byte, retryAfter string) *port.StatusError {
	if len(body) > maxErrorBodyBytes {
		body = body[:maxErrorBodyBytes]
	}
	return &port.StatusError{Status: status, Body: body, RetryAfter: parseRetryAfter(retryAfter, time.Now())}
}

// parseRetryAfter parses a number of seconds, which may have a fraction, or an HTTP
// date. It returns 0 for an invalid value.
func parseRetryAfter(v string, now time.Time) time.Duration {
	if v == "" {
		return 0
	}
	if s, err := strconv.ParseFloat(v, 64); err == nil {
		if s > 0 && s < 1e6 {
			return time.Duration(s * float64(time.Second))
		}
		return 0
	}
	if at, err := http.ParseTime(v); err == nil {
		return max(0, at.Sub(now))
	}
	return 0
}
