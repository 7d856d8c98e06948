package peers

import (
	"expvar"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/workspace"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/policy/workspacequota"
)

const (
	// quotaReportInterval is the minimum interval of quota reports to the hub that is asked,
	// which counts its grants itself, standbyQuotaReportInterval that to the other hub, and
	// idleQuotaReportInterval the interval while there is nothing new.
	quotaReportInterval        = 300 * time.Millisecond
	standbyQuotaReportInterval = 150 * time.Millisecond
	idleQuotaReportInterval    = time.Second
	// quotaWarmUp is the time in which a new hub hears what all instances have sent.
	quotaWarmUp = 500 * time.Millisecond
	// silentAfter is the time after which a hub counts a silent instance as lost for the quotas,
	// and mostSilentAfter that if most are silent.
	silentAfter     = 700 * time.Millisecond
	mostSilentAfter = 400 * time.Millisecond
	// reportSlack is how much later than its interval a report may be.
	reportSlack = 50 * time.Millisecond
	// The first fullQuotaReports to a hub, and those after a gap of quotaReportGap, are full.
	fullQuotaReports = 3
	quotaReportGap   = 3 * time.Second
	// overQuotaLogInterval is the time without a rejection after which the next one of a
	// workspace is logged as a change of its state.
	overQuotaLogInterval = 5 * time.Second
)

// quotaState is the state of the quotas of workspaces. The Group's lock guards it.
type quotaState struct {
	table *workspacequota.Table
	// revision is the configuration version whose quotas are in the table, and limited is set if
	// it has any.
	revision int64
	limited  bool
	// checkedAt is the time of the last look at the instances that are heard.
	checkedAt time.Time
	// resumedAt is the time at which this instance went on after it stood still.
	resumedAt time.Time
	// rejectedAt is the time of the last rejection of a workspace, for the log.
	rejectedAt map[string]time.Time
	counts     expvar.Map
}

// quotaReportState is the state of the quota reports to a hub.
type quotaReportState struct {
	sentAt      time.Time
	incarnation uint32
	// fullLeft is the number of reports that are to be full.
	fullLeft int
}

func newQuotaState(name string) quotaState {
	return quotaState{table: workspacequota.NewTable(time.Now(), xxhash.Sum64String("quota\x00"+name)), rejectedAt: map[string]time.Time{}, revision: -1}
}

// quotaReport reports the requests of workspaces that one instance has sent.
type quotaReport struct {
	Instance       uint32       `cbor:"1,keyasint"` // the hash of its name
	Incarnation    uint32       `cbor:"2,keyasint"`
	IncludedGrants uint64       `cbor:"3,keyasint"`
	UptimeMs       int64        `cbor:"4,keyasint"`
	Full           bool         `cbor:"5,keyasint,omitempty"`
	Counts         []quotaCount `cbor:"6,keyasint,omitempty"`
}

// quotaCount is the count of the requests of one workspace; see workspacequota.Count.
type quotaCount struct {
	_         struct{} `cbor:",toarray"`
	Workspace uint32
	Total     int64
	Recent    []uint32
}

// QuotaMetrics returns counters of the decisions on quotas.
func (g *Group) QuotaMetrics() *expvar.Map { return &g.quota.counts }

// quotaOf returns the quota that a request counts in, and the hash of its workspace. It returns
// false if there is none.
func (g *Group) quotaOf(q *balance.Query) (uint32, workspace.Quota, bool) {
	if q.Class != balance.Online || q.Workspace == "" || q.Charged {
		return 0, workspace.Quota{}, false
	}
	revision := g.opt.View.Revision()
	if revision == nil {
		return 0, workspace.Quota{}, false
	}
	w := revision.Workspaces.Workspace(q.Workspace)
	if w == nil || !w.Quota.Limited() {
		return 0, workspace.Quota{}, false
	}
	return hash(q.Workspace), w.Quota, true
}

