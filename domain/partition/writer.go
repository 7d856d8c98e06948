package partition

import (
	"bytes"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// maxBatchBytes is the maximum size of the entries of one batch before
	// compression. The payload stays below record.MaxPayload even if the entries
	// cannot be compressed. A single entry may be larger if it compresses well.
	maxBatchBytes = record.MaxPayload - 32<<10
	// MaxPendingBytes is the maximum size of the queued entries, about 16 batches.
	// Add refuses more with ErrBusy.
	MaxPendingBytes = 8 << 20
)

var (
	// ErrNotOwner reports an entry added by an instance that does not hold the partition.
	ErrNotOwner = errors.New("partition: not the owner")
	// ErrNotReady reports a claim on a state that is not complete.
	ErrNotReady = errors.New("partition: state is not ready")
	// ErrBusy reports that MaxPendingBytes are pending.
	ErrBusy = errors.New("partition: too many pending entries")
	// ErrEntryTooLarge reports an entry that does not fit into a payload.
	ErrEntryTooLarge = errors.New("partition: entry too large")
)

// Role is the role of a Writer on its stream.
type Role uint8

// Roles.
const (
	// RoleIdle is a writer that neither claims nor owns the partition.
	RoleIdle Role = iota
	// RoleClaiming is a writer whose claim is not read back yet.
	RoleClaiming
	// RoleOwner is the writer of the instance that holds the partition.
	RoleOwner
)

// Ticket is the sequence number of an entry added to a Writer.
type Ticket uint64

// Progress is the effect of one record on a Writer.
type Progress struct {
	// Claimed is set by the record that made the instance the owner.
	Claimed bool
	// SteppedDown is set by the record that ended the ownership or the claim:
	// the writer's own Release or a newer claim. Entries above Committed have not
	// been applied and never will be. One record can both commit entries and end
	// the ownership.
	SteppedDown bool
	// Committed is the highest ticket read back. All entries up to it are recorded.
	Committed Ticket
}

type pendingEntry struct {
	entry  *recordpb.Entry
	ticket Ticket
	size   int
}

// Writer builds the batches of one instance on one partition's stream. It has at
// most one batch in flight, whose append it repeats byte for byte until the batch is
// read back.
type Writer struct {
	instance    string
	incarnation uint64
	role        Role
	epoch       uint64
	prevEpoch   uint64 // prev_epoch of the claim

	pending           []pendingEntry
	pendingBytes      int
	nextTicket        Ticket // ticket of the next entry
	committed         Ticket
	releasing         bool
	snapshotRequested bool // begin a snapshot with the next batch

	inFlight         []byte
	inFlightSeq      uint64
	inFlightTicket   Ticket // highest ticket in flight
	inFlightSnapshot bool   // the batch in flight begins a snapshot
	// unresolvedAppends is the number of appends of the batch in flight, without those
	// that certainly failed. While it is zero the batch is not on the stream.
	unresolvedAppends int
}

// NewWriter returns an idle writer. Incarnation is different after each restart of an
// instance, so that a claim from before a restart is not mistaken for its own.
func NewWriter(instance string, incarnation uint64) *Writer {
	return &Writer{instance: instance, incarnation: incarnation, nextTicket: 1}
}

// Role returns the role of the writer.
func (w *Writer) Role() Role { return w.role }

// Epoch returns the epoch that the writer owns, which is the fencing token on orders;
// zero if it owns none.
func (w *Writer) Epoch() uint64 { return w.epoch }

// InFlight reports whether a batch was returned by Next and not yet read back.
func (w *Writer) InFlight() bool { return w.inFlight != nil }

// InDoubt reports whether a batch that was not read back may be on the stream
// now or later.
func (w *Writer) InDoubt() bool { return w.inFlight != nil && w.unresolvedAppends > 0 }

// NotAppended reports that an append of a payload returned by Next failed with
// port.ErrUnavailable. It must be called once for each such error and for no other
// one, because an append whose outcome is unknown may put the batch on the stream at
// any later time. A call with the payload of another batch has no effect.
func (w *Writer) NotAppended(payload []byte) {
	if w.unresolvedAppends > 0 && bytes.Equal(payload, w.inFlight) {
		w.unresolvedAppends--
	}
}

// Claim makes the next batch a claim of the partition, unless the writer already
// claims or owns it.
func (w *Writer) Claim(s *State) error {
	if !s.Ready() {
		return ErrNotReady
	}
	if w.role == RoleIdle {
		w.role, w.prevEpoch = RoleClaiming, s.Epoch()
	}
	return nil
}

// Add queues entries for the next batches, in order, and returns the ticket of
// the last one. On an error no entry is queued.
func (w *Writer) Add(entries ...*recordpb.Entry) (Ticket, error) {
	if w.role != RoleOwner || w.releasing {
		return 0, ErrNotOwner
	}
	total := 0
	sizes := make([]int, len(entries))
	for i, e := range entries {
		sizes[i] = proto.Size(e) + 8 // 8 bytes for the tag and length in the list
		total += sizes[i]
		if sizes[i] > maxBatchBytes {
			// The batch has the seq and the base with the longest encoding.
			if _, err := record.Encode(w.newBatch(^uint64(0), ^int64(0), e)); err != nil {
				return 0, fmt.Errorf("%w: %d bytes", ErrEntryTooLarge, sizes[i])
			}
		}
	}
	if w.pendingBytes > 0 && w.pendingBytes+total > MaxPendingBytes {
		return 0, ErrBusy
	}
	for i, e := range entries {
		w.pending = append(w.pending, pendingEntry{entry: e, ticket: w.nextTicket, size: sizes[i]})
		w.nextTicket++
	}
	w.pendingBytes += total
	return w.nextTicket - 1, nil
}

