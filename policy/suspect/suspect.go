// Package suspect identifies and isolates requests that crash servers.
//
// When a server dies, each request in flight on it may be the cause. A Tracker
// marks them as suspects. A suspect is run again without another suspect on the
// same server, so that a second death identifies one request. The Tracker returns
// a CrashReport for each death, and the fleet-wide quarantine counts the reports.
// The package does no I/O and reads no clock.
//
// node/instance is built on this package; node/serve uses package poison instead,
// which only counts the servers on which a request failed.
package suspect

import (
	"slices"
	"time"
)

// CrashReport reports the death of a server to the fleet-wide quarantine. It must
// be recorded before any of its candidates runs again, and before a failure is
// returned to a caller, who may resend the request to another instance.
type CrashReport struct {
	Server string
	At     time.Time
	// Candidates are the sorted fingerprints of the requests that may have caused
	// the death. When suspects were in flight, only they are candidates.
	Candidates []string
	// InFlight are the sorted fingerprints of all requests in flight. The
	// fleet-wide quarantine decides by all of them.
	InFlight []string
	// Bystanders is the number of requests in flight that are not candidates.
	Bystanders int
	// Withdrawn are candidates of this and earlier reports that are no longer
	// suspected, because so many servers died together that no request is the
	// cause.
	Withdrawn []string
	// Certain is set when there is a single candidate and it was already a
	// suspect. It holds only for what this instance has seen: another request in
	// flight, new to this instance, may be a copy of one that crashed a server
	// elsewhere.
	Certain bool
}

const (
	// suspectDuration is how long a request stays suspect. It covers the time in
	// which a caller resends it.
	suspectDuration = 10 * time.Minute
	// tokensToClear is the number of output tokens beyond the point of the death
	// after which a suspect is cleared. A crash depends on the prompt or on the
	// tokens so far, so a request that gets past that point was not the cause.
	tokensToClear = 16
	// When massFailureServers servers die within massFailureWindow, the cause is a
	// rack, a switch or the service and not a request: one request crashes at most
	// two servers, the second one after the first report was recorded.
	massFailureServers = 3
	massFailureWindow  = 2 * time.Second
)

// activeRequest is a request in flight.
type activeRequest struct {
	server      string
	fingerprint string
	tokens      int // output tokens so far
}

type suspicion struct {
	tokens   int // output tokens at the death
	markedAt time.Time
}

// Tracker tracks the requests in flight and the suspects of one instance.
type Tracker struct {
	active   map[uint64]*activeRequest
	suspects map[string]suspicion
	deaths   []serverDeath // within massFailureWindow
}

type serverDeath struct {
	server     string
	at         time.Time
	candidates []string
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{active: map[uint64]*activeRequest{}, suspects: map[string]suspicion{}}
}

// IsSuspect reports whether the fingerprint is currently suspect.
func (t *Tracker) IsSuspect(now time.Time, fingerprint string) bool {
	s, ok := t.suspects[fingerprint]
	if ok && now.Sub(s.markedAt) > suspectDuration {
		delete(t.suspects, fingerprint)
		return false
	}
	return ok
}

// CanRun reports whether the request may start on the server. A suspect may not
// run beside another suspect, nor on two servers at the same time.
func (t *Tracker) CanRun(now time.Time, server, fingerprint string) bool {
	if !t.IsSuspect(now, fingerprint) {
		return true
	}
	for _, a := range t.active {
		if a.fingerprint == fingerprint {
			return false
		}
		if a.server == server && t.IsSuspect(now, a.fingerprint) {
			return false
		}
	}
	return true
}

// RunsSuspect reports whether a suspect runs on the server.
func (t *Tracker) RunsSuspect(now time.Time, server string) bool {
	for _, a := range t.active {
		if a.server == server && t.IsSuspect(now, a.fingerprint) {
			return true
		}
	}
	return false
}

// Started records a dispatch.
func (t *Tracker) Started(id uint64, server, fingerprint string, tokens int) {
	t.active[id] = &activeRequest{server, fingerprint, tokens}
}

