package servers

import (
	"errors"
	"net/http"

	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/retry"
)

// IsTooLarge reports a request that the adapter did not send because of its size.
func IsTooLarge(err error) bool {
	return errors.Is(err, port.ErrTooLarge) && errors.Is(err, port.ErrUnavailable)
}

// ClassifyError translates an error of the engine port.
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
	s, ok := errors.AsType[*port.StatusError](err)
	switch {
	case !ok:
		return retry.ConnectionLost // nothing shows that it did not run
	case s.Status == http.StatusTooManyRequests || s.Status == http.StatusServiceUnavailable:
		return retry.Rejected
	case s.Status >= 400 && s.Status < 500:
		return retry.Permanent
	default:
		return retry.ServerError
	}
}
