package quarantine

import (
	"sort"
	"time"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// Config holds the durations and limits of a Tracker.
type Config struct {
	// ReportWindow is the largest time between the first report about a server's
	// death and the other reports about it.
	ReportWindow time.Duration
	// SuspectDuration is how long an unexplained incident makes its fingerprints
	// suspects. HoldDuration is how long a fingerprint is not run after the latest of
	// two or more unexplained incidents.
	SuspectDuration time.Duration
	HoldDuration    time.Duration
	// QuarantineDuration is how long a quarantine lasts after the latest incident.
	QuarantineDuration time.Duration
	// MaxIncidents limits the incidents, MaxFingerprintsPerIncident the fingerprints
	// of one incident, and MaxQuarantined the quarantined fingerprints. Beyond the
	// limits the oldest incident and the entry that expires first are evicted, and
	// further fingerprints of an incident are ignored.
	MaxIncidents, MaxFingerprintsPerIncident, MaxQuarantined int
}

// DefaultConfig returns the production values.
func DefaultConfig() Config {
	return Config{
		ReportWindow:               3 * time.Second,
		SuspectDuration:            time.Hour,
		HoldDuration:               10 * time.Minute,
		QuarantineDuration:         24 * time.Hour,
		MaxIncidents:               1024,
		MaxFingerprintsPerIncident: 1024,
		MaxQuarantined:             4096,
	}
}

// ActorRanAlone is the actor of a QuarantineCleared record that states that a
// suspect ran alone on a server to completion.
const ActorRanAlone = "ran-alone"

// Verdict is the restriction under which a request may run.
type Verdict uint8

// The verdicts in order of increasing restriction.
const (
	// Clear requests run without restriction.
	Clear Verdict = iota
	// Suspect requests run alone on a server.
	Suspect
	// Held requests are not run now but may be retried later.
	Held
	// Quarantined requests are refused.
	Quarantined
)

func (v Verdict) String() string {
	return [...]string{"clear", "suspect", "held", "quarantined"}[v]
}

// Entry is one quarantined fingerprint.
type Entry struct {
	Fingerprint []byte
	Servers     []string
	Reason      string
	// UntilMs is when the quarantine ends, in milliseconds since the Unix epoch.
	UntilMs int64
	// writtenMs is when the entry was last written to the stream, in milliseconds
	// since the Unix epoch; zero if it has not been read from the stream.
	writtenMs int64
}

// Counters counts the events that a Tracker has processed since it was created. Dropped
// counts the incidents, fingerprints and quarantines that were evicted or ignored because
// of a limit in Config.
type Counters struct {
	Reports, Incidents, Quarantined, Explained, ClearedAlone, Released, Expired, Dropped uint64
}

// incident is the death of a server.
type incident struct {
	server    string
	firstMs   int64
	inFlight  map[string]inFlightStatus
	explained bool
}

// inFlightStatus tells whether a fingerprint that was in flight in an incident may
// have caused it.
type inFlightStatus uint8

const (
	// suspected fingerprints may be the cause.
	suspected inFlightStatus = iota
	// completedAlone fingerprints have run alone to completion since and are not the
	// cause.
	completedAlone
	// released fingerprints are no longer suspects because of the incident, but still
	// count as a possible cause of it, since an operator's release proves nothing.
	released
)

// Tracker derives the incidents and quarantines from the records of the control
// stream. It is not safe for concurrent use.
type Tracker struct {
	cfg       Config
	incidents []*incident
	// unexplained maps a fingerprint to the unexplained incidents that make it a
	// suspect.
	unexplained map[string][]*incident
	entries     map[string]*Entry
	// released maps a fingerprint to the time of its release by an operator in
	// milliseconds since the Unix epoch. It prevents a delayed QuarantineSet record
	// from quarantining the fingerprint again because of incidents before the release.
	released map[string]int64
	counters Counters
}

// New returns a Tracker without incidents and quarantines.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, unexplained: map[string][]*incident{}, entries: map[string]*Entry{}, released: map[string]int64{}}
}

// SetQuarantineDuration sets the duration of quarantines that begin after the call.
func (t *Tracker) SetQuarantineDuration(d time.Duration) { t.cfg.QuarantineDuration = d }

// Counters returns a copy of the counters.
func (t *Tracker) Counters() Counters { return t.counters }

// Apply applies an entry of the control stream. Entries of kinds that do not concern
// quarantines are ignored.
func (t *Tracker) Apply(e *recordpb.Entry, nowMs int64) {
	switch k := e.Kind.(type) {
	case *recordpb.Entry_CrashReported:
		t.applyCrashReport(k.CrashReported, e.AtMs)
	case *recordpb.Entry_QuarantineSet:
		t.applyQuarantineSet(k.QuarantineSet, e.AtMs, nowMs)
	case *recordpb.Entry_QuarantineCleared:
		t.applyQuarantineCleared(k.QuarantineCleared, e.AtMs)
	}
}

