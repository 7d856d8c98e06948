// Package contain keeps requests that crash servers from reaching more of them.
//
// A Ledger counts, by the fingerprint of a request, the servers on which a run broke
// off without an answer. A request that broke on Most servers is held back, under
// whatever id and at whatever instance it comes again. A whole answer in between clears
// a fingerprint: such a request does not crash servers. Nothing here does I/O or reads a
// clock. A Ledger is not safe for concurrent use.
package contain

import "time"

const (
	// MaxServers is the number of servers on which a request may break. The rules allow
	// three retries after the third crash.
	MaxServers = 3
	// FailureTTL is how long a break counts. A request that crashes servers comes again
	// within minutes.
	FailureTTL = 5 * time.Minute
	// largest bounds the fingerprints that are kept; the oldest go first.
	largest = 4096
)

// Fingerprint names requests that are the same but for their ids.
type Fingerprint uint64

type entry struct {
	servers map[uint32]bool
	last    time.Time
	cleared bool
}

// Tracker counts broken runs.
type Tracker struct{ entries map[Fingerprint]*entry }

// NewTracker returns an empty ledger.
func NewTracker() *Tracker { return &Tracker{entries: map[Fingerprint]*entry{}} }

// RecordFailure records that a run broke off on a server, named by a hash of its id. It
// reports whether that makes the request one that is held back.
func (l *Tracker) RecordFailure(now time.Time, f Fingerprint, server uint32) bool {
	e := l.entry(now, f)
	if e.cleared {
		return false
	}
	before := len(e.servers)
	e.servers[server] = true
	return before < MaxServers && len(e.servers) >= MaxServers
}

// RecordSuccess records a whole answer. It reports whether the request had broken before;
// others are not kept, since there are too many of them.
func (l *Tracker) RecordSuccess(f Fingerprint) bool {
	e := l.entries[f]
	if e == nil || e.cleared {
		return false
	}
	e.cleared = true
	clear(e.servers)
	return true
}

// Empty reports whether no request has broken lately.
func (l *Tracker) Empty() bool { return len(l.entries) == 0 }

// Block records that another instance holds a request back.
func (l *Tracker) Block(now time.Time, f Fingerprint) {
	e := l.entry(now, f)
	for n := range uint32(MaxServers) {
		e.servers[n] = true
	}
}

// Blocked reports whether a request is held back.
func (l *Tracker) Blocked(now time.Time, f Fingerprint) bool {
	e := l.entries[f]
	return e != nil && len(e.servers) >= MaxServers && now.Sub(e.last) < FailureTTL
}

// ListBlocked returns the requests that are held back.
func (l *Tracker) ListBlocked(now time.Time) []Fingerprint {
	var list []Fingerprint
	for f := range l.entries {
		if l.Blocked(now, f) {
			list = append(list, f)
		}
	}
	return list
}

func (l *Tracker) entry(now time.Time, f Fingerprint) *entry {
	e := l.entries[f]
	if e == nil || now.Sub(e.last) >= FailureTTL {
		l.makeRoom(now)
		e = &entry{servers: map[uint32]bool{}}
		l.entries[f] = e
	}
	e.last = now
	return e
}

// makeRoom drops what has expired, and then the oldest entry, when the ledger is full.
func (l *Tracker) makeRoom(now time.Time) {
	if len(l.entries) < largest {
		return
	}
	var oldest Fingerprint
	first := true
	for f, e := range l.entries {
		switch {
		case now.Sub(e.last) >= FailureTTL:
			delete(l.entries, f)
		case first || e.last.Before(l.entries[oldest].last):
			oldest, first = f, false
		}
	}
	if len(l.entries) >= largest {
		delete(l.entries, oldest)
	}
}
