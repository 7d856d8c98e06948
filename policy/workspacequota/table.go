package workspacequota

import (
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/workspace"
)

const (
	// freeLostShare is the share of the instances that a hub may have lost and still grants the
	// whole quota: those that are cut off send too little to matter.
	freeLostShare = 0.04
	// standbyShare is the share of the quota that the standby grants while it takes the first
	// hub for live.
	standbyShare = 0.85
	// raiseDelay is the time for which more instances have to be heard.
	raiseDelay = 400 * time.Millisecond
	// freeFreshShare is the share of the instances that may have started within a Window and
	// still all requests of the Window count as known.
	freeFreshShare = 0.1
	// Instances without a hub's reply send ownShare of the quota together, in proportion to
	// what they sent before, and baseShare of what a window allows and baseRequests beside it,
	// in equal parts; after a start coldBaseShare and coldBaseRequests.
	ownShare         = 0.85
	baseShare        = 0.12
	baseRequests     = 6
	coldBaseShare    = 0.9
	coldBaseRequests = 12
	// aloneShare and aloneRequests limit what one instance sends in a window once no hub has
	// replied to it for contactGrace: the others may have a hub that grants the whole quota.
	aloneShare    = 0.025
	aloneRequests = 5
	contactGrace  = 2500 * time.Millisecond
	// minInstances is the least number of instances that is assumed.
	minInstances = 8
	// forgetAfter is the time after which an instance that does not report is forgotten.
	forgetAfter = 2 * time.Minute
	// ownStart is the time of an instance's start in its table, so that there is room for what
	// others sent before.
	ownStart = 2 * Window
	// reportTTL is the time after which an instance that has not reported counts as one that does
	// not: some intervals of reports.
	reportTTL = 2500 * time.Millisecond
	// firstReportTime is the time from the first quota by which all instances report.
	firstReportTime = time.Second
	// heardTime is the time in which a hub hears all other instances.
	heardTime = 500 * time.Millisecond
	// refreshInterval is the interval at which the ages of the instances are looked at.
	refreshInterval = 100 * time.Millisecond
)

// Count is what an instance reports of the requests of one workspace.
type Count struct {
	// Workspace is the hash of its name.
	Workspace uint32
	// Total counts the requests since the instance started.
	Total int64
	// Recent counts those of the last Window in bins of half a second, the newest first. Only
	// full reports have it.
	Recent []uint32
}

// Report is an instance's report on what it has sent.
type Report struct {
	Instance    string
	Incarnation uint32
	// IncludedGrants is the sequence number up to which the totals include what the hub
	// granted.
	IncludedGrants uint64
	Uptime         time.Duration
	// Full is set if Counts holds all workspaces of the last Window, otherwise those that
	// changed lately.
	Full   bool
	Counts []Count
}

// Verdict is the decision on a request.
type Verdict struct {
	Allowed bool
	// RetryAfter is the time after which a rejected request is likely to be allowed.
	RetryAfter time.Duration
	// Recent is the number of requests of the workspace in the last Window, over all instances,
	// this one included; zero if the hub does not know all of them.
	Recent int
}

// Table is what one instance knows of the requests of all workspaces. A Table serves both as the
// instance's own count and, on a hub, as that of all instances.
type Table struct {
	// start is the zero of all durations, ownStart before the start of the instance.
	start time.Time
	// seed makes the base shares of instances differ.
	seed      uint64
	spaces    map[uint32]*space
	own       map[uint32]*usage
	instances map[string]*instance
	// scale is the share of the quota that this instance grants as a hub, and scaleAt the last
	// time at which it heard no more than that share.
	scale   float64
	scaleAt time.Duration
	// heard is the number of instances that this one hears, itself included, and coverage the share
	// of them that report to it, as of refreshedAt.
	heard    int
	coverage float64
	// countingSince is the time of the first quota: before it no instance reports.
	countingSince time.Duration
	// contactAt is the time of the last reply of a hub; hadContact is set if there was one.
	contactAt  time.Duration
	hadContact bool
	// freshSince is the time since which the requests of the instances are known, as of
	// refreshedAt.
	freshSince, refreshedAt time.Duration
}