func (t *Tracker) applyCrashReport(r *recordpb.CrashReported, atMs int64) {
	t.counters.Reports++
	in := t.findIncident(r.Server, atMs)
	if in == nil {
		in = &incident{server: r.Server, firstMs: atMs, inFlight: map[string]inFlightStatus{}}
		t.incidents = append(t.incidents, in)
		t.counters.Incidents++
		if len(t.incidents) > t.cfg.MaxIncidents {
			t.counters.Dropped++
			t.dropIncident(t.incidents[0])
		}
	}
	in.firstMs = min(in.firstMs, atMs)
	fp := string(r.Fingerprint)
	if _, ok := in.inFlight[fp]; ok {
		return
	}
	if len(in.inFlight) >= t.cfg.MaxFingerprintsPerIncident {
		t.counters.Dropped++
		return
	}
	in.inFlight[fp] = suspected
	if !in.explained {
		t.unexplained[fp] = append(t.unexplained[fp], in)
	}
}

// findIncident returns the incident that a report belongs to, or nil.
func (t *Tracker) findIncident(server string, atMs int64) *incident {
	for i := len(t.incidents) - 1; i >= 0; i-- {
		in := t.incidents[i]
		if d := atMs - in.firstMs; in.server == server && max(d, -d) <= t.cfg.ReportWindow.Milliseconds() {
			return in
		}
	}
	return nil
}

// dropIncident removes an incident and ends the suspicions that it caused.
func (t *Tracker) dropIncident(in *incident) {
	t.endSuspicions(in)
	for i, x := range t.incidents {
		if x == in {
			t.incidents = append(t.incidents[:i], t.incidents[i+1:]...)
			return
		}
	}
}

// endSuspicions removes the incident from the unexplained incidents of every
// fingerprint in it.
func (t *Tracker) endSuspicions(in *incident) {
	for fp := range in.inFlight {
		t.endSuspicion(fp, in)
	}
}

