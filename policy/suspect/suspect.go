// Package suspect contains requests that crash servers.
//
// When a server dies, each request in flight on it may be the cause. A Tracker
// makes them suspects: each runs again without another suspect beside it, so
// that a second death names one request. The report of a death is an action;
// the fleet-wide quarantine counts the reports. Nothing here does I/O or reads
// a clock.
package suspect

import (
	"slices"
	"time"
)

// CrashReport is a crash report for the fleet-wide quarantine. It has to be recorded
// before any of its candidates runs again, and before a failure is passed on to
// a caller, who may resend the request to another instance.
type CrashReport struct {
	Server string
	At     time.Time
	// Candidates are the fingerprints that may have caused the death, sorted.
	// When a suspect was in flight, it is the only candidate.
	Candidates []string
	// InFlight are all fingerprints in flight, sorted. The fleet-wide quarantine
	// judges by all of them.
	InFlight []string
	// Bystanders is the number of requests in flight that are not candidates.
	Bystanders int
	// Withdrawn are the candidates of earlier reports that no longer count,
	// because so many servers died together that no request is the cause.
	Withdrawn []string
	// Certain is set when there is a single candidate and it was a suspect
	// before. It holds for what this instance sees: a request that is new here
	// may be a copy of one that crashed a server elsewhere.
	Certain bool
}

const (
	// suspectTime is how long a request stays suspect. It covers the time in
	// which a caller resends it.
	suspectTime = 10 * time.Minute
	// clearTokens is the progress beyond the point of the death after which a
	// suspect is cleared. A crash depends on the prompt or on the tokens so
	// far, so a request that gets past that point was not the cause.
	clearTokens = 16
	// When massDeaths servers die within massTime, the cause is a rack, a
	// switch or the service, and not a request. One crashing request takes down
	// at most two servers, the second one after its report was recorded.
	massDeaths = 3
	massTime   = 2 * time.Second
)

type flight struct {
	server      string
	fingerprint string
	tokens      int
}

type mark struct {
	tokens int // progress at the death
	since  time.Time
}

// Tracker knows the requests of one instance in flight and its suspects.
type Tracker struct {
	flights  map[uint64]*flight
	suspects map[string]mark
	deaths   []death // of the last massTime
}

type death struct {
	server     string
	at         time.Time
	candidates []string
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{flights: map[uint64]*flight{}, suspects: map[string]mark{}}
}

// IsSuspect reports whether the fingerprint is suspect now.
func (t *Tracker) IsSuspect(now time.Time, fingerprint string) bool {
	m, ok := t.suspects[fingerprint]
	if ok && now.Sub(m.since) > suspectTime {
		delete(t.suspects, fingerprint)
		return false
	}
	return ok
}

// CanRun reports whether the request may start on the server: a suspect only
// when no other suspect runs there, and nowhere else at the same time.
func (t *Tracker) CanRun(now time.Time, server, fingerprint string) bool {
	if !t.IsSuspect(now, fingerprint) {
		return true
	}
	for _, f := range t.flights {
		if f.fingerprint == fingerprint {
			return false
		}
		if f.server == server && t.IsSuspect(now, f.fingerprint) {
			return false
		}
	}
	return true
}

// RunsSuspect reports whether a suspect runs on the server.
func (t *Tracker) RunsSuspect(now time.Time, server string) bool {
	for _, f := range t.flights {
		if f.server == server && t.IsSuspect(now, f.fingerprint) {
			return true
		}
	}
	return false
}

// Started records a dispatch.
func (t *Tracker) Started(id uint64, server, fingerprint string, tokens int) {
	t.flights[id] = &flight{server, fingerprint, tokens}
}

// Progress records the output tokens so far. It returns true when this clears
// the request of suspicion, so that other suspects may use the server; the
// quarantine is then told that the earlier report does not count for it.
func (t *Tracker) Progress(now time.Time, id uint64, tokens int) (cleared bool) {
	f := t.flights[id]
	if f == nil {
		return false
	}
	f.tokens = tokens
	m, ok := t.suspects[f.fingerprint]
	if !ok || !t.IsSuspect(now, f.fingerprint) || tokens < m.tokens+clearTokens {
		return false
	}
	delete(t.suspects, f.fingerprint)
	return true
}

// Finished records the end of a request. A suspect whose answer is complete is
// cleared.
func (t *Tracker) Finished(id uint64, complete bool) (cleared bool) {
	f := t.flights[id]
	if f == nil {
		return false
	}
	delete(t.flights, id)
	if _, ok := t.suspects[f.fingerprint]; ok && complete {
		delete(t.suspects, f.fingerprint)
		return true
	}
	return false
}

// ServerDied makes suspects of the requests in flight on the server, ends their
// flights and returns the report; false when there is nothing to report.
func (t *Tracker) ServerDied(now time.Time, server string) (CrashReport, bool) {
	r := CrashReport{Server: server, At: now}
	var old, all []string
	tokens := map[string]int{}
	for id, f := range t.flights {
		if f.server != server {
			continue
		}
		delete(t.flights, id)
		all = append(all, f.fingerprint)
		tokens[f.fingerprint] = max(tokens[f.fingerprint], f.tokens)
		if t.IsSuspect(now, f.fingerprint) {
			old = append(old, f.fingerprint)
		}
	}
	slices.Sort(all)
	all = slices.Compact(all)
	r.InFlight, r.Candidates = all, slices.Clone(all)
	if len(old) > 0 {
		r.Candidates = old
	}
	slices.Sort(r.Candidates)
	r.Candidates = slices.Compact(r.Candidates)
	t.deaths = slices.DeleteFunc(t.deaths, func(d death) bool { return d.server == server || now.Sub(d.at) > massTime })
	t.deaths = append(t.deaths, death{server, now, r.Candidates})
	if len(t.deaths) >= massDeaths {
		return t.massDeath(r, len(all))
	}
	if len(all) == 0 {
		return r, false
	}
	r.Bystanders = len(all) - len(r.Candidates)
	r.Certain = len(old) > 0 && len(r.Candidates) == 1
	for _, f := range r.Candidates {
		t.suspects[f] = mark{tokens: tokens[f], since: now}
	}
	return r, true
}

// massDeath withdraws the suspicions of the deaths that came together, except
// for fingerprints that were candidates of more than one of them.
func (t *Tracker) massDeath(r CrashReport, all int) (CrashReport, bool) {
	seen := map[string]int{}
	for _, d := range t.deaths {
		for _, f := range d.candidates {
			seen[f]++
		}
	}
	keep := r.Candidates[:0]
	for _, f := range r.Candidates {
		if seen[f] > 1 {
			keep = append(keep, f)
		}
	}
	for f, n := range seen {
		if n == 1 {
			delete(t.suspects, f)
			r.Withdrawn = append(r.Withdrawn, f)
		}
	}
	slices.Sort(r.Withdrawn)
	r.Candidates, r.Bystanders = keep, all-len(keep)
	return r, len(r.Candidates)+len(r.Withdrawn) > 0
}

// MarkSuspect marks a fingerprint that another instance has reported.
func (t *Tracker) MarkSuspect(now time.Time, fingerprint string) {
	if !t.IsSuspect(now, fingerprint) {
		t.suspects[fingerprint] = mark{since: now}
	}
}

// Clear removes a fingerprint that another instance has cleared, or that is
// quarantined and will not run again.
func (t *Tracker) Clear(fingerprint string) { delete(t.suspects, fingerprint) }
