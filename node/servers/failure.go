package servers

import (
	"errors"
	"net/http"

	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
)

// IsTooLarge reports whether the server's client did not send the request because of
// its size.
func IsTooLarge(err error) bool {
	return errors.Is(err, port.ErrTooLarge) && errors.Is(err, port.ErrUnavailable)
}

// ClassifyError maps an error of the engine port to a retry.Failure.
func ClassifyError(err error) retry.Failure {
	if errors.Is(err, port.ErrOutcomeUnknown) {
		return retry.ConnectionLost
	}
	if errors.Is(err, port.ErrUnavailable) {
		if IsTooLarge(err) {
			return retry.Permanent
		}
		return retry.NotSent
	}
	statusErr, ok := errors.AsType[*port.StatusError](err)
	switch {
	case !ok:
		return retry.ConnectionLost // it may have run
	case statusErr.Status == http.StatusTooManyRequests || statusErr.Status == http.StatusServiceUnavailable:
		return retry.Rejected
	case statusErr.Status >= 400 && statusErr.Status < 500:
		return retry.Permanent
	default:
		return retry.ServerError
	}
}