// usage is what this instance has sent for one workspace.
type usage struct {
	total     int64
	history   history
	changedAt time.Duration
	// share is this instance's share of the requests of all instances, as of sharedAt.
	share    float64
	sharedAt time.Duration
}

// instance is what a hub knows of another instance.
type instance struct {
	incarnation uint32
	// startedAt may be negative: before the start of the table.
	startedAt, reportedAt time.Duration
	// firstReportAt is the time of the first report.
	firstReportAt time.Duration
	// hasFull is set once a full report has been applied.
	hasFull bool
	totals  map[uint32]int64
	// grants are those that no report includes yet, in the order of their sequence numbers.
	grants []grant
}

type grant struct {
	sequence  uint64
	workspace uint32
	at        time.Duration
}

// NewTable returns the table of an instance that starts now. seed differs between instances.
func NewTable(now time.Time, seed uint64) *Table {
	return &Table{
		start: now.Add(-ownStart), seed: seed, scale: 1, coverage: 1, spaces: map[uint32]*space{}, own: map[uint32]*usage{}, instances: map[string]*instance{},
	}
}

// since returns a time as a duration since t.start.
func (t *Table) since(now time.Time) time.Duration { return max(0, now.Sub(t.start)) }

func (t *Table) space(w uint32) *space {
	s := t.spaces[w]
	if s == nil {
		s = &space{}
		t.spaces[w] = s
	}
	return s
}

func (t *Table) usage(w uint32) *usage {
	u := t.own[w]
	if u == nil {
		u = &usage{}
		t.own[w] = u
	}
	return u
}

func (t *Table) instance(name string) *instance {
	i := t.instances[name]
	if i == nil {
		i = &instance{totals: map[uint32]int64{}}
		t.instances[name] = i
	}
	return i
}

// SetReach records how many instances this one hears, itself included, and how many it has lost
// that may be cut off. Its share of the quotas rises only once it had the time to learn what
// instances that it hears again have sent.
func (t *Table) SetReach(now time.Time, heard, lost int) {
	at, scale := t.since(now), 1.0
	t.heard = heard
	if all := float64(heard + lost); float64(lost) > freeLostShare*all {
		scale = float64(heard) / all
	}
	if scale <= t.scale {
		t.scale, t.scaleAt = scale, at
	} else if at-t.scaleAt >= raiseDelay {
		t.scale = scale
	}
}

// Scale returns the share of the quotas that this instance grants as a hub.
func (t *Table) Scale() float64 { return t.scale }

// Role is the state of the hub that decides.
type Role struct {
	// HeardSince is the time since which it has heard the other instances, if it has not yet had
	// the time to learn of all of them, and otherwise zero.
	HeardSince time.Time
	// Standby is set while it takes the first hub for live, which may be granting too.
	Standby bool
}

// Decide decides as a hub on a request. The request is not counted: see RecordGrant and
// RecordSent.
func (t *Table) Decide(now time.Time, w uint32, q workspace.Quota, role Role) Verdict {
	at := t.since(now)
	s := t.space(w)
	s.setQuota(at, q)
	t.refresh(at)
	b := basis{scale: t.scale, knownSince: t.freshSince}
	isCovered := t.coverage >= 1-freeLostShare
	if !isCovered {
		b.scale *= t.coverage
	}
	if role.Standby {
		b.scale *= standbyShare
	}
	if !role.HeardSince.IsZero() {
		if role.Standby {
			// The first hub, which knows more, may be granting the whole quota.
			return Verdict{RetryAfter: max(binLength, heardTime-now.Sub(role.HeardSince))}
		}
		b.knownSince = max(b.knownSince, t.since(role.HeardSince))
	}
	if wait := s.wait(at, b); wait > 0 {
		return Verdict{RetryAfter: s.retryAfter(at, wait)}
	}
	verdict := Verdict{Allowed: true}
	if isCovered && at-b.knownSince >= Window {
		verdict.Recent = int(s.history.total(at)) + 1
	}
	return verdict
}

// SetQuota records the quota in force, in case that this instance becomes a hub.
func (t *Table) SetQuota(now time.Time, w uint32, q workspace.Quota) {
	if t.countingSince == 0 {
		t.countingSince = t.since(now)
	}
	t.space(w).setQuota(t.since(now), q)
}

