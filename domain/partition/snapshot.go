package partition

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// SnapshotIntervalRecords is the number of records after which a snapshot is due; it
	// bounds the replay of a new owner (docs/design.md 2.3).
	SnapshotIntervalRecords = 4096
	// SnapshotIntervalBytes is the same bound for payloads, about one second of reading
	// and decoding. Both count from the end of the last snapshot, so that a large
	// snapshot does not make the next one due.
	SnapshotIntervalBytes = 64 << 20
	// maxRestatedBytes bounds the restated bytes in one batch, so that a snapshot
	// leaves room for ordinary entries.
	maxRestatedBytes = 192 << 10
	// maxRangeBytes is the largest encoded size of a Range within a list: an offset
	// and three numbers of up to 10, 5, 5 and 5 bytes with tags, and a header.
	maxRangeBytes = 32
)

type aggregateKind uint8

const (
	kindCall aggregateKind = iota
	kindKey
	kindFile
	kindJob
)

// aggregateID names an aggregate that a snapshot has to restate.
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

// snapshot is one that has begun and not ended.
type snapshot struct {
	beginOffset int64
	beginMs     int64
	// queue holds what is still to be restated; aggregates that are created
	// meanwhile are added at its end, because a reader that starts at begin
	// cannot tell a new aggregate from one that is not yet restated.
	queue []aggregateID
	// cursor is the last range restated of the first item in the queue.
	cursor Range
	// restatedCount counts the restating entries since begin, whether or not this
	// reader needed them.
	restatedCount uint64
	// hasUnknown is set by an entry of an unknown kind, which may restate something.
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

// registerNew reports whether an aggregate that the state does not have can be new,
// and has an open snapshot restate it.
func (s *State) registerNew(it aggregateID) bool {
	if s.restoring {
		return false
	}
	if s.snapshot != nil {
		s.snapshot.queue = append(s.snapshot.queue, it)
	}
	return true
}

// dropFromSnapshot drops an aggregate that is being restated from an open snapshot.
func (s *State) dropFromSnapshot(it aggregateID) {
	if s.snapshot != nil && len(s.snapshot.queue) > 0 && s.snapshot.queue[0] == it {
		s.snapshot.queue, s.snapshot.cursor = s.snapshot.queue[1:], Range{}
	}
}

// needsRestatement reports whether the reader needs a restatement. A reader that has
// read the stream up to here does not; it moves the open snapshot on.
func (s *State) needsRestatement(it aggregateID, last Range, more bool) bool {
	if s.restoring {
		return true
	}
	if s.snapshot == nil {
		return false
	}
	s.skipRemoved()
	if q := s.snapshot.queue; len(q) > 0 && q[0] == it {
		if more {
			s.snapshot.cursor = last
		} else {
			s.snapshot.queue, s.snapshot.cursor = q[1:], Range{}
		}
	}
	return false
}

func (s *State) hasAggregate(it aggregateID) (ok bool) {
	switch it.kind {
	case kindCall:
		_, ok = s.calls[it.ref]
	case kindKey:
		_, ok = s.keys[it.ref]
	case kindFile:
		_, ok = s.files[it.id]
	case kindJob:
		_, ok = s.jobs[it.id]
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
// SnapshotBatches records, SnapshotBytes or half of the log's retention.
func (s *State) SnapshotDue(nowMs, retentionMs int64) bool {
	return s.snapshot == nil && (s.recordsSinceSnapshot >= SnapshotIntervalRecords || s.bytesSinceSnapshot >= SnapshotIntervalBytes || nowMs-s.baseMs >= retentionMs/2)
}

// snapshotEntries returns the next entries of the open snapshot. They describe
// the state as it is and therefore go first into a batch that follows directly.
func (s *State) snapshotEntries() []*recordpb.Entry {
	s.skipRemoved()
	if len(s.snapshot.queue) == 0 {
		return []*recordpb.Entry{{Kind: &recordpb.Entry_SnapshotEnd{
			SnapshotEnd: &recordpb.SnapshotEnd{Base: s.snapshot.beginOffset, Restated: s.snapshot.restatedCount}}}}
	}
	var out []*recordpb.Entry
	cursor, left := s.snapshot.cursor, maxRestatedBytes
	for _, it := range s.snapshot.queue {
		var e *recordpb.Entry
		more := false
		switch it.kind {
		case kindCall:
			if c, ok := s.calls[it.ref]; ok {
				e = c.restate(it.ref)
			}
		case kindKey:
			if k, ok := s.keys[it.ref]; ok {
				e = k.restate(it.ref)
			}
		case kindFile:
			if f, ok := s.files[it.id]; ok {
				e, cursor, more = f.restate(cursor, left)
			}
		case kindJob:
			if j, ok := s.jobs[it.id]; ok {
				e, cursor, more = j.restate(cursor, left)
			}
		}
		if e == nil {
			continue
		}
		n := proto.Size(e)
		if n > left && len(out) > 0 {
			break
		}
		out = append(out, e)
		left -= n
		if more || left <= 0 {
			break
		}
		cursor = Range{}
	}
	return out
}
