package partition

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// SnapshotIntervalRecords is the number of records after which a snapshot is due.
	// It bounds the replay of a new owner (docs/design.md 2.3).
	SnapshotIntervalRecords = 4096
	// SnapshotIntervalBytes is the number of payload bytes after which a snapshot is
	// due, about one second of reading and decoding. Both intervals count from the end
	// of the last snapshot, so that a large snapshot does not make the next one due.
	SnapshotIntervalBytes = 64 << 20
	// maxRestatedBytes is the size to which one batch is filled with restatements. It
	// leaves room for ordinary entries. A single restatement may be larger.
	maxRestatedBytes = 192 << 10
	// maxRangeBytes is the maximum encoded size of a Range in a list: an offset of up
	// to 10 bytes, three numbers of up to 5 bytes, their tags, and a header.
	maxRangeBytes = 32
)

type aggregateKind uint8

const (
	kindCall aggregateKind = iota
	kindKey
	kindFile
	kindJob
)

// aggregateID identifies an aggregate that a snapshot has to restate. Calls and keys
// are identified by ref, files and jobs by id.
type aggregateID struct {
	kind aggregateKind
	ref  Ref
	id   string
}

func callAggregate(r Ref) aggregateID { return aggregateID{kind: kindCall, ref: r} }
func keyAggregate(r Ref) aggregateID  { return aggregateID{kind: kindKey, ref: r} }

func (a aggregateID) compare(b aggregateID) int {
	if a.kind != b.kind {
		return int(a.kind) - int(b.kind)
	}
	if c := strings.Compare(a.id, b.id); c != 0 {
		return c
	}
	if c := strings.Compare(a.ref.Workspace, b.ref.Workspace); c != 0 {
		return c
	}
	return strings.Compare(a.ref.Key, b.ref.Key)
}

// snapshot is the progress of a snapshot that has begun and not ended.
type snapshot struct {
	beginOffset int64
	beginMs     int64
	// queue holds the aggregates that are still to be restated. Aggregates created
	// while the snapshot is open are appended, because a reader that starts at
	// beginOffset cannot distinguish a new aggregate from one not yet restated.
	queue []aggregateID
	// cursor is how far the first aggregate in the queue is restated: the last range
	// of a job, the next line of a file.
	cursor Range
	// restatedCount is the number of restatements since beginOffset, whether or not
	// this reader needed them.
	restatedCount uint64
	// hasUnknown is set by an entry of an unknown kind, which may be a restatement.
	hasUnknown bool
}

func (s *State) snapshotBegin(at Location, atMs int64) bool {
	if at.Entry != 0 {
		return false
	}
	s.snapshot = &snapshot{beginOffset: at.Offset, beginMs: atMs}
	if s.restoring {
		return true
	}
	for r := range s.calls {
		s.snapshot.queue = append(s.snapshot.queue, callAggregate(r))
	}
	for r := range s.keys {
		s.snapshot.queue = append(s.snapshot.queue, keyAggregate(r))
	}
	for id := range s.files {
		s.snapshot.queue = append(s.snapshot.queue, aggregateID{kind: kindFile, id: id})
	}
	for id := range s.jobs {
		s.snapshot.queue = append(s.snapshot.queue, aggregateID{kind: kindJob, id: id})
	}
	slices.SortFunc(s.snapshot.queue, aggregateID.compare)
	return true
}

func (s *State) snapshotEnd(a *Applied, e *recordpb.SnapshotEnd) bool {
	if s.snapshot == nil || s.snapshot.beginOffset != e.Base {
		return false
	}
	if s.skipRemoved(); len(s.snapshot.queue) > 0 {
		return false
	}
	if e.Restated != 0 && e.Restated != s.snapshot.restatedCount && !s.snapshot.hasUnknown {
		return false
	}
	s.base, s.baseMs = e.Base, s.snapshot.beginMs
	s.recordsSinceSnapshot, s.bytesSinceSnapshot = 0, 0
	s.snapshot, s.restoring = nil, false
	a.addEvent(&SnapshotCompleted{Base: e.Base})
	return true
}