// refresh updates coverage and freshSince: the start of the oldest of the instances that started
// within a Window, if they are many. Instances may be heard that report to other hubs.
func (t *Table) refresh(at time.Duration) {
	if at-t.refreshedAt < refreshInterval && t.refreshedAt > 0 {
		return
	}
	t.refreshedAt = at
	all, fresh, reporting, oldest := 1, 0, 1, at
	count := func(startedAt time.Duration) {
		if at-startedAt < Window {
			fresh++
			oldest = min(oldest, startedAt)
		}
	}
	count(ownStart)
	for name, i := range t.instances {
		if at-i.reportedAt > forgetAfter {
			delete(t.instances, name)
			continue
		}
		if at-i.reportedAt < reportTTL && i.firstReportAt > 0 && (i.hasFull || at-i.firstReportAt >= Window) {
			reporting++
		}
		if at-i.reportedAt < Window && i.reportedAt > 0 {
			all++
			count(i.startedAt)
		}
	}
	t.coverage = 1
	if at-t.countingSince >= firstReportTime {
		t.coverage = min(1, float64(reporting)/float64(max(1, t.heard)))
	}
	t.freshSince = -Window
	if float64(fresh) > freeFreshShare*float64(all) {
		t.freshSince = oldest
	}
}

// RecordGrant counts a request of another instance that this hub has granted, until a report of
// the instance includes it.
func (t *Table) RecordGrant(now time.Time, name string, sequence uint64, w uint32) {
	at := t.since(now)
	i := t.instance(name)
	if i.reportedAt == 0 {
		i.reportedAt = at
	}
	i.grants = append(i.grants, grant{sequence, w, at})
	t.space(w).history.add(at, 0, 1)
}

// DropGrant takes a grant of this hub back, because there is no server for the request.
func (t *Table) DropGrant(now time.Time, name string, sequence uint64) {
	i := t.instance(name)
	for n := len(i.grants) - 1; n >= 0; n-- {
		if i.grants[n].sequence == sequence {
			t.space(i.grants[n].workspace).history.add(t.since(now), 0, -1)
			i.grants = slices.Delete(i.grants, n, n+1)
			return
		}
	}
}

// Apply applies the report of another instance.
func (t *Table) Apply(now time.Time, r *Report) {
	at := t.since(now)
	i := t.instance(r.Instance)
	if i.incarnation != r.Incarnation {
		earlier := func(g grant) bool { return g.at < at-r.Uptime }
		*i = instance{incarnation: r.Incarnation, totals: map[uint32]int64{}, grants: slices.DeleteFunc(i.grants, earlier)}
	}
	i.reportedAt = max(1, at)
	if i.firstReportAt == 0 {
		i.firstReportAt = i.reportedAt
	}
	i.startedAt = at - max(0, r.Uptime)
	var included []uint32
	kept := i.grants[:0]
	for _, g := range i.grants {
		if g.sequence > r.IncludedGrants {
			kept = append(kept, g)
		} else {
			included = append(included, g.workspace)
		}
	}
	i.grants = kept
	for _, c := range r.Counts {
		old, known := i.totals[c.Workspace]
		i.totals[c.Workspace] = c.Total
		if !known && !i.hasFull && !r.Full {
			old = c.Total - 1 // at least one was sent lately
		}
		added := c.Total - old
		included = slices.DeleteFunc(included, func(w uint32) bool {
			if w == c.Workspace {
				added-- // it was counted when it was granted
			}
			return w == c.Workspace
		})
		switch h := &t.space(c.Workspace).history; {
		case r.Full && added > 0:
			addRecent(h, at, c.Recent, added)
		default:
			h.add(at, 0, clamp(added))
		}
	}
	for _, w := range included { // granted, but not sent
		t.space(w).history.add(at, 0, -1)
	}
	i.hasFull = i.hasFull || r.Full
}

// addRecent adds the latest n of the requests that were sent at the given times.
func addRecent(h *history, at time.Duration, recent []uint32, n int64) {
	for bin, count := range recent {
		if int64(bin) >= reportBins || n <= 0 {
			return
		}
		added := min(n, int64(count))
		h.add(at, int64(bin)*binsPerReport, clamp(added))
		n -= added
	}
}

