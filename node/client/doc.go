// Package client implements the ports of package port over HTTP, in the
// protocols of docs/platform-protocols.md.
//
// No adapter repeats a request. The log, the directory and the weight store are
// reached with fasthttp; the engine and the plain service with net/http, because
// they need streaming and cancelling by closing the connection
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
	// DefaultMaxConnAge bounds the time for which a connection that has gone silent
	// can stay in the pool.
	DefaultMaxConnAge     = 5 * time.Minute
	DefaultMaxConns       = 512
	DefaultMaxBodyBytes   = 16 << 20
	DefaultMaxHeaderBytes = 64 << 10
	DefaultMaxLineBytes   = 1 << 20
	DefaultCallTimeout    = 5 * time.Second
	DefaultGapTimeout     = 30 * time.Second
	// maxErrorBody bounds the body kept in a StatusError, in bytes.
	maxErrorBody = 64 << 10
)

// Options are the limits of an adapter. A zero field means its default.
type Options struct {
	DialTimeout time.Duration
	// IdleTimeout and MaxConnAge bound how long a pooled connection is kept unused and
	// how long it is reused at all.
	IdleTimeout time.Duration
	MaxConnAge  time.Duration
	// MaxConns bounds the connections of a fasthttp adapter and the idle
	// connections for each server of a Pool.
	MaxConns int
	// MaxBodyBytes bounds request and answer bodies, MaxHeaderBytes their headers and
	// MaxLine one line and one event of a stream; all in bytes.
	MaxBodyBytes   int
	MaxHeaderBytes int
	MaxLineBytes   int
	// CallTimeout bounds each short call: appends, listings, load reports, orders.
	CallTimeout time.Duration
	// GapTimeout bounds the wait for the next bytes of an answer whose request
	// gives no bound of its own.
	GapTimeout time.Duration
	// Now and AfterFunc are the time source; the system's when nil.
	Now       func() time.Time
	AfterFunc func(time.Duration, func()) Timer
}

// Timer is the part of *time.Timer that the adapters use.
type Timer interface {
	Reset(time.Duration) bool
	Stop() bool
}

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (o Options) withDefaults() Options {
	orDefault(&o.DialTimeout, DefaultDialTimeout)
	orDefault(&o.IdleTimeout, DefaultIdleTimeout)
	orDefault(&o.MaxConnAge, DefaultMaxConnAge)
	orDefault(&o.MaxConns, DefaultMaxConns)
	orDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	orDefault(&o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	orDefault(&o.MaxLineBytes, DefaultMaxLineBytes)
	orDefault(&o.CallTimeout, DefaultCallTimeout)
	orDefault(&o.GapTimeout, DefaultGapTimeout)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.AfterFunc == nil {
		o.AfterFunc = func(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }
	}
	return o
}

// errNotSent marks a failure before the first byte of the request was written.
var errNotSent = errors.New("client: no byte of the request was written")

// failure translates a transport's error: ErrUnavailable when nothing can have
// been sent, otherwise ErrOutcomeUnknown. The cause stays in the chain.
func failure(sent bool, cause error) error {
	if sent {
		return fmt.Errorf("%w: %w", port.ErrOutcomeUnknown, cause)
	}
	return fmt.Errorf("%w: %w", port.ErrUnavailable, cause)
}

func statusError(status int, body []byte, retryAfter string) *port.StatusError {
	if len(body) > maxErrorBody {
		body = body[:maxErrorBody]
	}
	return &port.StatusError{Status: status, Body: body, RetryAfter: parseRetryAfter(retryAfter, time.Now())}
}

// parseRetryAfter reads seconds, with a fraction if there is one, or an HTTP date.
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
