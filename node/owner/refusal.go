package owner

import (
	"errors"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/partition"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// Retry delays that refusals suggest to the caller.
const (
	ownerRetryAfter = time.Second
	logRetryAfter   = 2 * time.Second
	busyRetryAfter  = 500 * time.Millisecond
)

// refuse returns the refusal of a request that had no effect.
func refuse(code api.Code, message string) *peerpb.Refusal {
	return &peerpb.Refusal{Code: string(code), Message: message, NotRun: true}
}

// refuseOwner refuses a request because this instance does not own the partition. hint
// is the instance to try next, or empty.
func refuseOwner(hint, message string) *peerpb.Refusal {
	r := refuse(api.CodeOwnerUnavailable, message)
	r.OwnerHint, r.RetryAfterMs = hint, ownerRetryAfter.Milliseconds()
	return r
}

// refuseLog refuses a request because the log does not accept appends.
func refuseLog() *peerpb.Refusal {
	r := refuse(api.CodeLogUnavailable, "the log is unavailable; nothing was recorded")
	r.RetryAfterMs = logRetryAfter.Milliseconds()
	return r
}

// refuseUnknown is the refusal of a request whose entries may have been appended but
// were not read back.
func refuseUnknown() *peerpb.Refusal {
	return &peerpb.Refusal{Code: string(api.CodeLogUnavailable), Unknown: true, RetryAfterMs: logRetryAfter.Milliseconds(),
		Message: "the record was not read back in time and may stand on the log"}
}

func refuseBusy(message string) *peerpb.Refusal {
	r := refuse(api.CodeOverloaded, message)
	r.RetryAfterMs = busyRetryAfter.Milliseconds()
	return r
}

// refusalOf translates an error of domain/partition into a refusal.
func refusalOf(err error) *peerpb.Refusal {
	switch {
	case errors.Is(err, partition.ErrKeyConflict):
		return refuse(api.CodeKeyConflict, "the key belongs to other content")
	case errors.Is(err, partition.ErrNoFile):
		return refuse(api.CodeNotFound, "no such file")
	case errors.Is(err, partition.ErrNoJob):
		return refuse(api.CodeNotFound, "no such job")
	case errors.Is(err, partition.ErrItemCount), errors.Is(err, partition.ErrLineTooLarge):
		return refuse(api.CodeInvalidFile, err.Error())
	case errors.Is(err, partition.ErrEntryTooLarge):
		return refuse(api.CodeTooLarge, "the content does not fit into a record")
	case errors.Is(err, partition.ErrBusy):
		return refuseBusy("too many entries wait for the log")
	case errors.Is(err, partition.ErrNotOwner):
		return refuseOwner("", "this instance does not hold the partition")
	}
	return refuse(api.CodeInternal, "internal error")
}