// Progress records the number of output tokens so far. It returns true when this
// clears the request of suspicion: other suspects may then use the server, and the
// quarantine must be told that the earlier report does not count for the request.
func (t *Tracker) Progress(now time.Time, id uint64, tokens int) (cleared bool) {
	a := t.active[id]
	if a == nil {
		return false
	}
	a.tokens = tokens
	s, ok := t.suspects[a.fingerprint]
	if !ok || !t.IsSuspect(now, a.fingerprint) || tokens < s.tokens+tokensToClear {
		return false
	}
	delete(t.suspects, a.fingerprint)
	return true
}

// Finished records the end of a request. It returns true when this clears the
// request of suspicion, as a complete answer does.
func (t *Tracker) Finished(id uint64, complete bool) (cleared bool) {
	a := t.active[id]
	if a == nil {
		return false
	}
	delete(t.active, id)
	if _, ok := t.suspects[a.fingerprint]; ok && complete {
		delete(t.suspects, a.fingerprint)
		return true
	}
	return false
}

// ServerDied records the death of a server. It ends the requests in flight on the
// server, marks the candidates as suspects and returns the report, or false when
// there is nothing to report.
func (t *Tracker) ServerDied(now time.Time, server string) (CrashReport, bool) {
	r := CrashReport{Server: server, At: now}
	var suspects, inFlight []string
	tokens := map[string]int{}
	for id, a := range t.active {
		if a.server != server {
			continue
		}
		delete(t.active, id)
		inFlight = append(inFlight, a.fingerprint)
		tokens[a.fingerprint] = max(tokens[a.fingerprint], a.tokens)
		if t.IsSuspect(now, a.fingerprint) {
			suspects = append(suspects, a.fingerprint)
		}
	}
	slices.Sort(inFlight)
	inFlight = slices.Compact(inFlight)
	r.InFlight, r.Candidates = inFlight, slices.Clone(inFlight)
	if len(suspects) > 0 {
		r.Candidates = suspects
	}
	slices.Sort(r.Candidates)
	r.Candidates = slices.Compact(r.Candidates)
	t.deaths = slices.DeleteFunc(t.deaths, func(d serverDeath) bool { return d.server == server || now.Sub(d.at) > massFailureWindow })
	t.deaths = append(t.deaths, serverDeath{server, now, r.Candidates})
	if len(t.deaths) >= massFailureServers {
		return t.withdrawSuspicions(r, len(inFlight))
	}
	if len(inFlight) == 0 {
		return r, false
	}
	r.Bystanders = len(inFlight) - len(r.Candidates)
	r.Certain = len(suspects) > 0 && len(r.Candidates) == 1
	for _, f := range r.Candidates {
		t.suspects[f] = suspicion{tokens: tokens[f], markedAt: now}
	}
	return r, true
}

// withdrawSuspicions clears the candidates of a mass failure, except those of more
// than one of its deaths.
func (t *Tracker) withdrawSuspicions(r CrashReport, inFlight int) (CrashReport, bool) {
	deathCount := map[string]int{}
	for _, d := range t.deaths {
		for _, f := range d.candidates {
			deathCount[f]++
		}
	}
	keep := r.Candidates[:0]
	for _, f := range r.Candidates {
		if deathCount[f] > 1 {
			keep = append(keep, f)
		}
	}
	for f, n := range deathCount {
		if n == 1 {
			delete(t.suspects, f)
			r.Withdrawn = append(r.Withdrawn, f)
		}
	}
	slices.Sort(r.Withdrawn)
	r.Candidates, r.Bystanders = keep, inFlight-len(keep)
	return r, len(r.Candidates)+len(r.Withdrawn) > 0
}

// MarkSuspect marks a fingerprint that another instance has reported as suspect.
func (t *Tracker) MarkSuspect(now time.Time, fingerprint string) {
	if !t.IsSuspect(now, fingerprint) {
		t.suspects[fingerprint] = suspicion{markedAt: now}
	}
}

// Clear clears a fingerprint that another instance has cleared, or that is
// quarantined and does not run again.
func (t *Tracker) Clear(fingerprint string) { delete(t.suspects, fingerprint) }
