package port

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

var (
	// ErrUnavailable reports that the request had no effect: it was rejected, or
	// no byte of it was sent.
	ErrUnavailable = errors.New("port: unavailable, the request had no effect")

	// ErrOutcomeUnknown reports that the request was sent but its response was
	// lost, so that it may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("port: outcome unknown, the answer was lost")

	// ErrOffsetMismatch reports a conditional append that had no effect, because the
	// partition ends at another offset.
	ErrOffsetMismatch = errors.New("port: the partition ends at another offset")

	// ErrTooLarge reports a payload above the limit of the platform.
	ErrTooLarge = errors.New("port: payload too large")

	// ErrFenced reports an order that carried an old fencing number.
	ErrFenced = errors.New("port: order carries an old fencing number")

	// ErrReadTimeout reports a connection on which no byte arrived within the
	// header or gap timeout.
	ErrReadTimeout = errors.New("port: no data within the header or gap timeout")
)

// ExpiredError reports a read below the first retained offset of a stream.
type ExpiredError struct {
	Stream string
	// First is the lowest offset that is still retained.
	First int64
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("port: stream %s is retained from offset %d on", e.Stream, e.First)
}

// StatusError reports that a backend server or the platform rejected a request
// with an HTTP status.
type StatusError struct {
	Status     int
	Body       []byte
	RetryAfter time.Duration
}

// IsRateLimited reports whether a call was rejected because there were too many. The platform is up
// then, and further calls only make it worse.
func IsRateLimited(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Status == http.StatusTooManyRequests
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("port: answered with status %d", e.Status)
}
