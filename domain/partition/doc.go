// Package partition is the state that lives on a partition's stream, and the
// decisions of the instance that owns the partition (docs/design.md 2.3-2.5).
// It does no I/O and starts no goroutine; time is an argument, in milliseconds
// since the Unix epoch.
//
// # Replay
//
// [State] is the aggregate root. [State.Apply] takes the records of the stream
// in order and is the only way to change it, so that readers of the same records
// have the same state. These rules hold:
//
//   - A claim stands alone in a batch with epoch zero. It is valid only if its
//     prev_epoch is the epoch in force. The new epoch is the offset of the claim
//     plus one, hence unique and rising, and a late copy of a claim is void.
//   - A batch is void unless its epoch is the one in force, the epoch is not
//     released and its seq is the last plus one. Hence a repeated append counts
//     once, and an owner that was replaced changes nothing.
//   - Records of an unknown version and entries of an unknown kind are skipped
//     and counted. Entries that have no effect under a rule are counted too.
//   - The first outcome of a call, the first start of a call, the first binding of
//     a key and the first result of an item in stream order stand; later ones are
//     void. Results after JobCancelled are void.
//
// # Snapshots
//
// [NewFromSnapshot] starts in the middle of a stream, where a complete snapshot begins. A
// snapshot restates each aggregate once between SnapshotBegin and SnapshotEnd.
// Until a reader from there has met the restatement of an aggregate it ignores
// other entries about it. Both readers end with the same state because
//
//   - restated entries go first into their batch, and a batch is built only after
//     the one before it was read back, so that nothing stands between the state
//     that they describe and themselves;
//   - an aggregate that is created while a snapshot is open is restated too;
//   - a reader that has read the whole stream ignores restatements;
//   - SnapshotEnd has the number of restating entries, and a reader that counted
//     another number ignores it. Lost batches are noticed by seq already; the
//     count holds for entries that are missing within valid batches;
//   - a job is restated with all its bitmaps at once. Only its list of ranges can
//     follow in parts, and a list of ranges is a sorted set;
//   - no rule of Apply looks at two aggregates, but for JobCreated, which needs
//     its file and which a reader ignores before the end of the snapshot.
//
// A claim, a Release or another SnapshotBegin ends a snapshot that is open.
//
// # Places of bulk data
//
// Lines of files, results of items and answers of calls stay on the log. The
// state has the place of each as a [Range] or [Location]; [LinesAt], [ItemResultsAt]
// and [CallResultAt] read them back from a decoded record. [State.StaleBefore] and
// [StaleRange.Copy] say what is to be appended again before records expire. A copy
// names the place that it replaces and changes nothing else.
//
// # The owner
//
// A [Writer] builds the batches. The duty that drives it does this for each record:
//
//	a := state.Apply(offset, payload)
//	p := writer.Observe(&a)       // answer requests up to p.Committed first,
//	                              // then fail the others if p.SteppedDown
//	leases.Confirm(&a, now)       // non-idempotent items that may go out now
//	calls.Observe(&a)
//	leases.Observe(&a)
//
// and appends what [Writer.Next] returns; [Writer.NotAppended] takes the answers that
// say that nothing was appended, so that a batch with no other answers can be
// built anew without entries that are withdrawn. On p.Claimed or p.SteppedDown it begins
// with new [CallTracker] and [Leases], the owner's memory, which is not on the stream.
// It answers and dispatches only on what it has read back: entries returned by a
// decision are a wish until their record is applied as valid. Because only valid
// records count and a record is valid in one epoch only, this is safe against
// lost answers, late appends, paused owners and two instances that both take
// themselves for the owner. No rule depends on a lease time.
//
// An answer given from the state of an owner that was replaced can be old, but
// not wrong: results never change, and a run of a non-idempotent call or item is
// allowed by its record alone. What an old owner cannot know is that something was
// allowed since; see [DecisionNotRun].
package partition
