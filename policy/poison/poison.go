// Package poison blocks poison requests, which crash the servers that run them (queries of
// death), before they reach more servers.
//
// A Tracker counts, by the fingerprint of a request, the servers on which the request
// failed without a complete answer. A request that failed on MaxServers servers is
// blocked, also if it is sent again with another id or to another instance. A complete
// answer shows that the request does not crash servers; its failures no longer count then.
// The package does no I/O and reads no clock. A Tracker is not safe for concurrent use.
//
// node/serve is built on this package; node/instance uses package suspect instead, which
// isolates the requests that may have caused a crash.
package poison

import "time"

const (
	// MaxServers is the number of servers on which a request may fail before it is blocked.
	// The requirements allow three retries after the third crash.
	MaxServers = 3
	// FailureTTL is how long a failure counts. Callers resend a request that crashes
	// servers within minutes.
	FailureTTL = 5 * time.Minute
	// maxRequests is the maximum number of fingerprints kept. The one updated least
	// recently is evicted first.
	maxRequests = 4096
)

// Fingerprint identifies requests that differ only in their ids.
type Fingerprint uint64

// request holds the failures of the requests with one fingerprint.
type request struct {
	failedServers map[uint32]bool
	updated       time.Time
	answered      bool
}

// Tracker counts the servers on which requests failed.
type Tracker struct{ requests map[Fingerprint]*request }

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{requests: map[Fingerprint]*request{}} }

// RecordFailure records that a request failed on a server without a complete answer. The
// server is identified by a hash of its id. RecordFailure reports whether the request is
// blocked by this failure.
func (t *Tracker) RecordFailure(now time.Time, f Fingerprint, server uint32) bool {
	r := t.getOrCreate(now, f)
	if r.answered {
		return false
	}
	before := len(r.failedServers)
	r.failedServers[server] = true
	return before < MaxServers && len(r.failedServers) >= MaxServers
}

// RecordSuccess records a complete answer, after which failures of the request do not
// count. It reports whether failures had been recorded. Requests without a failure are not
// kept, since there are too many of them.
func (t *Tracker) RecordSuccess(f Fingerprint) bool {
	r := t.requests[f]
	if r == nil || r.answered {
		return false
	}
	r.answered = true
	clear(r.failedServers)
	return true
}

// Empty reports whether the tracker holds no requests.
func (t *Tracker) Empty() bool { return len(t.requests) == 0 }

// Block records that another instance blocks a request.
func (t *Tracker) Block(now time.Time, f Fingerprint) {
	r := t.getOrCreate(now, f)
	for n := range uint32(MaxServers) {
		r.failedServers[n] = true
	}
}

// Blocked reports whether a request is blocked.
func (t *Tracker) Blocked(now time.Time, f Fingerprint) bool {
	r := t.requests[f]
	return r != nil && len(r.failedServers) >= MaxServers && now.Sub(r.updated) < FailureTTL
}

// ListBlocked returns the blocked requests.
func (t *Tracker) ListBlocked(now time.Time) []Fingerprint {
	var list []Fingerprint
	for f := range t.requests {
		if t.Blocked(now, f) {
			list = append(list, f)
		}
	}
	return list
}

// getOrCreate returns the request with the fingerprint, new if there is none or it has
// expired, and marks it as updated.
func (t *Tracker) getOrCreate(now time.Time, f Fingerprint) *request {
	r := t.requests[f]
	if r == nil || now.Sub(r.updated) >= FailureTTL {
		t.evict(now)
		r = &request{failedServers: map[uint32]bool{}}
		t.requests[f] = r
	}
	r.updated = now
	return r
}

// evict makes room when the tracker is full. It removes expired requests, or the one updated
// least recently if none has expired.
func (t *Tracker) evict(now time.Time) {
	if len(t.requests) < maxRequests {
		return
	}
	var oldest Fingerprint
	first := true
	for f, r := range t.requests {
		switch {
		case now.Sub(r.updated) >= FailureTTL:
			delete(t.requests, f)
		case first || r.updated.Before(t.requests[oldest].updated):
			oldest, first = f, false
		}
	}
	if len(t.requests) >= maxRequests {
		delete(t.requests, oldest)
	}
}
