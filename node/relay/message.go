package relay

import (
	"errors"
	"fmt"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// encodeFailure encodes the error of a call, or nil if it succeeded.
func encodeFailure(err error) *peerpb.StoreFailure {
	if err == nil {
		return nil
	}
	f := &peerpb.StoreFailure{Kind: peerpb.StoreFailure_UNKNOWN, Cause: err.Error()}
	var expired *port.ExpiredError
	switch {
	case errors.As(err, &expired):
		f.Kind, f.Cause, f.First = peerpb.StoreFailure_EXPIRED, expired.Stream, expired.First
	case errors.Is(err, port.ErrOffsetMismatch):
		f.Kind = peerpb.StoreFailure_OFFSET_MISMATCH
	case errors.Is(err, errNoPath):
		f.Kind = peerpb.StoreFailure_NO_PATH
	case errors.Is(err, port.ErrUnavailable):
		f.Kind = peerpb.StoreFailure_UNAVAILABLE
	}
	return f
}

// decodeFailure decodes the error of a call, or nil if it succeeded.
func decodeFailure(f *peerpb.StoreFailure) error {
	switch {
	case f == nil:
		return nil
	case f.GetKind() == peerpb.StoreFailure_EXPIRED:
		return &port.ExpiredError{Stream: f.GetCause(), First: f.GetFirst()}
	case f.GetKind() == peerpb.StoreFailure_OFFSET_MISMATCH:
		return port.ErrOffsetMismatch
	case f.GetKind() == peerpb.StoreFailure_NO_PATH:
		return errNoPath
	case f.GetKind() == peerpb.StoreFailure_UNAVAILABLE:
		return fmt.Errorf("%w: %s", port.ErrUnavailable, f.GetCause())
	}
	return fmt.Errorf("%w: %s", port.ErrOutcomeUnknown, f.GetCause())
}

func encodePartition(p port.Partition) *peerpb.StorePartition {
	return &peerpb.StorePartition{Topic: p.Topic, Number: int32(p.Number)}
}

func decodePartition(p *peerpb.StorePartition) port.Partition {
	return port.Partition{Topic: p.GetTopic(), Number: int(p.GetNumber())}
}

func encodePage(page port.Page, err error) *peerpb.StorePage {
	out := &peerpb.StorePage{Failure: encodeFailure(err), First: page.First, End: page.End}
	for _, r := range page.Records {
		out.Records = append(out.Records, r.Payload)
	}
	return out
}

// decodePage decodes a page whose first record is at the offset from.
func decodePage(in *peerpb.StorePage, from int64) port.Page {
	page := port.Page{First: in.GetFirst(), End: in.GetEnd()}
	for i, payload := range in.GetRecords() {
		page.Records = append(page.Records, port.Record{Offset: from + int64(i), Payload: payload})
	}
	return page
}

func encodeNewest(page port.NewestPage, err error) *peerpb.StoreNewestPage {
	out := &peerpb.StoreNewestPage{Failure: encodeFailure(err), More: page.More, End: page.End}
	for _, r := range page.Records {
		out.Records = append(out.Records, &peerpb.StoreKeyed{Key: r.Key, Value: r.Value, Unreadable: r.Unreadable})
	}
	return out
}

func decodeNewest(in *peerpb.StoreNewestPage) port.NewestPage {
	page := port.NewestPage{More: in.GetMore(), End: in.GetEnd()}
	for _, r := range in.GetRecords() {
		page.Records = append(page.Records, port.KeyedRecord{Key: r.GetKey(), Value: r.GetValue(), Unreadable: r.GetUnreadable()})
	}
	return page
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
