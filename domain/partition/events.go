package partition

import "github.com/jacinthnotch/jacinthnotch/wire/recordpb"

// VoidReason is the reason why a record is void.
type VoidReason uint8

// Reasons. A record whose reason is not Valid changes neither the owner nor an aggregate.
const (
	Valid VoidReason = iota
	// VoidRepeated is a record at or below the last offset applied; it was read twice.
	VoidRepeated
	// VoidUnknownVersion is a payload of a version that this build does not know.
	VoidUnknownVersion
	// VoidCorrupt is a payload that cannot be decoded or is too large.
	VoidCorrupt
	// VoidMalformed is a batch with epoch zero that is not exactly one claim.
	VoidMalformed
	// VoidStaleClaim is a claim whose prev_epoch is not the current epoch.
	VoidStaleClaim
	// VoidEpoch is a batch whose epoch is not the current one.
	VoidEpoch
	// VoidReleased is a batch of the current epoch after its Release.
	VoidReleased
	// VoidSeq is a batch whose sequence number is not the last one plus one.
	VoidSeq
	// VoidNoSnapshot is a record on a state from NewFromSnapshot that is not the
	// beginning of the snapshot at its base.
	VoidNoSnapshot
	voidReasonCount
)

var voidReasonNames = [voidReasonCount]string{"valid", "repeated", "unknown-version", "corrupt", "malformed",
	"stale-claim", "other-epoch", "released", "seq", "no-snapshot"}

func (r VoidReason) String() string { return voidReasonNames[r] }

// Applied is the effect of one record.
type Applied struct {
	Offset int64
	// Void is the reason why the record is void, Valid if it is not.
	Void VoidReason
	// Batch is the decoded record, nil if it could not be decoded.
	Batch *recordpb.Batch
	// Events are the effects in stream order.
	Events []Event
}

// Valid reports whether the record is valid. Its entries can still be void.
func (a *Applied) Valid() bool { return a.Void == Valid }

// Event is one effect of a valid record: a pointer to one of the types below.
type Event interface{ event() }

type (
	// Claimed is a valid claim; the instance owns the partition from this record on.
	Claimed struct {
		Epoch       uint64
		Instance    string
		Incarnation uint64
	}
	// Released is the release of the partition by its owner; it can be claimed.
	Released struct{ Epoch uint64 }
	// SnapshotCompleted is the end of a complete snapshot; replay can start at Base.
	SnapshotCompleted struct{ Base int64 }
	// CallStarted is the first start of a call; the attempt may be dispatched.
	CallStarted struct {
		Ref      Ref
		Instance string
		Attempt  string
	}
	// CallFinished is the final outcome of a call. At is the location of its entry.
	CallFinished struct {
		Ref     Ref
		Outcome recordpb.Outcome
		At      Location
	}
	// KeyBound is the first binding of a job key.
	KeyBound struct {
		Ref   Ref
		JobID string
	}
	// FileSealed means that the file is complete and can be used.
	FileSealed struct{ FileID string }
	// JobCreated is the creation of a job.
	JobCreated struct{ JobID string }
	// ItemsStarted lists items that the director may dispatch.
	ItemsStarted struct {
		JobID    string
		Items    []uint32
		Director string
	}
	// ItemsFinished lists the items whose result in one entry is valid. Void counts
	// the other results of the entry.
	ItemsFinished struct {
		JobID string
		Items []uint32
		Void  int
	}
	// JobCompleted means that all items of the job have an outcome.
	JobCompleted struct{ JobID string }
	// JobCancelled means that further results of the job are void.
	JobCancelled struct{ JobID string }
	// Removed lists aggregates that an Expired entry removed.
	Removed struct{ Entry *recordpb.Expired }
)

func (*Claimed) event()           {}
func (*Released) event()          {}
func (*SnapshotCompleted) event() {}
func (*CallStarted) event()       {}
func (*CallFinished) event()      {}
func (*KeyBound) event()          {}
func (*FileSealed) event()        {}
func (*JobCreated) event()        {}
func (*ItemsStarted) event()      {}
func (*ItemsFinished) event()     {}
func (*JobCompleted) event()      {}
func (*JobCancelled) event()      {}
func (*Removed) event()           {}
