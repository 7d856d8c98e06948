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
	// snapshotBudget bounds the restated bytes in one batch, so that a snapshot
	// leaves room for ordinary entries.
	snapshotBudget = 192 << 10
	// rangeBytes is the largest encoded size of a Range within a list: an offset
	// and three numbers of up to 10, 5, 5 and 5 bytes with tags, and a header.
	rangeBytes = 32
)

type kind uint8

const (
	kindCall kind = iota
	kindKey
	kindFile
	kindJob
)

// item names an aggregate that a snapshot has to restate.
type item struct {
	kind kind
	ref  Ref
	id   string
}

func callItem(r Ref) item { return item{kind: kindCall, ref: r} }
func keyItem(r Ref) item  { return item{kind: kindKey, ref: r} }

func (a item) compare(b item) int {
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
	begin   int64
	beginMs int64
	// queue holds what is still to be restated; aggregates that are created
	// meanwhile are added at its end, because a reader that starts at begin
	// cannot tell a new aggregate from one that is not yet restated.
	queue []item
	// cursor is the last range restated of the first item in the queue.
	cursor Range
	// restated counts the restating entries since begin, whether or not this
	// reader needed them.
	restated uint64
	// unknown is set by an entry of an unknown kind, which may restate something.
	unknown bool
}

func (s *State) snapshotBegin(at Location, atMs int64) bool {
	if at.Entry != 0 {
		return false
	}
	s.snap = &snapshot{begin: at.Offset, beginMs: atMs}
	if s.adopt {
		return true
	}
	for r := range s.calls {
		s.snap.queue = append(s.snap.queue, callItem(r))
	}
	for r := range s.keys {
		s.snap.queue = append(s.snap.queue, keyItem(r))
	}
	for id := range s.files {
		s.snap.queue = append(s.snap.queue, item{kind: kindFile, id: id})
	}
	for id := range s.jobs {
		s.snap.queue = append(s.snap.queue, item{kind: kindJob, id: id})
	}
	slices.SortFunc(s.snap.queue, item.compare)
	return true
}

func (s *State) snapshotEnd(a *Applied, e *recordpb.SnapshotEnd) bool {
	if s.snap == nil || s.snap.begin != e.Base {
		return false
	}
	if s.skipMissing(); len(s.snap.queue) > 0 {
		return false
	}
	if e.Restated != 0 && e.Restated != s.snap.restated && !s.snap.unknown {
		return false
	}
	s.base, s.baseMs = e.Base, s.snap.beginMs
	s.sinceRecords, s.sinceBytes = 0, 0
	s.snap, s.adopt = nil, false
	a.add(&SnapshotCompleted{Base: e.Base})
	return true
}

// create reports whether an aggregate that the state does not have can be new,
// and has an open snapshot restate it.
func (s *State) create(it item) bool {
	if s.adopt {
		return false
	}
	if s.snap != nil {
		s.snap.queue = append(s.snap.queue, it)
	}
	return true
}

// removed drops an aggregate that is being restated from an open snapshot.
func (s *State) removed(it item) {
	if s.snap != nil && len(s.snap.queue) > 0 && s.snap.queue[0] == it {
		s.snap.queue, s.snap.cursor = s.snap.queue[1:], Range{}
	}
}

// restated reports whether the reader needs a restatement. A reader that has
// read the stream up to here does not; it moves the open snapshot on.
func (s *State) restated(it item, last Range, more bool) bool {
	if s.adopt {
		return true
	}
	if s.snap == nil {
		return false
	}
	s.skipMissing()
	if q := s.snap.queue; len(q) > 0 && q[0] == it {
		if more {
			s.snap.cursor = last
		} else {
			s.snap.queue, s.snap.cursor = q[1:], Range{}
		}
	}
	return false
}

func (s *State) has(it item) (ok bool) {
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

func (s *State) skipMissing() {
	for len(s.snap.queue) > 0 && !s.has(s.snap.queue[0]) {
		s.snap.queue, s.snap.cursor = s.snap.queue[1:], Range{}
	}
}

// SnapshotOpen reports whether a snapshot has begun and not ended.
func (s *State) SnapshotOpen() bool { return s.snap != nil }

// SnapshotDue reports whether the owner should begin a snapshot: after
// SnapshotBatches records, SnapshotBytes or half of the log's retention.
func (s *State) SnapshotDue(nowMs, retentionMs int64) bool {
	return s.snap == nil && (s.sinceRecords >= SnapshotIntervalRecords || s.sinceBytes >= SnapshotIntervalBytes || nowMs-s.baseMs >= retentionMs/2)
}

// snapshotEntries returns the next entries of the open snapshot. They describe
// the state as it is and therefore go first into a batch that follows directly.
func (s *State) snapshotEntries() []*recordpb.Entry {
	s.skipMissing()
	if len(s.snap.queue) == 0 {
		return []*recordpb.Entry{{Kind: &recordpb.Entry_SnapshotEnd{
			SnapshotEnd: &recordpb.SnapshotEnd{Base: s.snap.begin, Restated: s.snap.restated}}}}
	}
	var out []*recordpb.Entry
	cursor, left := s.snap.cursor, snapshotBudget
	for _, it := range s.snap.queue {
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
