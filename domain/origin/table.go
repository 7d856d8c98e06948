// Package origin models where event streams began: at which version of the server software of
// which service. A stream that breaks can only go on at a server of the same version. The
// package performs no I/O and never reads the clock.
package origin

import (
	"slices"
	"time"
)

const (
	// Retention is how long an origin is kept after it was recorded. It exceeds the time in
	// which callers take a stream up.
	Retention = 2 * time.Minute
	// maxStreams limits the origins that are kept, and thereby the memory of a table.
	maxStreams = 1 << 17
	// maxInterned limits the distinct origins that are shared between streams.
	maxInterned = 1 << 13
	// compactAfter is the number of removed elements after which a queue is copied.
	compactAfter = 1 << 10
)

// Origin is what a stream began at.
type Origin struct{ Service, Version, Server string }

// Record is the origin of one stream.
type Record struct {
	// ID identifies the caller's attempt.
	ID uint64
	// Attempt numbers the servers that got the request. The last one of them sent the first
	// event.
	Attempt uint8
	Origin
	// SentAt is when the request was sent to the server, by the clock of the instance that
	// sent it.
	SentAt time.Time
}

// Status says what is known of the origin of a stream.
type Status uint8

// The statuses.
const (
	// Unknown: no version can be told.
	Unknown Status = iota
	// Known: the stream began at the given service and version.
	Known
	// Unreadable: the origin may become known once the records can be read.
	Unreadable
)

// Table holds the origins of recent streams. A Table is not safe for concurrent use.
type Table struct {
	streams  map[uint64]stream
	interned map[Origin]*Origin
	// queue holds the streams in the order in which they were recorded, from head on.
	queue []queued
	head  int
	// versions holds when a version of a service was last recorded.
	versions map[version]time.Time
}

type stream struct {
	origin *Origin
	sentAt time.Time
	// attempt is the attempt of the origin, and ambiguous is set if two records of one
	// attempt differ, because two streams have the same ID.
	attempt   uint8
	ambiguous bool
}

type queued struct {
	id         uint64
	recordedAt time.Time
}

type version struct{ service, version string }

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{streams: map[uint64]stream{}, interned: map[Origin]*Origin{}, versions: map[version]time.Time{}}
}

// Add adds a record. It returns false if the table holds it, or a later one, already.
func (t *Table) Add(now time.Time, r Record) bool {
	t.expire(now)
	t.versions[version{r.Service, r.Version}] = now
	old, ok := t.streams[r.ID]
	switch {
	case !ok:
		t.queue = append(t.queue, queued{r.ID, now})
	case r.Attempt < old.attempt:
		return false
	case r.Attempt == old.attempt:
		if old.ambiguous || old.origin.Service == r.Service && old.origin.Version == r.Version {
			return false
		}
		old.ambiguous = true
		t.streams[r.ID] = old
		return true
	}
	t.streams[r.ID] = stream{origin: t.intern(r.Origin), sentAt: r.SentAt, attempt: r.Attempt}
	return true
}

// Find returns the record of a stream. It returns Unknown if there is none, and ambiguous if
// there are several that differ.
func (t *Table) Find(id uint64) (r Record, status Status, ambiguous bool) {
	s, ok := t.streams[id]
	if !ok || s.ambiguous {
		return Record{}, Unknown, ok
	}
	return Record{ID: id, Attempt: s.attempt, Origin: *s.origin, SentAt: s.sentAt}, Known, false
}

// Versions returns the versions of a service at which streams began within Retention.
func (t *Table) Versions(now time.Time, service string) []string {
	t.expire(now)
	var versions []string
	for v := range t.versions {
		if v.service == service {
			versions = append(versions, v.version)
		}
	}
	slices.Sort(versions)
	return versions
}

// intern returns the shared copy of an origin.
func (t *Table) intern(o Origin) *Origin {
	if shared := t.interned[o]; shared != nil {
		return shared
	}
	if len(t.interned) >= maxInterned {
		clear(t.interned)
	}
	t.interned[o] = &o
	return &o
}

// expire removes the records that are too old or too many.
func (t *Table) expire(now time.Time) {
	for t.head < len(t.queue) && (now.Sub(t.queue[t.head].recordedAt) > Retention || len(t.queue)-t.head > maxStreams) {
		delete(t.streams, t.queue[t.head].id)
		t.head++
	}
	if t.head >= compactAfter && t.head > len(t.queue)/2 {
		t.queue = append(t.queue[:0:0], t.queue[t.head:]...)
		t.head = 0
	}
	for v, at := range t.versions {
		if now.Sub(at) > Retention {
			delete(t.versions, v)
		}
	}
}
