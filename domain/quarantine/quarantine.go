package quarantine

import (
	"sort"
	"time"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// Config holds the times and bounds of a Ledger.
type Config struct {
	// ReportWindow is how long reports about one death may arrive after the first.
	ReportWindow time.Duration
	// SuspectDuration is how long an unexplained incident counts, HoldDuration how long a
	// fingerprint with two of them is not run.
	SuspectDuration time.Duration
	HoldDuration    time.Duration
	// QuarantineDuration is how long a quarantine lasts.
	QuarantineDuration time.Duration
	// MaxIncidents, MaxFingerprintsPerIncident and MaxQuarantined bound the incidents, the
	// fingerprints of one incident and the quarantined fingerprints. The oldest
	// incident and the entry that expires first make room.
	MaxIncidents, MaxFingerprintsPerIncident, MaxQuarantined int
}

// DefaultConfig returns the values used in production.
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

// ActorRanAlone is the actor of a QuarantineCleared record that reports that a
// suspect ran alone to its end.
const ActorRanAlone = "ran-alone"

// Verdict says how a request may run.
type Verdict uint8

// The verdicts, from the mildest to the strictest.
const (
	Clear Verdict = iota
	// Suspect requests run alone on a server.
	Suspect
	// Held requests are not run for now and may be sent again later.
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
	// statedMs is when the entry was last written to the stream; zero for never.
	statedMs int64
}

// Counters counts what a Ledger has met since it was made.
type Counters struct {
	Reports, Incidents, Quarantined, Explained, ClearedAlone, Released, Expired, Dropped uint64
}

// incident is one server's death.
type incident struct {
	server    string
	firstMs   int64
	inFlight  map[string]standing
	explained bool
}

// standing is what is known about a fingerprint in flight in an incident.
type standing uint8

const (
	// suspected may be the cause.
	suspected standing = iota
	// ranAlone has run to its end since, and so is not the cause.
	ranAlone
	// released is not suspected for this incident any more, but nothing shows
	// that it is not the cause.
	released
)

// Tracker is one instance's state of the control stream. It is used by one goroutine.
type Tracker struct {
	cfg       Config
	incidents []*incident
	// byFP lists the unexplained incidents of each fingerprint.
	byFP    map[string][]*incident
	entries map[string]*Entry
	// released holds when an operator released a fingerprint, so that a late
	// record cannot quarantine it again on the old evidence.
	released map[string]int64
	counters Counters
}

// New returns an empty ledger.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, byFP: map[string][]*incident{}, entries: map[string]*Entry{}, released: map[string]int64{}}
}

// SetQuarantineDuration changes how long quarantines that begin from now on last.
func (l *Tracker) SetQuarantineDuration(d time.Duration) { l.cfg.QuarantineDuration = d }

// Counters returns what the ledger has met.
func (l *Tracker) Counters() Counters { return l.counters }

// Apply takes one entry of the control stream. Other kinds are ignored.
func (l *Tracker) Apply(e *recordpb.Entry, nowMs int64) {
	switch k := e.Kind.(type) {
	case *recordpb.Entry_CrashReported:
		l.report(k.CrashReported, e.AtMs)
	case *recordpb.Entry_QuarantineSet:
		l.set(k.QuarantineSet, e.AtMs, nowMs)
	case *recordpb.Entry_QuarantineCleared:
		l.clear(k.QuarantineCleared, e.AtMs)
	}
}

func (l *Tracker) report(r *recordpb.CrashReported, atMs int64) {
	l.counters.Reports++
	in := l.find(r.Server, atMs)
	if in == nil {
		in = &incident{server: r.Server, firstMs: atMs, inFlight: map[string]standing{}}
		l.incidents = append(l.incidents, in)
		l.counters.Incidents++
		if len(l.incidents) > l.cfg.MaxIncidents {
			l.counters.Dropped++
			l.drop(l.incidents[0])
		}
	}
	in.firstMs = min(in.firstMs, atMs)
	fp := string(r.Fingerprint)
	if _, ok := in.inFlight[fp]; ok {
		return
	}
	if len(in.inFlight) >= l.cfg.MaxFingerprintsPerIncident {
		l.counters.Dropped++
		return
	}
	in.inFlight[fp] = suspected
	if !in.explained {
		l.byFP[fp] = append(l.byFP[fp], in)
	}
}

// find returns the incident that a report belongs to.
func (l *Tracker) find(server string, atMs int64) *incident {
	for i := len(l.incidents) - 1; i >= 0; i-- {
		in := l.incidents[i]
		if d := atMs - in.firstMs; in.server == server && max(d, -d) <= l.cfg.ReportWindow.Milliseconds() {
			return in
		}
	}
	return nil
}

// drop removes an incident and the suspicions that rest on it.
func (l *Tracker) drop(in *incident) {
	l.exonerate(in)
	for i, x := range l.incidents {
		if x == in {
			l.incidents = append(l.incidents[:i], l.incidents[i+1:]...)
			return
		}
	}
}

// exonerate ends the suspicions that rest on an incident.
func (l *Tracker) exonerate(in *incident) {
	for fp := range in.inFlight {
		l.unlink(fp, in)
	}
}