// decideQuota decides as a hub on a request. The lock must be held.
func (g *Group) decideQuota(now time.Time, q *balance.Query, w uint32, quota workspace.Quota) workspacequota.Verdict {
	var role workspacequota.Role
	switch {
	case now.Sub(g.quota.resumedAt) < quotaWarmUp:
		role.HeardSince = g.quota.resumedAt
	case now.Sub(g.hub.begin(now)) < quotaWarmUp:
		role.HeardSince = g.hub.begin(now)
	}
	if hubs := g.liveHubs(now); len(hubs) > 0 {
		role.Standby = hubs[0] != g.opt.Name
	}
	verdict := g.quota.table.Decide(now, w, quota, role)
	g.recordVerdict(now, q, quota, verdict, "hub")
	return verdict
}

// recordVerdict counts a decision, and logs it if it is the first rejection after a while. The
// lock must be held.
func (g *Group) recordVerdict(now time.Time, q *balance.Query, quota workspace.Quota, verdict workspacequota.Verdict, by string) {
	if verdict.Allowed {
		g.quota.counts.Add(by+"_allowed", 1)
		return
	}
	g.quota.counts.Add(by+"_rejected", 1)
	if now.Sub(g.quota.rejectedAt[q.Workspace]) > overQuotaLogInterval {
		klog.InfoS("workspace over its quota", "workspace", q.Workspace, "rate", quota.Rate, "burst", quota.Burst, "decidedBy", by,
			"retryAfter", verdict.RetryAfter, "scale", g.quota.table.Scale())
	}
	g.quota.rejectedAt[q.Workspace] = now
}

func overQuota(verdict workspacequota.Verdict) *balance.Rejection {
	return &balance.Rejection{Reason: balance.OverQuota, RetryAfter: verdict.RetryAfter}
}