// Empty reports whether nothing is queued or in flight.
func (w *Writer) Empty() bool { return len(w.pending) == 0 && w.inFlight == nil }

// Withdraw removes a queued entry that is in no batch yet, or in a batch whose
// appends all failed. The other entries of that batch go into the next one, which
// takes its seq. Withdraw returns false if the entry is, or may be, on the stream.
func (w *Writer) Withdraw(t Ticket) bool {
	for i, p := range w.pending {
		if p.ticket == t {
			if w.inFlight != nil && t <= w.inFlightTicket {
				if w.InDoubt() {
					return false
				}
				w.inFlight, w.snapshotRequested = nil, w.snapshotRequested || w.inFlightSnapshot
			}
			w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
			w.pendingBytes -= p.size
			return true
		}
	}
	return false
}

// BeginSnapshot makes the next batch begin a snapshot. It has no effect unless the
// writer is the owner and not releasing the partition.
func (w *Writer) BeginSnapshot() { w.snapshotRequested = w.role == RoleOwner && !w.releasing }

// Release releases the partition after the entries already queued.
func (w *Writer) Release(nowMs int64) error {
	if _, err := w.Add(&recordpb.Entry{AtMs: nowMs, Kind: &recordpb.Entry_Release{Release: &recordpb.Release{}}}); err != nil {
		return err
	}
	w.releasing, w.snapshotRequested = true, false
	return nil
}

// Next returns the payload to append, nil for none. It returns the same payload again
// until that is read back or discarded by Withdraw, whatever the result of its append.
// Each call that returns a payload counts as one append until NotAppended is called
// for it. s is the state after the records that the writer has observed.
func (w *Writer) Next(s *State, nowMs int64) ([]byte, error) {
	if w.inFlight != nil {
		w.unresolvedAppends++
		return w.inFlight, nil
	}
	var b *recordpb.Batch
	switch {
	case w.role == RoleClaiming:
		b = w.newBatch(0, s.Base(), &recordpb.Entry{AtMs: nowMs, Kind: &recordpb.Entry_Claim{Claim: &recordpb.Claim{
			Instance: w.instance, Incarnation: w.incarnation, PrevEpoch: w.prevEpoch}}})
		w.inFlightSeq, w.inFlightTicket, w.inFlightSnapshot = 0, w.committed, false
	case w.role == RoleOwner:
		b = w.nextBatch(s, nowMs)
	}
	if b == nil {
		return nil, nil
	}
	payload, err := record.Encode(b)
	if err != nil {
		return nil, err
	}
	w.inFlight, w.unresolvedAppends = payload, 1
	return payload, nil
}

func (w *Writer) newBatch(seq uint64, base int64, entries ...*recordpb.Entry) *recordpb.Batch {
	return &recordpb.Batch{Epoch: w.epoch, Seq: seq, Base: base, Instance: w.instance, Entries: entries}
}

// nextBatch builds the next batch of the epoch. Restatements come first, so that no
// entry is applied between the state that they describe and them.
func (w *Writer) nextBatch(s *State, nowMs int64) *recordpb.Batch {
	var entries []*recordpb.Entry
	w.inFlightSnapshot = w.snapshotRequested
	switch {
	case w.snapshotRequested:
		entries = []*recordpb.Entry{{AtMs: nowMs, Kind: &recordpb.Entry_SnapshotBegin{
			SnapshotBegin: &recordpb.SnapshotBegin{Instance: w.instance, Incarnation: w.incarnation}}}}
		w.snapshotRequested = false
	case s.snapshot != nil && !w.releasing:
		entries = s.snapshotEntries()
	}
	size := 0
	for _, e := range entries {
		size += proto.Size(e) + 8
	}
	last := w.committed
	for _, p := range w.pending {
		if len(entries) > 0 && size+p.size > maxBatchBytes {
			break
		}
		entries, size, last = append(entries, p.entry), size+p.size, p.ticket
	}
	if len(entries) == 0 {
		return nil
	}
	w.inFlightSeq, w.inFlightTicket = s.Seq()+1, last
	return w.newBatch(w.inFlightSeq, s.Base(), entries...)
}

// Observe updates the writer after a record was applied. It must be called for each
// record in stream order, and before the next call of Next.
func (w *Writer) Observe(a *Applied) Progress {
	p := Progress{Committed: w.committed}
	if !a.Valid() {
		return p
	}
	if w.role == RoleOwner && a.Batch.Epoch == w.epoch {
		if w.inFlight != nil && a.Batch.Seq == w.inFlightSeq {
			w.commit()
		}
		p.Committed = w.committed
	}
	for _, e := range a.Events {
		switch e := e.(type) {
		case *Claimed:
			p.SteppedDown = w.role != RoleIdle
			own := e.Instance == w.instance && e.Incarnation == w.incarnation
			if own && w.role == RoleClaiming {
				p.SteppedDown = false
			}
			w.reset()
			// The writer becomes the owner by any claim of its incarnation, also
			// when it is not claiming: the stream alone decides who the owner is.
			if own {
				w.role, w.epoch, p.Claimed = RoleOwner, e.Epoch, true
			}
		case *Released:
			if w.role == RoleOwner && e.Epoch == w.epoch {
				p.SteppedDown = true
				w.reset()
			}
		}
	}
	return p
}

func (w *Writer) commit() {
	n := 0
	for n < len(w.pending) && w.pending[n].ticket <= w.inFlightTicket {
		w.pendingBytes -= w.pending[n].size
		n++
	}
	w.pending = w.pending[n:]
	w.committed, w.inFlight = w.inFlightTicket, nil
}

func (w *Writer) reset() {
	w.role, w.epoch, w.inFlight, w.pending, w.pendingBytes = RoleIdle, 0, nil, nil, 0
	w.releasing, w.snapshotRequested = false, false
}