func (l *Tracker) unlink(fp string, in *incident) {
	list := l.byFP[fp]
	for i, x := range list {
		if x == in {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(l.byFP, fp)
		return
	}
	l.byFP[fp] = list
}

// Advance settles incidents and ends what is over. It returns the records that
// the caller appends to the control stream: every instance comes to the same
// quarantines, and a second copy of such a record changes nothing.
func (l *Tracker) Advance(nowMs int64) []*recordpb.QuarantineSet {
	for fp, e := range l.entries {
		if e.UntilMs <= nowMs {
			delete(l.entries, fp)
			l.counters.Expired++
		}
	}
	for fp, at := range l.released {
		if nowMs-at > l.cfg.SuspectDuration.Milliseconds() {
			delete(l.released, fp)
		}
	}
	for len(l.incidents) > 0 && nowMs-l.incidents[0].firstMs > l.cfg.SuspectDuration.Milliseconds() {
		l.drop(l.incidents[0])
	}
	var guilty []string
	for fp, list := range l.byFP {
		if len(list) >= 2 && l.wasAlone(list, nowMs) {
			guilty = append(guilty, fp)
		}
	}
	sort.Strings(guilty)
	var out []*recordpb.QuarantineSet
	for _, fp := range guilty {
		// The quarantine of one may have explained the incidents of the next.
		if list := l.byFP[fp]; len(list) >= 2 && l.wasAlone(list, nowMs) {
			out = append(out, l.convict(fp, list))
		}
	}
	return out
}

// wasAlone tells whether a fingerprint is the only possible cause of a settled
// incident: nothing else was in flight that has not run to its end since.
func (l *Tracker) wasAlone(list []*incident, nowMs int64) bool {
	for _, in := range list {
		if in.possibleCauses() == 1 && nowMs-in.firstMs > l.cfg.ReportWindow.Milliseconds() {
			return true
		}
	}
	return false
}

func (in *incident) possibleCauses() int {
	n := 0
	for _, s := range in.inFlight {
		if s != ranAlone {
			n++
		}
	}
	return n
}

// convict quarantines a fingerprint and explains its incidents.
func (l *Tracker) convict(fp string, list []*incident) *recordpb.QuarantineSet {
	e := &Entry{Fingerprint: []byte(fp), Reason: "servers died while they ran this request, one of them while it ran nothing else"}
	var last int64
	for _, in := range list {
		e.Servers = append(e.Servers, in.server)
		last = max(last, in.firstMs)
	}
	e.UntilMs = last + l.cfg.QuarantineDuration.Milliseconds()
	l.add(fp, e)
	l.counters.Quarantined++
	return e.record()
}

func (e *Entry) record() *recordpb.QuarantineSet {
	return &recordpb.QuarantineSet{Fingerprint: e.Fingerprint, Servers: e.Servers, Reason: e.Reason, UntilMs: e.UntilMs}
}

func (l *Tracker) add(fp string, e *Entry) {
	for _, in := range append([]*incident(nil), l.byFP[fp]...) {
		in.explained = true
		l.counters.Explained++
		l.exonerate(in)
	}
	if len(l.entries) >= l.cfg.MaxQuarantined && l.entries[fp] == nil {
		l.counters.Dropped++
		first := ""
		for k, x := range l.entries {
			if first == "" || x.UntilMs < l.entries[first].UntilMs || x.UntilMs == l.entries[first].UntilMs && k < first {
				first = k
			}
		}
		delete(l.entries, first)
	}
	l.entries[fp] = e
}

// set applies a quarantine that any instance recorded.
func (l *Tracker) set(s *recordpb.QuarantineSet, atMs, nowMs int64) {
	fp := string(s.Fingerprint)
	if s.UntilMs <= nowMs {
		return
	}
	if cur := l.entries[fp]; cur != nil {
		cur.statedMs = max(cur.statedMs, atMs)
		cur.UntilMs = max(cur.UntilMs, s.UntilMs)
		return
	}
	if _, ok := l.released[fp]; ok {
		return
	}
	l.add(fp, &Entry{Fingerprint: s.Fingerprint, Servers: s.Servers, Reason: s.Reason, UntilMs: s.UntilMs, statedMs: atMs})
}

// clear applies an operator's release or a run alone. The evidence of a release
// is void; a run alone ends the suspicion but not a quarantine.
func (l *Tracker) clear(c *recordpb.QuarantineCleared, atMs int64) {
	fp := string(c.Fingerprint)
	now := ranAlone
	if c.Actor != ActorRanAlone {
		now = released
		l.counters.Released++
		delete(l.entries, fp)
		l.released[fp] = atMs
	} else if l.entries[fp] != nil {
		return
	} else {
		l.counters.ClearedAlone++
	}
	for _, in := range append([]*incident(nil), l.byFP[fp]...) {
		in.inFlight[fp] = now
		l.unlink(fp, in)
	}
}

// Verdict says how the request with a fingerprint may run.
func (l *Tracker) Verdict(fingerprint []byte, nowMs int64) Verdict {
	if e := l.entries[string(fingerprint)]; e != nil && e.UntilMs > nowMs {
		return Quarantined
	}
	list := l.byFP[string(fingerprint)]
	count, last := 0, int64(0)
	for _, in := range list {
		if nowMs-in.firstMs <= l.cfg.SuspectDuration.Milliseconds() {
			count++
			last = max(last, in.firstMs)
		}
	}
	switch {
	case count == 0:
		return Clear
	case count >= 2 && nowMs-last <= l.cfg.HoldDuration.Milliseconds():
		return Held
	}
	return Suspect
}

// List returns the quarantined fingerprints in their order.
func (l *Tracker) List() []Entry {
	out := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		out = append(out, *e)
	}
	sort.Slice(out, func(i, j int) bool { return string(out[i].Fingerprint) < string(out[j].Fingerprint) })
	return out
}

// DueForRestatement returns the quarantines that were last written longer than half of
// the log's retention ago and have to be appended again.
func (l *Tracker) DueForRestatement(nowMs, retentionMs int64) []*recordpb.QuarantineSet {
	var out []*recordpb.QuarantineSet
	for _, e := range l.List() {
		if e.UntilMs > nowMs && nowMs-e.statedMs >= retentionMs/2 {
			out = append(out, e.record())
		}
	}
	return out
}
