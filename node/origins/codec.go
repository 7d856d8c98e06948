package origins

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/origin"
)

// streamBytes is the size of the entry of a stream in a group: its ID and its attempt.
const streamBytes = 9

// group holds the streams that were sent to one server. The encoding of records is a CBOR
// array of groups; fields are only added at the end of a new kind of record.
type group struct {
	_                        struct{} `cbor:",toarray"`
	Service, Version, Server string
	// SentAtMs is when the first of the streams was sent, in Unix milliseconds.
	SentAtMs int64
	Streams  []byte
}

// streamID returns the ID that stands for the ID of a caller's attempt.
func streamID(requestID string) uint64 { return xxhash.Sum64String(requestID) }

// encode encodes records, grouped by their origins.
func encode(records []origin.Record) ([]byte, error) {
	index := map[origin.Origin]int{}
	var groups []group
	for _, r := range records {
		i, ok := index[r.Origin]
		if !ok {
			i = len(groups)
			index[r.Origin] = i
			groups = append(groups, group{Service: r.Service, Version: r.Version, Server: r.Server, SentAtMs: r.SentAt.UnixMilli()})
		}
		groups[i].Streams = append(binary.BigEndian.AppendUint64(groups[i].Streams, r.ID), r.Attempt)
	}
	return cbor.Marshal(groups)
}

// decode decodes records.
func decode(raw []byte) ([]origin.Record, error) {
	var groups []group
	if err := cbor.Unmarshal(raw, &groups); err != nil {
		return nil, err
	}
	var records []origin.Record
	for _, g := range groups {
		for s := g.Streams; len(s) >= streamBytes; s = s[streamBytes:] {
			records = append(records, origin.Record{
				ID: binary.BigEndian.Uint64(s), Attempt: s[streamBytes-1], SentAt: time.UnixMilli(g.SentAtMs),
				Origin: origin.Origin{Service: g.Service, Version: g.Version, Server: g.Server},
			})
		}
	}
	return records, nil
}
