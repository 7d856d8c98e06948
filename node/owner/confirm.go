package owner

import (
	"context"
	"time"

	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// noOpEntry returns an entry without effect: an empty list of expired aggregates,
// which changes nothing in any version of the software.
func noOpEntry(now time.Time) *recordpb.Entry {
	return &recordpb.Entry{AtMs: now.UnixMilli(), Kind: &recordpb.Entry_Expired{Expired: &recordpb.Expired{}}}
}

// Confirm appends a record without effect under the partition's epoch and returns
// the epoch after the record was read back. This proves that no other instance had
// claimed the partition when Confirm was called. held is false if this instance
// does not own the partition or the record was not read back before ctx ended.
func (m *Manager) Confirm(ctx context.Context, partition int) (epoch uint64, held bool) {
	owner, _ := m.ownerOf(partition)
	if owner == nil {
		return 0, false
	}
	deadline := replyDeadline(ctx, 0)
	epoch, refusal := ask(ctx, owner, func(reply func(uint64, *peerpb.Refusal)) {
		done := func(r *peerpb.Refusal) { reply(owner.writer.Epoch(), r) }
		if r := owner.add(addOptions{deadline: deadline, rollback: func() {}, done: done}, noOpEntry(time.Now())); r != nil {
			reply(0, r)
		}
	})
	return epoch, refusal == nil
}