// clamp returns a number of requests as an int32.
func clamp(n int64) int32 {
	const most = 1 << 20
	return int32(max(-most, min(most, n)))
}

// RecordSent counts a request that this instance sends; n is -1 if it takes one back that was
// not sent.
func (t *Table) RecordSent(now time.Time, w uint32, n int) {
	at := t.since(now)
	u := t.usage(w)
	u.total += int64(n)
	u.changedAt = at
	u.history.add(at, 0, clamp(int64(n)))
	t.space(w).history.add(at, 0, clamp(int64(n)))
}

// RecordReply records that a hub has replied, and how many requests of the workspace all
// instances sent in the last Window; recent is zero if the hub did not tell.
func (t *Table) RecordReply(now time.Time, w uint32, recent int) {
	at := t.since(now)
	t.contactAt, t.hadContact = at, true
	if recent > 0 {
		u := t.usage(w)
		u.share, u.sharedAt = min(1, float64(u.history.total(at)+1)/float64(recent)), at
	}
}

// DecideAlone decides on a request to which no hub has replied; instances is the number of
// instances that are known.
func (t *Table) DecideAlone(now time.Time, w uint32, q workspace.Quota, instances int) Verdict {
	at := t.since(now)
	u := t.usage(w)
	window := perWindow(q)
	base := float64(baseShare*window) + baseRequests
	if !t.hadContact && at-ownStart < Window {
		base = float64(coldBaseShare*window) + coldBaseRequests
	}
	// A part of a request is allowed to a part of the instances.
	base = base/float64(max(minInstances, instances)) + t.fraction(w, at)
	share := 0.0
	if t.contactAt-u.sharedAt <= Window {
		share = float64(u.share * ownShare)
	}
	most := base + float64(share*window)
	if t.hadContact && at-t.contactAt > contactGrace {
		most = min(most, float64(aloneShare*window)+aloneRequests)
	}
	if float64(u.history.total(at))+1 > most || u.exceeds(at, q, share, base+1) {
		return Verdict{RetryAfter: u.oldestLeaves(at)}
	}
	return Verdict{Allowed: true}
}

// exceeds reports whether, with one more request, a window that ends now has more than the
// given share of the quota and a number beside it.
func (u *usage) exceeds(at time.Duration, q workspace.Quota, share, beside float64) bool {
	sum := 1.0
	for i := range windowBins {
		count := u.history.at(i)
		if count == 0 {
			continue
		}
		sum += float64(count)
		age := at - time.Duration(u.history.newest-i)*binLength
		if sum > beside+float64(share*(q.Burst+float64(q.Rate*age.Seconds()))) {
			return true
		}
	}
	return false
}

// fraction returns a number in [0, 1) that differs between instances, workspaces and windows.
func (t *Table) fraction(w uint32, at time.Duration) float64 {
	x := t.seed ^ uint64(w)<<32 ^ uint64(at/Window)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// aloneRetryAfter is the retry delay of a request that an instance rejects alone, if none of its
// requests leaves the window before: a hub is there again by then.
const aloneRetryAfter = time.Second

// oldestLeaves returns the time until the oldest request leaves the window, aloneRetryAfter at
// most.
func (u *usage) oldestLeaves(at time.Duration) time.Duration {
	for age := windowBins - 1; age >= 0; age-- {
		if u.history.at(age) > 0 {
			leaves := time.Duration(u.history.newest-age+windowBins)*binLength - at
			return max(binLength, min(aloneRetryAfter, leaves))
		}
	}
	return aloneRetryAfter
}

// Counts returns what a report contains: all workspaces of the last Window in a full one,
// otherwise those that changed within the given time.
func (t *Table) Counts(now time.Time, full bool, within time.Duration) []Count {
	at := t.since(now)
	var list []Count
	for w, u := range t.own {
		switch {
		case full && (u.history.total(at) > 0 || at-u.changedAt <= Window):
			list = append(list, Count{Workspace: w, Total: u.total, Recent: u.history.recent(at)})
		case !full && at-u.changedAt <= within:
			list = append(list, Count{Workspace: w, Total: u.total})
		}
	}
	return list
}

// Uptime returns the time since the instance started, a minute at most.
func (t *Table) Uptime(now time.Time) time.Duration { return min(time.Minute, t.since(now)-ownStart) }