// grantQuota decides as a hub on a request of a peer and counts it. counted is not set
// if it counts in no quota; recent is zero if not known.
func (g *Group) grantQuota(request *serverRequest, q *balance.Query) (recent int, counted bool, rejection *balance.Rejection) {
	w, quota, ok := g.quotaOf(q)
	if !ok {
		return 0, false, nil
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict := g.decideQuota(now, q, w, quota)
	if !verdict.Allowed {
		return 0, false, overQuota(verdict)
	}
	g.quota.table.RecordGrant(now, request.Name, request.Sequence, w)
	return verdict.Recent, true, nil
}

// dropQuotaGrant takes the grant for a peer's request back, for which there is no server.
func (g *Group) dropQuotaGrant(request *serverRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quota.table.DropGrant(time.Now(), request.Name, request.Sequence)
}

// admitAsHub decides as a hub on a request of this instance and counts it as sent.
func (g *Group) admitAsHub(q *balance.Query) *balance.Rejection {
	w, quota, ok := g.quotaOf(q)
	if !ok {
		return nil
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict := g.decideQuota(now, q, w, quota)
	if !verdict.Allowed {
		return overQuota(verdict)
	}
	g.quota.table.RecordReply(now, w, verdict.Recent)
	g.quota.table.RecordSent(now, w, 1)
	return nil
}

// admitAlone decides on a request to which no hub has replied. It does not count it.
func (g *Group) admitAlone(q *balance.Query) *balance.Rejection {
	w, quota, ok := g.quotaOf(q)
	if !ok {
		return nil
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict := g.quota.table.DecideAlone(now, w, quota, len(g.peers)+1)
	if !verdict.Allowed {
		return overQuota(verdict)
	}
	g.recordVerdict(now, q, quota, verdict, "alone")
	return nil
}

// askStandby asks the hub after the one that has not replied, for a request that this instance
// may not send alone. It returns the rejection if there is no reply.
func (g *Group) askStandby(asked *peer, q balance.Query, rejection *balance.Rejection) (*fleet.Lease, *balance.Rejection) {
	var lease *fleet.Lease
	var reply *balance.Rejection
	if standby := g.standbyOf(asked); standby != nil {
		lease, reply = g.askHub(standby, q)
	}
	switch {
	case lease != nil:
		return lease, nil
	case reply == nil:
		_, quota, _ := g.quotaOf(&q)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.recordVerdict(time.Now(), &q, quota, workspacequota.Verdict{RetryAfter: rejection.RetryAfter}, "alone")
		return nil, rejection
	case reply.Reason != balance.NoServer:
		return nil, reply
	}
	return g.pickCharged(q)
}

// standbyOf returns the live hub other than the one that was asked; nil if there is none.
func (g *Group) standbyOf(asked *peer) *peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range g.liveHubs(time.Now()) {
		if p := g.peers[name]; p != nil && p != asked && p.protocol >= protocolPlacements {
			return p
		}
	}
	return nil
}

// pickCharged picks a server by this instance's own view, and counts the request in its quota.
func (g *Group) pickCharged(q balance.Query) (*fleet.Lease, *balance.Rejection) {
	lease, rejection := g.pick(q)
	if w, _, ok := g.quotaOf(&q); ok && rejection == nil {
		g.mu.Lock()
		g.quota.table.RecordSent(time.Now(), w, 1)
		g.mu.Unlock()
	}
	return lease, rejection
}

// recordQuotaReply records a hub's reply to a request, which is sent if accepted is set. The
// lock must be held.
func (g *Group) recordQuotaReply(q *balance.Query, recent int, accepted bool) {
	w, _, ok := g.quotaOf(q)
	if !ok {
		return
	}
	now := time.Now()
	g.quota.table.RecordReply(now, w, recent)
	if accepted {
		g.quota.table.RecordSent(now, w, 1)
	}
}

// ReturnQuota takes a request back that was counted in its workspace's quota and has not run.
func (g *Group) ReturnQuota(q balance.Query) {
	q.Charged = false
	w, _, ok := g.quotaOf(&q)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quota.table.RecordSent(time.Now(), w, -1)
	g.quota.counts.Add("returned", 1)
}

// updateQuotas takes over the quotas of a new configuration. The lock must be held.
func (g *Group) updateQuotas(now time.Time) {
	revision := g.opt.View.Revision()
	if revision == nil {
		return
	}
	if revision.Version != g.quota.revision {
		g.quota.revision, g.quota.limited = revision.Version, false
		for name, w := range revision.Workspaces.All() {
			if w.Quota.Limited() {
				g.quota.limited = true
				g.quota.table.SetQuota(now, hash(name), w.Quota)
			}
		}
	}
}

// updateReach records how many instances this one hears and how many it has lost. The lock must
// be held.
func (g *Group) updateReach(now time.Time) {
	// A hub hears from all live instances every maxReportInterval, unless it stood still itself.
	attentive := g.hub.active && now.Sub(g.quota.checkedAt) < livenessInterval
	g.quota.checkedAt = now
	heard, heardLately, lost := 1, 1, 0
	for _, p := range g.peers {
		silence := time.Duration(0)
		if attentive && !p.reportedAt.IsZero() {
			silence = now.Sub(p.reportedAt)
		}
		switch {
		case p.leaving():
		case p.live(now) && silence < silentAfter:
			heard++
			if silence < mostSilentAfter {
				heardLately++
			}
		case now.Sub(p.lastSign()) < peerTTL:
			lost++
		}
	}
	if 2*heardLately < heard {
		heard, lost = heardLately, lost+heard-heardLately
	}
	old := g.quota.table.Scale()
	g.quota.table.SetReach(now, heard, lost)
	if scale := g.quota.table.Scale(); g.quota.limited && g.hub.active && (scale < 1) != (old < 1) {
		klog.InfoS("share of the quotas that this instance grants as a hub changed", "scale", scale, "heard", heard, "lost", lost)
	}
}

// lastSign returns the time of the last sign of the peer.
func (p *peer) lastSign() time.Time {
	at := p.discoveredAt
	for _, other := range []time.Time{p.heardAt, p.listedAt} {
		if other.After(at) {
			at = other
		}
	}
	return at
}

// begin returns the time since which the hub has heard other instances.
func (h *hubState) begin(now time.Time) time.Time {
	begin := now
	if h.active {
		begin = h.since
	}
	if !h.firstSince.IsZero() && h.firstSince.Before(begin) {
		begin = h.firstSince
	}
	return begin
}

// quotaReportDue is a quota report that is due to a hub.
type quotaReportDue struct {
	to     netip.AddrPort
	report *quotaReport
}

// quotaReportsDue returns the quota reports that are due, which it records as sent. The lock
// must be held.
func (g *Group) quotaReportsDue(now time.Time) []quotaReportDue {
	if !g.quota.limited {
		return nil
	}
	var due []quotaReportDue
	var reports [3]*quotaReport // changes for the standby, for the hub that is asked, full
	asked, _ := g.askedHub(now)
	for _, name := range g.liveHubs(now) {
		p := g.peers[name]
		if p == nil || !p.addrPort.IsValid() || p.protocol < protocolPlacements {
			continue
		}
		state := &p.quotaReports
		age, interval := now.Sub(state.sentAt), standbyQuotaReportInterval
		if p == asked && state.fullLeft == 0 {
			interval = quotaReportInterval
		}
		if age < interval {
			continue
		}
		if age > quotaReportGap || state.incarnation != p.Incarnation {
			state.fullLeft, state.incarnation = fullQuotaReports, p.Incarnation
		}
		kind := 0
		switch {
		case state.fullLeft > 0:
			kind = 2
			state.fullLeft--
		case p == asked:
			kind = 1
		}
		if reports[kind] == nil {
			// Each change is reported twice, in case that a datagram is lost.
			reports[kind] = g.newQuotaReport(now, kind == 2, 2*interval+reportSlack)
		}
		if kind < 2 && len(reports[kind].Counts) == 0 && age < idleQuotaReportInterval {
			continue
		}
		state.sentAt = now
		due = append(due, quotaReportDue{p.addrPort, reports[kind]})
	}
	return due
}

// newQuotaReport returns a report on what this instance has sent, and unless it is full only on
// what changed within the given time. The lock must be held.
func (g *Group) newQuotaReport(now time.Time, full bool, within time.Duration) *quotaReport {
	report := &quotaReport{
		Instance: hash(g.opt.Name), Incarnation: g.opt.Incarnation, IncludedGrants: g.includedGrants(),
		UptimeMs: g.quota.table.Uptime(now).Milliseconds(), Full: full,
	}
	for _, c := range g.quota.table.Counts(now, full, within) {
		report.Counts = append(report.Counts, quotaCount{Workspace: c.Workspace, Total: c.Total, Recent: c.Recent})
	}
	return report
}

func (g *Group) sendQuotaReports(due []quotaReportDue) {
	for _, d := range due {
		g.send(kindQuotaReport, d.report, d.to)
	}
}

// onQuotaReport applies a peer's quota report.
func (g *Group) onQuotaReport(report *quotaReport, _ netip.AddrPort) {
	r := &workspacequota.Report{
		Incarnation: report.Incarnation, IncludedGrants: report.IncludedGrants,
		Uptime: time.Duration(report.UptimeMs) * time.Millisecond, Full: report.Full,
	}
	for _, c := range report.Counts {
		r.Counts = append(r.Counts, workspacequota.Count{Workspace: c.Workspace, Total: c.Total, Recent: c.Recent})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.peersByHash[report.Instance]; p != nil && p.process.observe(time.Now(), report.Incarnation) {
		r.Instance = p.name
		g.quota.table.Apply(time.Now(), r)
	}
}
