package partition

import "github.com/jacinthnotch/jacinthnotch/wire/recordpb"

// VoidReason says why a record took no effect.
type VoidReason uint8

// Reasons. A record whose reason is not Valid changed nothing.
const (
	Valid VoidReason = iota
	// VoidRepeated is a record at or below the last offset applied: read twice.
	VoidRepeated
	// VoidUnknownVersion is a payload of a version that this build does not know.
	VoidUnknownVersion
	// VoidCorrupt is a payload that cannot be decoded or is too large.
	VoidCorrupt
	// VoidMalformed is a batch without an epoch that is not exactly one claim.
	VoidMalformed
	// VoidStaleClaim is a claim whose prev_epoch is not the epoch in force.
	VoidStaleClaim
	// VoidEpoch is a batch of another epoch than the one in force.
	VoidEpoch
	// VoidReleased is a batch of the epoch in force after its Release.
	VoidReleased
	// VoidSeq is a batch whose sequence number is not the last plus one.
	VoidSeq
	// VoidNoSnapshot is a first record of a state from NewFromSnapshot that does not begin a snapshot.
	VoidNoSnapshot
	voidReasonCount
)

var voidReasonNames = [voidReasonCount]string{"valid", "repeated", "unknown-version", "corrupt", "malformed",
	"stale-claim", "other-epoch", "released", "seq", "no-snapshot"}

func (r VoidReason) String() string { return voidReasonNames[r] }

// Applied is the effect of one record.
type Applied struct {
	Offset int64
	// Void is Valid if the record took effect.
	Void VoidReason
	// Batch is the decoded record, nil if it could not be decoded.
	Batch *recordpb.Batch
	// Events are the effects in stream order.
	Events []Event
}

// Valid reports whether the record took effect.
func (a *Applied) Valid() bool { return a.Void == Valid }

// Event is one effect of a valid record: a pointer to one of the types below.
type Event interface{ event() }

type (
	// Claimed is a valid claim: the instance owns the partition from here on.
	Claimed struct {
		Epoch       uint64
		Instance    string
		Incarnation uint64
	}
	// Released is the end of an ownership; the partition can be claimed.
	Released struct{ Epoch uint64 }
	// SnapshotCompleted says that replay can start at Base from now on.
	SnapshotCompleted struct{ Base int64 }
	// CallStarted says that the attempt may be dispatched.
	CallStarted struct {
		Ref      Ref
		Instance string
		Attempt  string
	}
	// CallFinished is the standing outcome of a call; its entry is at At.
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
	// FileSealed says that the file exists.
	FileSealed struct{ FileID string }
	// JobCreated says that the job exists.
	JobCreated struct{ JobID string }
	// ItemsStarted says that these items may be dispatched by the director.
	ItemsStarted struct {
		JobID    string
		Items    []uint32
		Director string
	}
	// ItemsFinished lists the results of one entry that stand. Void counts the others.
	ItemsFinished struct {
		JobID string
		Items []uint32
		Void  int
	}
	// JobCompleted says that each item of the job has its outcome.
	JobCompleted struct{ JobID string }
	// JobCancelled says that results after this record are void.
	JobCancelled struct{ JobID string }
	// Removed lists aggregates whose retention is over.
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
