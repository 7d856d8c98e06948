package partition

import (
	"errors"

	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// Ref identifies a keyed call or a job key.
type Ref struct{ Workspace, Key string }

// Owner is the instance that holds a partition.
type Owner struct {
	Instance    string
	Incarnation uint64
	// Released is set once the owner has released the partition.
	Released bool
}

// Counters count records and entries that a reader skipped. They are not part of
// the replicated state: a reader that starts at a snapshot has other counts.
type Counters struct {
	// Records counts records by reason.
	Records [voidReasonCount]uint64
	// UnknownEntries counts entries of kinds that this build does not know.
	UnknownEntries uint64
	// IgnoredEntries counts entries that are void under the rules of replay.
	IgnoredEntries uint64
}

// State is the replicated state of a partition. Apply is the only way to change it.
// It is not safe for concurrent use.
type State struct {
	epoch      uint64
	seq        uint64
	owner      Owner
	lastOffset int64 // offset of the last record applied
	base       int64 // offset where the last complete snapshot begins

	pendingBase int64     // base passed to NewFromSnapshot until the record there is applied, else -1
	restoring   bool      // set while the snapshot at the base of NewFromSnapshot is read
	snapshot    *snapshot // open snapshot, or nil

	calls           map[Ref]*Call
	unfinishedCalls map[Ref]*Call // started and not finished
	keys            map[Ref]*Key
	files           map[string]*File
	jobs            map[string]*Job
	activeJobs      map[string]*Job // not completed and not cancelled

	recordsSinceSnapshot int   // records applied since the last SnapshotEnd
	bytesSinceSnapshot   int   // payload bytes of these records
	baseMs               int64 // time of the SnapshotBegin at base, or of the first claim

	counters Counters
}

// New returns the state before the first record of a stream.
func New() *State {
	return &State{
		lastOffset: -1, pendingBase: -1,
		calls: map[Ref]*Call{}, unfinishedCalls: map[Ref]*Call{}, keys: map[Ref]*Key{}, files: map[string]*File{},
		jobs: map[string]*Job{}, activeJobs: map[string]*Job{},
	}
}

// NewFromSnapshot returns a state to which records are applied from base on, the
// offset where a complete snapshot begins. Base zero is the start of the stream.
func NewFromSnapshot(base int64) *State {
	s := New()
	if base > 0 {
		s.pendingBase, s.lastOffset = base, base-1
	}
	return s
}

// DecodeBase returns the base given in a payload, and false if the payload cannot
// be decoded.
func DecodeBase(payload []byte) (int64, bool) {
	b, err := record.Decode(payload)
	return b.GetBase(), err == nil
}

// Epoch returns the current epoch, zero if there was never an owner.
func (s *State) Epoch() uint64 { return s.epoch }

// Seq returns the sequence number of the last valid batch of the epoch.
func (s *State) Seq() uint64 { return s.seq }

// Base returns the offset where the last complete snapshot begins, zero for none.
func (s *State) Base() int64 { return s.base }

// NextOffset returns the offset of the next record to apply.
func (s *State) NextOffset() int64 { return s.lastOffset + 1 }

// Owner returns the instance that holds the partition.
func (s *State) Owner() Owner { return s.owner }

// Ready reports whether the state is complete. A state from NewFromSnapshot is not
// ready before the end of the snapshot, and must not be used for a claim.
func (s *State) Ready() bool { return s.pendingBase < 0 && !s.restoring }

// Counters returns the counts of skipped records and entries.
func (s *State) Counters() Counters { return s.counters }

// Call returns the keyed call.
func (s *State) Call(r Ref) (*Call, bool) { c, ok := s.calls[r]; return c, ok }

// Key returns the binding of a job key.
func (s *State) Key(r Ref) (*Key, bool) { k, ok := s.keys[r]; return k, ok }

// File returns the file, sealed or not.
func (s *State) File(id string) (*File, bool) { f, ok := s.files[id]; return f, ok }

// Job returns the job.
func (s *State) Job(id string) (*Job, bool) { j, ok := s.jobs[id]; return j, ok }

// ForEachActiveJob calls f for each job that is not completed and not cancelled, in
// no fixed order.
func (s *State) ForEachActiveJob(f func(*Job)) {
	for _, j := range s.activeJobs {
		f(j)
	}
}

// ForEachJob calls f for each job, in no fixed order.
func (s *State) ForEachJob(f func(*Job)) {
	for _, j := range s.jobs {
		f(j)
	}
}

// Apply applies the record at offset. Records are applied in stream order; one at
// or below the last offset is skipped. The effect depends only on the records.
func (s *State) Apply(offset int64, payload []byte) Applied {
	if offset <= s.lastOffset {
		s.counters.Records[VoidRepeated]++
		return Applied{Offset: offset, Void: VoidRepeated}
	}
	s.lastOffset = offset
	a := Applied{Offset: offset}
	b, err := record.Decode(payload)
	if err != nil {
		a.Void = VoidCorrupt
		if ve := (*record.VersionError)(nil); errors.As(err, &ve) {
			a.Void = VoidUnknownVersion
		}
	} else {
		a.Batch = b
		a.Void = s.admitBatch(offset, b)
	}
	s.counters.Records[a.Void]++
	s.recordsSinceSnapshot++
	s.bytesSinceSnapshot += len(payload)
	if a.Void == Valid {
		s.applyEntries(&a)
	}
	return a
}

// admitBatch checks the epoch and seq of a batch and advances them if it is valid.
func (s *State) admitBatch(offset int64, b *recordpb.Batch) VoidReason {
	if s.pendingBase >= 0 {
		return s.admitSnapshotBase(offset, b)
	}
	if b.Epoch == 0 {
		if len(b.Entries) != 1 || b.Entries[0].GetClaim() == nil {
			return VoidMalformed
		}
		return s.admitClaim(offset, b.Entries[0].GetClaim())
	}
	switch {
	case b.Epoch != s.epoch:
		return VoidEpoch
	case s.owner.Released:
		return VoidReleased
	case b.Seq != s.seq+1:
		return VoidSeq
	}
	s.seq = b.Seq
	return Valid
}

func (s *State) admitClaim(offset int64, c *recordpb.Claim) VoidReason {
	if c.PrevEpoch != s.epoch {
		return VoidStaleClaim
	}
	s.epoch, s.seq = uint64(offset)+1, 0
	s.owner = Owner{Instance: c.Instance, Incarnation: c.Incarnation}
	// A snapshot belongs to the owner that began it.
	s.snapshot = nil
	return Valid
}

// admitSnapshotBase checks the first record of a state from NewFromSnapshot and
// adopts its epoch, seq and owner. Batches give only complete snapshots as base, so
// that the record there is known to be valid.
func (s *State) admitSnapshotBase(offset int64, b *recordpb.Batch) VoidReason {
	if offset != s.pendingBase || b.Epoch == 0 || len(b.Entries) == 0 || b.Entries[0].GetSnapshotBegin() == nil {
		return VoidNoSnapshot
	}
	sb := b.Entries[0].GetSnapshotBegin()
	s.epoch, s.seq, s.pendingBase, s.restoring = b.Epoch, b.Seq, -1, true
	s.owner = Owner{Instance: sb.Instance, Incarnation: sb.Incarnation}
	return Valid
}

func (s *State) applyEntries(a *Applied) {
	for i, e := range a.Batch.Entries {
		if s.owner.Released {
			s.counters.IgnoredEntries++
			continue
		}
		if s.snapshot != nil && isRestatement(e) {
			s.snapshot.restatedCount++
		}
		at := Location{Offset: a.Offset, Entry: uint32(i)}
		if !s.applyEntry(a, at, e) {
			s.counters.IgnoredEntries++
		}
	}
}

func isRestatement(e *recordpb.Entry) bool {
	switch e.Kind.(type) {
	case *recordpb.Entry_CallRestated, *recordpb.Entry_KeyRestated, *recordpb.Entry_FileRestated, *recordpb.Entry_JobRestated:
		return true
	}
	return false
}

// applyEntry applies an entry and returns false if it is void.
func (s *State) applyEntry(a *Applied, at Location, e *recordpb.Entry) bool {
	switch k := e.Kind.(type) {
	case *recordpb.Entry_Claim:
		if a.Batch.Epoch != 0 {
			return false
		}
		if s.baseMs == 0 {
			s.baseMs = e.AtMs
		}
		a.addEvent(&Claimed{Epoch: s.epoch, Instance: s.owner.Instance, Incarnation: s.owner.Incarnation})
		return true
	case *recordpb.Entry_Release:
		s.owner.Released, s.snapshot = true, nil
		a.addEvent(&Released{Epoch: s.epoch})
		return true
	case *recordpb.Entry_SnapshotBegin:
		return s.snapshotBegin(at, e.AtMs)
	case *recordpb.Entry_SnapshotEnd:
		return s.snapshotEnd(a, k.SnapshotEnd)
	case *recordpb.Entry_CallStarted:
		return s.callStarted(a, k.CallStarted)
	case *recordpb.Entry_CallFinished:
		return s.callFinished(a, at, k.CallFinished)
	case *recordpb.Entry_CallRestated:
		return s.callRestated(k.CallRestated)
	case *recordpb.Entry_KeyBound:
		return s.keyBound(a, e.AtMs, k.KeyBound)
	case *recordpb.Entry_KeyRestated:
		return s.keyRestated(k.KeyRestated)
	case *recordpb.Entry_FileChunk:
		return s.fileChunk(at, e.AtMs, k.FileChunk)
	case *recordpb.Entry_FileSealed:
		return s.fileSealed(a, e.AtMs, k.FileSealed)
	case *recordpb.Entry_FileRestated:
		return s.fileRestated(k.FileRestated)
	case *recordpb.Entry_JobCreated:
		return s.jobCreated(a, e.AtMs, k.JobCreated)
	case *recordpb.Entry_ItemsStarted:
		return s.itemsStarted(a, k.ItemsStarted)
	case *recordpb.Entry_ItemResults:
		return s.itemResults(a, at, e.AtMs, k.ItemResults)
	case *recordpb.Entry_JobCancelled:
		return s.jobCancelled(a, e.AtMs, k.JobCancelled)
	case *recordpb.Entry_JobRestated:
		return s.jobRestated(k.JobRestated)
	case *recordpb.Entry_Expired:
		return s.expired(a, k.Expired)
	}
	s.counters.UnknownEntries++
	if s.snapshot != nil {
		s.snapshot.hasUnknown = true
	}
	return true
}

func (a *Applied) addEvent(e Event) { a.Events = append(a.Events, e) }