func (t *Tracker) endSuspicion(fp string, in *incident) {
	list := t.unexplained[fp]
	for i, x := range list {
		if x == in {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(t.unexplained, fp)
		return
	}
	t.unexplained[fp] = list
}

// Advance removes expired quarantines, releases and incidents, and quarantines the
// fingerprints that are the only possible cause of a settled incident. It returns the
// records of these quarantines for the caller to append to the control stream. Every
// instance derives the same quarantines; duplicates of a record have no effect.
func (t *Tracker) Advance(nowMs int64) []*recordpb.QuarantineSet {
	for fp, e := range t.entries {
		if e.UntilMs <= nowMs {
			delete(t.entries, fp)
			t.counters.Expired++
		}
	}
	for fp, at := range t.released {
		if nowMs-at > t.cfg.SuspectDuration.Milliseconds() {
			delete(t.released, fp)
		}
	}
	for len(t.incidents) > 0 && nowMs-t.incidents[0].firstMs > t.cfg.SuspectDuration.Milliseconds() {
		t.dropIncident(t.incidents[0])
	}
	var candidates []string
	for fp, list := range t.unexplained {
		if len(list) >= 2 && t.isOnlyPossibleCause(list, nowMs) {
			candidates = append(candidates, fp)
		}
	}
	sort.Strings(candidates)
	var out []*recordpb.QuarantineSet
	for _, fp := range candidates {
		// An earlier quarantine in this loop may have explained these incidents.
		if list := t.unexplained[fp]; len(list) >= 2 && t.isOnlyPossibleCause(list, nowMs) {
			out = append(out, t.quarantine(fp, list))
		}
	}
	return out
}

// isOnlyPossibleCause reports whether a fingerprint, in flight in the given incidents, is
// the only possible cause of a settled one: everything else that was in flight in it has
// run to completion since.
func (t *Tracker) isOnlyPossibleCause(list []*incident, nowMs int64) bool {
	for _, in := range list {
		if in.possibleCauses() == 1 && nowMs-in.firstMs > t.cfg.ReportWindow.Milliseconds() {
			return true
		}
	}
	return false
}

func (in *incident) possibleCauses() int {
	n := 0
	for _, s := range in.inFlight {
		if s != completedAlone {
			n++
		}
	}
	return n
}

// quarantine quarantines a fingerprint because of the given incidents and returns the
// record to append.
func (t *Tracker) quarantine(fp string, list []*incident) *recordpb.QuarantineSet {
	e := &Entry{Fingerprint: []byte(fp), Reason: "servers died while they ran this request, one of them while it ran nothing else"}
	var last int64
	for _, in := range list {
		e.Servers = append(e.Servers, in.server)
		last = max(last, in.firstMs)
	}
	e.UntilMs = last + t.cfg.QuarantineDuration.Milliseconds()
	t.addEntry(fp, e)
	t.counters.Quarantined++
	return e.toRecord()
}

func (e *Entry) toRecord() *recordpb.QuarantineSet {
	return &recordpb.QuarantineSet{Fingerprint: e.Fingerprint, Servers: e.Servers, Reason: e.Reason, UntilMs: e.UntilMs}
}

// addEntry adds a quarantine and marks the unexplained incidents of its fingerprint as
// explained. Above MaxQuarantined it evicts the entry that expires first.
func (t *Tracker) addEntry(fp string, e *Entry) {
	for _, in := range append([]*incident(nil), t.unexplained[fp]...) {
		in.explained = true
		t.counters.Explained++
		t.endSuspicions(in)
	}
	if len(t.entries) >= t.cfg.MaxQuarantined && t.entries[fp] == nil {
		t.counters.Dropped++
		first := ""
		for k, x := range t.entries {
			if first == "" || x.UntilMs < t.entries[first].UntilMs || x.UntilMs == t.entries[first].UntilMs && k < first {
				first = k
			}
		}
		delete(t.entries, first)
	}
	t.entries[fp] = e
}

// applyQuarantineSet applies a quarantine that an instance has recorded, this one or
// another.
func (t *Tracker) applyQuarantineSet(s *recordpb.QuarantineSet, atMs, nowMs int64) {
	fp := string(s.Fingerprint)
	if s.UntilMs <= nowMs {
		return
	}
	if cur := t.entries[fp]; cur != nil {
		cur.writtenMs = max(cur.writtenMs, atMs)
		cur.UntilMs = max(cur.UntilMs, s.UntilMs)
		return
	}
	if _, ok := t.released[fp]; ok {
		return
	}
	t.addEntry(fp, &Entry{Fingerprint: s.Fingerprint, Servers: s.Servers, Reason: s.Reason, UntilMs: s.UntilMs, writtenMs: atMs})
}

// applyQuarantineCleared applies a release by an operator or a completed run alone. A
// release ends the quarantine and all suspicions of the fingerprint. A run alone ends the
// suspicions only, and has no effect on a quarantined fingerprint.
func (t *Tracker) applyQuarantineCleared(c *recordpb.QuarantineCleared, atMs int64) {
	fp := string(c.Fingerprint)
	status := completedAlone
	if c.Actor != ActorRanAlone {
		status = released
		t.counters.Released++
		delete(t.entries, fp)
		t.released[fp] = atMs
	} else if t.entries[fp] != nil {
		return
	} else {
		t.counters.ClearedAlone++
	}
	for _, in := range append([]*incident(nil), t.unexplained[fp]...) {
		in.inFlight[fp] = status
		t.endSuspicion(fp, in)
	}
}

// Verdict returns the verdict on the request with the given fingerprint.
func (t *Tracker) Verdict(fingerprint []byte, nowMs int64) Verdict {
	if e := t.entries[string(fingerprint)]; e != nil && e.UntilMs > nowMs {
		return Quarantined
	}
	list := t.unexplained[string(fingerprint)]
	count, last := 0, int64(0)
	for _, in := range list {
		if nowMs-in.firstMs <= t.cfg.SuspectDuration.Milliseconds() {
			count++
			last = max(last, in.firstMs)
		}
	}
	switch {
	case count == 0:
		return Clear
	case count >= 2 && nowMs-last <= t.cfg.HoldDuration.Milliseconds():
		return Held
	}
	return Suspect
}

// List returns the quarantined fingerprints, sorted by fingerprint.
func (t *Tracker) List() []Entry {
	out := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, *e)
	}
	sort.Slice(out, func(i, j int) bool { return string(out[i].Fingerprint) < string(out[j].Fingerprint) })
	return out
}

// DueForRestatement returns the records of the quarantines that were last written at
// least half of the log's retention ago. The caller appends them again, because the log
// drops records after the retention.
func (t *Tracker) DueForRestatement(nowMs, retentionMs int64) []*recordpb.QuarantineSet {
	var out []*recordpb.QuarantineSet
	for _, e := range t.List() {
		if e.UntilMs > nowMs && nowMs-e.writtenMs >= retentionMs/2 {
			out = append(out, e.toRecord())
		}
	}
	return out
}
