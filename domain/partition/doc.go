// Package partition implements the state machine that is replicated over a
// partition's stream, and the decisions of the instance that owns the partition
// (docs/design.md 2.3-2.5). It does no I/O and starts no goroutine; time is an
// argument, in milliseconds since the Unix epoch.
//
// # Replay
//
// A stream is an append-only sequence of records. A record holds one batch, and a
// batch holds a list of entries. [State] is built by applying the records in
// order with [State.Apply], which is the only way to change it, so that all
// readers of the same records have the same state. A record or entry that the
// following rules leave without effect is called void:
//
//   - A claim is the only entry of a batch with epoch zero. It is valid only if its
//     prev_epoch is the current epoch. The new epoch is the offset of the claim
//     plus one. Epochs are therefore unique and increasing, and a late duplicate of
//     a claim is void.
//   - A batch is valid only if its epoch is the current one and not released, and
//     its seq is the last one plus one. Hence a repeated append counts once, and a
//     former owner cannot change the state.
//   - Records of an unknown version and entries of an unknown kind are skipped
//     and counted. Entries that are void under a rule are counted too.
//   - The first start and the first outcome of a call, the first binding of a key
//     and the first result of an item in stream order are valid; later ones are
//     void. Results after JobCancelled are void.
//
// # Snapshots
//
// [NewFromSnapshot] starts replay at the beginning of a complete snapshot. A
// snapshot writes the full state of each aggregate (call, key, file or job) once
// between SnapshotBegin and SnapshotEnd, which is called restating it. A reader
// that starts there ignores other entries about an aggregate until it has read
// the restatement. It ends with the same state as a reader of the whole stream
// because
//
//   - restatements come first in their batch, and a batch is built only after the
//     previous one was read back, so that no other entry can come between the
//     state that a restatement describes and the restatement;
//   - an aggregate that is created while a snapshot is open is restated too;
//   - a reader that has read the whole stream ignores restatements;
//   - SnapshotEnd has the number of restatements, and a reader that counted another
//     number ignores it. Missing batches are already detected by seq; the count
//     detects entries that are missing within valid batches;
//   - all bitmaps of a job are in the first part of its restatement. Only its list of
//     ranges can continue in further parts, and that list is a sorted set;
//   - no rule of Apply refers to two aggregates, except for JobCreated, which needs
//     its file and which a reader ignores before the end of the snapshot.
//
// A claim, a Release or another SnapshotBegin aborts an open snapshot.
//
// # Bulk data
//
// The lines of files, the results of items and the responses of calls are not kept
// in memory. The state has their positions in the stream as a [Range] or
// [Location]; [LinesAt], [ItemResultsAt] and [CallResultAt] read them from a decoded
// record. [State.StaleBefore] and [StaleRange.Copy] return what has to be appended
// again before the log deletes old records. A copy takes the place of the original
// and changes no results, lines or outcomes.
//
// # Owner
//
// A [Writer] builds the batches. Its driver does the following for each record:
//
//	a := state.Apply(offset, payload)
//	p := writer.Observe(&a)       // answer requests up to p.Committed first,
//	                              // then fail the others if p.SteppedDown
//	leases.Confirm(&a, now)       // non-idempotent items that may now be dispatched
//	calls.Observe(&a)
//	leases.Observe(&a)
//
// and appends what [Writer.Next] returns. It reports appends that certainly failed
// to [Writer.NotAppended], so that a batch whose appends all failed can be rebuilt
// without entries that are withdrawn. On p.Claimed or p.SteppedDown it starts with
// a new [CallTracker] and new [Leases], which are in the owner's memory only.
//
// A record is read back when its writer reads it from the log and applies it. The
// owner answers and dispatches only on the basis of what it has read back: an entry
// returned by a decision has no effect until its record is applied as valid.
// Because a record is valid in one epoch only, this is safe under lost append
// responses, delayed appends, paused owners and two instances that both consider
// themselves the owner. No rule depends on a lease time.
//
// An answer given from the state of a former owner can be outdated but not
// wrong: results never change, and a non-idempotent call or item may run only if
// its start is recorded. A former owner does not know of starts recorded after its
// epoch; see [DecisionNotRun].
package partition
