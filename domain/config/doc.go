// Package config implements the operators' configuration document and its
// replication through the config stream of the log.
//
// The document is TOML. Each table ([fleet], [services.NAME], [models.NAME],
// [adapters.NAME], [capacity.NAME], [workspaces.NAME]) is a section; a section
// has an owning team and is the unit of editing. Keys lists every key with its
// unit, default and range.
//
// # Concurrency control
//
// A Replica applies the records of the config stream in offset order. The
// revision of an accepted edit is the offset of its record plus one, so that
// zero can denote a section that never existed. An edit names the revision of
// its section on which it is based. It is accepted if that is the section's
// current revision and the whole document remains valid; otherwise it is refused.
// Entries of one record with the same edit_id are one edit and are accepted or
// refused together. The verdict depends only on the document at that offset of
// the stream and on no other state of a reader, so every reader reaches the same
// verdict. A removed section keeps its revision as a tombstone, so that a delayed
// copy of an old edit cannot restore it.
//
// # Resends
//
// A copy of the edit that created the section's current revision is recognised
// by its edit_id. A copy of an older edit is stale because of its base revision.
// A copy of an edit that was refused as invalid is evaluated again, against the
// document at the copy's own offset.
//
// # Restatement
//
// The log keeps records for a limited time, so instances write the current
// sections again before they expire. Such a restatement is a snapshot of every
// section with its original revision between SnapshotBegin and SnapshotEnd;
// SnapshotEnd's base is the offset up to which the writer had read. A reader that
// has a document takes no section from it. A reader that starts after the first
// records have expired waits for a restatement whose base it can reach, loads the
// restatement and evaluates the records after that base.
//
// # Format versions
//
// The key format of [fleet] is the version in force. Every binary evaluates a
// revision by the rules of the version in force at its offset, not by the newest
// version that the binary supports: a key of a later version is an unknown key
// until the fleet's format allows it. A later version accepts every document of
// the version before it. The edit that raises the format (by one; it is never
// lowered) is itself evaluated by the old rules, so all binaries agree on whether
// it is accepted. A reader that does not support the new version freezes: it keeps
// its document, skips and counts every later record and reports FrozenAtFormat.
// Its document is then an earlier state of the fleet's document and never a
// diverging one, so instances cannot diverge during a rolling upgrade. Operators
// raise the format after the last instance is upgraded.
package config