// registerNew is called for an aggregate that the state does not have. It returns
// false while a snapshot is restored, because the aggregate may exist and not be
// restated yet. Otherwise it adds the aggregate to the open snapshot, if any.
func (s *State) registerNew(agg aggregateID) bool {
	if s.restoring {
		return false
	}
	if s.snapshot != nil {
		s.snapshot.queue = append(s.snapshot.queue, agg)
	}
	return true
}

// dropFromSnapshot removes an aggregate from the queue of an open snapshot if it is
// at the head, and with it the cursor. Others are dropped by skipRemoved.
func (s *State) dropFromSnapshot(agg aggregateID) {
	if s.snapshot != nil && len(s.snapshot.queue) > 0 && s.snapshot.queue[0] == agg {
		s.snapshot.queue, s.snapshot.cursor = s.snapshot.queue[1:], Range{}
	}
}

// admitRestatement reports whether the reader has to apply a restatement, which is so
// while it restores a snapshot. Other readers only advance the open snapshot: last and
// more tell how far the aggregate is restated.
func (s *State) admitRestatement(agg aggregateID, last Range, more bool) bool {
	if s.restoring {
		return true
	}
	if s.snapshot == nil {
		return false
	}
	s.skipRemoved()
	if q := s.snapshot.queue; len(q) > 0 && q[0] == agg {
		if more {
			s.snapshot.cursor = last
		} else {
			s.snapshot.queue, s.snapshot.cursor = q[1:], Range{}
		}
	}
	return false
}

func (s *State) hasAggregate(agg aggregateID) (ok bool) {
	switch agg.kind {
	case kindCall:
		_, ok = s.calls[agg.ref]
	case kindKey:
		_, ok = s.keys[agg.ref]
	case kindFile:
		_, ok = s.files[agg.id]
	case kindJob:
		_, ok = s.jobs[agg.id]
	}
	return ok
}

func (s *State) skipRemoved() {
	for len(s.snapshot.queue) > 0 && !s.hasAggregate(s.snapshot.queue[0]) {
		s.snapshot.queue, s.snapshot.cursor = s.snapshot.queue[1:], Range{}
	}
}

// SnapshotOpen reports whether a snapshot has begun and not ended.
func (s *State) SnapshotOpen() bool { return s.snapshot != nil }

// SnapshotDue reports whether the owner should begin a snapshot: after
// SnapshotIntervalRecords, SnapshotIntervalBytes or half of the log's retention.
func (s *State) SnapshotDue(nowMs, retentionMs int64) bool {
	return s.snapshot == nil && (s.recordsSinceSnapshot >= SnapshotIntervalRecords || s.bytesSinceSnapshot >= SnapshotIntervalBytes || nowMs-s.baseMs >= retentionMs/2)
}

// snapshotEntries returns the next entries of the open snapshot. They describe the
// current state and must therefore come first in the next batch.
func (s *State) snapshotEntries() []*recordpb.Entry {
	s.skipRemoved()
	if len(s.snapshot.queue) == 0 {
		return []*recordpb.Entry{{Kind: &recordpb.Entry_SnapshotEnd{
			SnapshotEnd: &recordpb.SnapshotEnd{Base: s.snapshot.beginOffset, Restated: s.snapshot.restatedCount}}}}
	}
	var out []*recordpb.Entry
	cursor, remaining := s.snapshot.cursor, maxRestatedBytes
	for _, agg := range s.snapshot.queue {
		var e *recordpb.Entry
		more := false
		switch agg.kind {
		case kindCall:
			if c, ok := s.calls[agg.ref]; ok {
				e = c.restate(agg.ref)
			}
		case kindKey:
			if k, ok := s.keys[agg.ref]; ok {
				e = k.restate(agg.ref)
			}
		case kindFile:
			if f, ok := s.files[agg.id]; ok {
				e, cursor, more = f.restate(cursor, remaining)
			}
		case kindJob:
			if j, ok := s.jobs[agg.id]; ok {
				e, cursor, more = j.restate(cursor, remaining)
			}
		}
		if e == nil {
			continue
		}
		n := proto.Size(e)
		if n > remaining && len(out) > 0 {
			break
		}
		out = append(out, e)
		remaining -= n
		if more || remaining <= 0 {
			break
		}
		cursor = Range{}
	}
	return out
}
