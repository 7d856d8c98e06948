// Package fleet holds an instance's view of the fleet: the current configuration, the
// registered servers, and the load on each server that the instance and its peers
// report. View makes the data structures of domain/serving and policy/balance safe for
// concurrent use and logs the changes of the configuration and of the servers. Follower
// reads the feeds of the store that update it.
package fleet

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
	"github.com/jacinthnotch/jacinthnotch/policy/pace"
)

const (
	// runTimeSmoothing is the weight of a new measurement in the moving average of the run
	// time.
	runTimeSmoothing = 0.05
	// initialRunTime is the assumed run time until a run has been measured.
	initialRunTime = 500 * time.Millisecond
	// ownView is the picker of a server that an instance picks by its own view.
	ownView = "own view"
	// departureReportTime is the time for which an instance reports that a server states that it
	// is leaving.
	departureReportTime = 2 * time.Second
	// versionMemory is the time for which versions without a server are remembered.
	versionMemory = 10 * time.Minute
	// hubTotalName is the peer name in the table for the load of all other instances that
	// a hub reports. No instance has this name.
	hubTotalName = ""
	// maxLoggedProblems limits the log lines about one configuration.
	maxLoggedProblems = 10
)

// View is an instance's view of the fleet. It is safe for concurrent use.
type View struct {
	revision      atomic.Pointer[serving.Revision]
	serversListed atomic.Bool
	// serversVersion counts the changes of the set of servers.
	serversVersion atomic.Uint64
	// ready is closed when the view becomes ready.
	ready     chan struct{}
	readyOnce sync.Once

	mu       sync.Mutex
	registry *serving.Registry
	// servers holds the registered servers as passed to the table.
	servers map[string]*serving.Server
	table   *balance.Table
	// runTimes holds the moving average of the run time of online requests, by service.
	runTimes map[string]time.Duration
	// shortRunTimes holds the run times without the time in queues; nil before the first
	// measurement.
	shortRunTimes map[string]time.Duration
	// onLoadChange is called after each change of the requests in flight.
	onLoadChange func()
	// configReadAt and serversReadAt are the times of the last successful reads of the
	// configuration and of the servers.
	configReadAt, serversReadAt time.Time
	// versions holds when a version of a service was last registered, or last among the
	// servers, for RecentVersions.
	versions map[serviceVersion]time.Time
	// ownDepartures holds the statements of servers that they are leaving, to this instance,
	// until they have been reported for departureReportTime.
	ownDepartures []serving.Departure
	// byteBounds holds the logged numbers of bytes above which servers crash, by service.
	byteBounds map[string]int64

	// onOutage is set by NotifyOutages.
	onOutage func(since time.Time)

	paces paceMetrics
}

// serviceVersion is a version of the software of a service.
type serviceVersion struct{ service, version string }

// NewView returns an empty view.
func NewView(random *rand.Rand) *View {
	return &View{ready: make(chan struct{}), registry: serving.NewRegistry(), table: balance.NewTable(random), runTimes: map[string]time.Duration{}, versions: map[serviceVersion]time.Time{}, byteBounds: map[string]int64{}}
}

// SetHeartbeat sets the interval of the heartbeats of servers.
func (v *View) SetHeartbeat(interval time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.registry.Heartbeat = interval
}

// NotifyOutages sets the function that is called after an outage in which entries may have expired,
// with the time of the last read before it. It must not call the view.
func (v *View) NotifyOutages(onOutage func(since time.Time)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onOutage = onOutage
}

// Revision returns the configuration in force, or nil if none has been read yet.
func (v *View) Revision() *serving.Revision { return v.revision.Load() }

// Ready reports whether the view has a configuration and a list of servers.
func (v *View) Ready() bool { return v.revision.Load() != nil && v.serversListed.Load() }

// ReadyNotify returns a channel that is closed when the view becomes ready.
func (v *View) ReadyNotify() <-chan struct{} { return v.ready }

// notifyReady closes the channel if the view is ready.
func (v *View) notifyReady() {
	if v.Ready() {
		v.readyOnce.Do(func() { close(v.ready) })
	}
}

// ApplyConfig applies entries of the configuration feed. An older version never
// replaces a newer one.
func (v *View) ApplyConfig(entries []port.Entry[serving.Revision], _ bool) {
	for _, e := range entries {
		if e.Value == nil {
			if e.Invalid != nil {
				klog.InfoS("configuration ignored", "key", e.Key, "cause", e.Invalid)
			}
			continue
		}
		v.applyRevision(e.Value)
	}
	v.notifyReady()
}

func (v *View) applyRevision(next *serving.Revision) {
	for {
		old := v.revision.Load()
		if old != nil && old.Version >= next.Version {
			if old.Version > next.Version {
				klog.InfoS("configuration ignored", "version", next.Version, "inForce", old.Version, "cause", "older")
			}
			return
		}
		if v.revision.CompareAndSwap(old, next) {
			v.trackPrompts(next)
			klog.InfoS("configuration in force", "version", next.Version, "routes", len(next.Routes), "services", len(next.Services), "workspaces", len(next.Workspaces.All()), "keys", next.Workspaces.Keys())
			for _, problem := range next.Problems[:min(len(next.Problems), maxLoggedProblems)] {
				klog.InfoS("part of the configuration ignored", "version", next.Version, "cause", problem)
			}
			return
		}
	}
}

// ApplyServers applies entries of the server feed. If full is set, they are the complete
// list, and servers that are not in it are removed.
func (v *View) ApplyServers(entries []port.Entry[serving.Server], full bool) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordServersRead(now)
	changed := false
	listed := map[string]bool{}
	for _, e := range entries {
		if e.Value != nil {
			listed[e.Key] = true
			outdated := v.registry.Outdated
			if v.registry.Put(e.Value) {
				changed = true
				v.versions[serviceVersion{e.Value.Service, e.Value.Version}] = now
				klog.InfoS("server entry", "server", e.Key, "service", e.Value.Service, "address", e.Value.Address, "serverVersion", e.Value.Version, "leaving", e.Value.Leaving, "started", e.Value.Started)
			}
			if v.registry.Outdated > outdated {
				klog.InfoS("server entry ignored", "server", e.Key, "leaving", e.Value.Leaving, "started", e.Value.Started, "sequence", e.Value.Sequence, "cause", "older than another one")
			}
			continue
		}
		if v.registry.Remove(now, e.Key) {
			changed = true
			klog.InfoS("server gone", "server", e.Key, "invalid", e.Invalid)
		}
	}
	if full {
		for _, id := range v.registry.Retain(now, listed) {
			changed = true
			klog.InfoS("server gone", "server", id, "cause", "not listed")
		}
	}
	if changed || !v.serversListed.Load() {
		v.setServers()
		v.serversListed.Store(true)
		v.notifyReady()
	}
}

// RecordDeparture records the statement of a server that it is leaving. From then on it gets no
// requests, until an entry shows that it was started again.
func (v *View) RecordDeparture(d serving.Departure) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordDeparture(d)
}

// recordDeparture reports whether the server was in use. The lock must be held.
func (v *View) recordDeparture(d serving.Departure) bool {
	if !v.registry.RecordDeparture(d) {
		return false
	}
	klog.InfoS("server states that it is leaving", "server", d.Server, "started", d.Started, "age", time.Since(d.At))
	v.setServers()
	return true
}

// recordOwnDeparture records a statement to this instance, which it reports to its peers.
func (v *View) recordOwnDeparture(d serving.Departure) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.recordDeparture(d) {
		v.ownDepartures = append(v.ownDepartures, d)
		v.notifyLoadChange()
	}
}

// OwnDepartures returns the recent statements of servers to this instance that they are
// leaving.
func (v *View) OwnDepartures(now time.Time) []serving.Departure {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ownDepartures = slices.DeleteFunc(v.ownDepartures, func(d serving.Departure) bool { return now.Sub(d.At) > departureReportTime })
	return slices.Clone(v.ownDepartures)
}

// RecordServersRead records a read of the server feed, after its entries were applied; ok is set
// if it succeeded.
func (v *View) RecordServersRead(ok bool) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if !ok {
		v.registry.StoreUnavailable()
		return
	}
	v.recordServersRead(now)
}

// recordServersRead records a successful read of the server feed before its entries are
// applied. The lock must be held.
func (v *View) recordServersRead(now time.Time) {
	since := v.serversReadAt
	if v.registry.RecordRead(now) && !since.IsZero() {
		klog.InfoS("entries of servers may have expired in an outage of the store", "sinceRead", now.Sub(since))
		if v.onOutage != nil {
			v.onOutage(since)
		}
	}
	v.serversReadAt = now
}

// RecordStoreWasUp records that other instances reached the store during the last outage. Servers
// whose entries are gone have left then.
func (v *View) RecordStoreWasUp() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.logDropped(v.registry.StoreWasUp(time.Now()), "entry removed while this instance was cut off")
}

// logDropped logs servers that were dropped from the registry. The lock must be held.
func (v *View) logDropped(servers []string, cause string) {
	for _, id := range servers {
		klog.InfoS("server gone", "server", id, "cause", cause)
	}
	if len(servers) > 0 {
		v.setServers()
	}
}

// RecordConfigRead records a read of the configuration feed; ok is set if it succeeded.
func (v *View) RecordConfigRead(ok bool) {
	if !ok {
		return
	}
	v.mu.Lock()
	v.configReadAt = time.Now()
	v.mu.Unlock()
}

// Expire removes servers that did not register again in time after an outage of the
// store, and peers whose reports are too old. It must be called a few times a second.
func (v *View) Expire() {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.ExpirePeers(now)
	v.logDropped(v.registry.Expire(now), "entry did not return after store outage")
}

// ServersAge returns the time since the servers were last read, or zero if they were not.
func (v *View) ServersAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.serversReadAt.IsZero() {
		return 0
	}
	return time.Since(v.serversReadAt)
}

// Lease counts a request of this instance in flight on a server until End is called.
// End must be called exactly once.
type Lease struct {
	balance.Choice
	// Picker says who picked the server, for the log: the name of the hub, or the instance's
	// own view.
	Picker string
	view   *View
	class  balance.Class
	start  time.Time
	ended  bool
}

// Usable reports whether the server still takes requests, as far as this instance knows. It is
// for leases that are not used at once.
func (l *Lease) Usable() bool {
	l.view.mu.Lock()
	defer l.view.mu.Unlock()
	return l.view.table.Usable(l.Server.ID)
}

// Pick picks a server for a request and counts the request in flight there. It returns
// false if no server can take the request.
func (v *View) Pick(q balance.Query) (*Lease, bool) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	choice, ok := v.table.Pick(now, q)
	if !ok {
		return nil, false
	}
	v.table.RequestStarted(choice.Server.ID, q.Class)
	v.notifyLoadChange()
	return &Lease{Choice: choice, Picker: ownView, view: v, class: q.Class, start: now}, true
}

// End records how the request ended.
func (l *Lease) End(outcome balance.Outcome) {
	now := time.Now()
	l.view.mu.Lock()
	defer l.view.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	l.view.table.RequestEnded(now, l.Server.ID, l.class, outcome)
	l.view.notifyLoadChange()
	if outcome == balance.Answered && l.class == balance.Online {
		l.view.recordRunTime(l.Server.Service, now.Sub(l.start))
	}
}

// ResponseStarted records that the server has begun to respond.
func (l *Lease) ResponseStarted() {
	l.view.mu.Lock()
	l.view.table.ResponseStarted(l.Server.ID)
	l.view.mu.Unlock()
}

// RecordRateLimit records the rate limit that the server states in a response, in requests a
// second over all instances; zero means none.
func (l *Lease) RecordRateLimit(limit float64) {
	l.view.mu.Lock()
	defer l.view.mu.Unlock()
	if l.view.table.RecordRateLimit(time.Now(), l.Server.ID, limit) {
		klog.InfoS("rate limit of a server", "server", l.Server.ID, "limit", limit)
	}
}

// RecordLoad records what the server states of its load in a response.
func (l *Lease) RecordLoad(load *serving.Load) {
	if load == nil || load.Pace == 0 {
		return
	}
	l.view.recordPace(l.Server.ID, pace.Statement{Pace: load.Pace, Requests: load.Running + load.Waiting, Waiting: load.Waiting, At: time.Now()})
}

// RecordLeaving records that a server states in a response that it is leaving. The server is
// that of the lease unless the response names another one, which has its address.
func (l *Lease) RecordLeaving(server string) {
	statement := serving.Departure{Server: l.Server.ID, Started: l.Server.Started, At: time.Now()}
	if server != "" && server != l.Server.ID {
		statement.Server, statement.Started = server, 0
	}
	l.view.recordOwnDeparture(statement)
}

// RecordStepTime records the time of one step of the response: the gap between two events,
// or the whole time of a response that is not streamed.
func (l *Lease) RecordStepTime(step time.Duration) {
	l.view.mu.Lock()
	l.view.table.RecordStep(time.Now(), l.Server.ID, step)
	l.view.mu.Unlock()
}

func (v *View) recordRunTime(service string, runTime time.Duration) {
	v.recordShortRunTime(service, runTime)
	mean, ok := v.runTimes[service]
	if !ok {
		mean = initialRunTime
	}
	v.runTimes[service] = mean + time.Duration(runTimeSmoothing*float64(runTime-mean))
}

// MeanRunTime returns the mean time that an online request of the service takes.
func (v *View) MeanRunTime(service string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if mean, ok := v.runTimes[service]; ok {
		return mean
	}
	return initialRunTime
}

// Versions returns the versions of the software of the registered servers of a service.
func (v *View) Versions(service string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Versions(service)
}

// RecentVersions returns the versions of the registered servers of a service, and of those that
// were registered within a time.
func (v *View) RecentVersions(service string, within time.Duration) []string {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	versions := v.table.Versions(service)
	for known, at := range v.versions {
		if known.service == service && now.Sub(at) <= within {
			versions = append(versions, known.version)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// HasEligible reports whether there is a server to which a request may go, however loaded.
func (v *View) HasEligible(q balance.Query) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.HasEligible(q)
}

// Server returns the entry of a server, or nil if it is not registered.
func (v *View) Server(id string) *serving.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Server(id)
}

// Capacity returns the numbers of free slots, slots and servers of a service. The number
// of free slots is negative when requests are queued.
func (v *View) Capacity(service string) (free, slots, servers int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Capacity(time.Now(), service)
}

// AcceptPick counts a request in flight on a server that a hub picked. It returns false
// if this instance does not know the server or would not use it.
func (v *View) AcceptPick(server string, q balance.Query) (*Lease, bool) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	choice, ok := v.table.AcceptPick(now, server, q)
	if !ok {
		return nil, false
	}
	v.table.RequestGranted(server, q.Class)
	v.notifyLoadChange()
	return &Lease{Choice: choice, view: v, class: q.Class, start: now}, true
}

// PickForPeer picks a server for a peer's request and counts the request there until the
// peer's reports include it. The incarnation is that of the peer's process, zero if not known.
func (v *View) PickForPeer(peer string, incarnation uint32, sequence uint64, q balance.Query) (balance.Choice, bool) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.ObserveProcess(peer, incarnation)
	if v.table.IsIncluded(peer, sequence) {
		return balance.Choice{}, false // the peer does not wait for the reply any more
	}
	choice, ok := v.table.Pick(now, q)
	if ok {
		v.table.Grant(now, peer, balance.Grant{Sequence: sequence, Incarnation: incarnation, Server: choice.Server.ID, Class: q.Class})
	}
	return choice, ok
}

// ServersToAvoid returns the servers that this instance would not use for the request.
func (v *View) ServersToAvoid(q balance.Query) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.ServersToAvoid(time.Now(), q)
}

// OwnLoad returns the load by server that this instance reports to its peers.
func (v *View) OwnLoad() map[string]balance.Load {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.OwnLoad(time.Now())
}

// OwnRates returns what this instance reports about servers with a rate limit.
func (v *View) OwnRates() map[string]balance.RateReport {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.OwnRates(time.Now())
}

// UpdatePeerRates records what a peer reports about servers with a rate limit. It includes the
// grants up to the sequence number includedGrants.
func (v *View) UpdatePeerRates(name string, rates map[string]balance.RateReport, includedGrants uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.UpdatePeerRates(time.Now(), name, rates, includedGrants)
}

// RateLimited reports whether a server of a service states a rate limit.
func (v *View) RateLimited(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.RateLimited(service)
}

// HasUnlimited reports whether there is a server without a rate limit for a request.
func (v *View) HasUnlimited(q balance.Query) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.HasUnlimited(time.Now(), q)
}

// TotalLoad returns the load of all known instances by server.
func (v *View) TotalLoad() map[string]balance.Load {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.TotalLoad()
}

// UpdatePeer replaces a peer's report with its loads by server. The loads include the
// grants to the process with that incarnation up to the sequence number includedGrants.
func (v *View) UpdatePeer(name string, incarnation uint32, loads map[string]balance.Load, includedGrants uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.UpdatePeer(time.Now(), name, incarnation, loads, includedGrants)
}

// UpdateHubTotal records the load of all instances that a hub reports. The requests in
// flight of this instance are subtracted from it.
func (v *View) UpdateHubTotal(total map[string]balance.Load) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, own := range v.table.OwnLoad(now) {
		l := total[id]
		l.Counts = balance.Counts{
			max(0, l.Counts[balance.Online]-own.Counts[balance.Online]), max(0, l.Counts[balance.Batch]-own.Counts[balance.Batch]),
		}
		total[id] = l
	}
	v.table.UpdatePeer(now, hubTotalName, 0, total, 0)
}

// RemovePeer drops the report and the grants of a peer.
func (v *View) RemovePeer(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.RemovePeer(name)
}

// RemoveHubTotal drops the load that a hub reported, because this instance now receives
// the reports of its peers itself.
func (v *View) RemoveHubTotal() { v.RemovePeer(hubTotalName) }

// PeerWithMostBatch returns the peer with the most batch requests on a server, or "" if no
// peer has any there.
func (v *View) PeerWithMostBatch(server string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.PeerWithMostBatch(server)
}

// PreemptionCandidates returns the servers on which a batch request has to be preempted,
// because they have had more requests in flight than slots for a while.
func (v *View) PreemptionCandidates() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.PreemptionCandidates(time.Now())
}

// RecordPreemption records that a batch request on a server was told to stop.
func (v *View) RecordPreemption(server string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.RecordPreemption(time.Now(), server)
}

// LoadVersion returns the version of this instance's own load.
func (v *View) LoadVersion() balance.LoadVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.LoadVersion()
}

// NotifyLoadChanges makes the view call f after each change of the requests in flight. The
// call must not block or use the view.
func (v *View) NotifyLoadChanges(f func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onLoadChange = f
}

// notifyLoadChange reports a change of the requests in flight. The lock must be held.
func (v *View) notifyLoadChange() {
	if v.onLoadChange != nil {
		v.onLoadChange()
	}
}

// ServersVersion returns a number that increases with each change of the set of servers.
func (v *View) ServersVersion() uint64 { return v.serversVersion.Load() }

// setServers passes the registered servers to the table. The lock must be held.
func (v *View) setServers() {
	now := time.Now()
	next := v.registry.Servers()
	for id, s := range v.servers {
		if n := next[id]; n == nil || n.Service != s.Service || n.Version != s.Version {
			v.versions[serviceVersion{s.Service, s.Version}] = now
		}
	}
	maps.DeleteFunc(v.versions, func(_ serviceVersion, at time.Time) bool { return now.Sub(at) > versionMemory })
	v.servers = next
	v.table.SetServers(time.Now(), next)
	v.logByteBounds()
	v.serversVersion.Add(1)
}

// ServerIDs returns the ids of the registered servers.
func (v *View) ServerIDs() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	servers := v.registry.Servers()
	ids := make([]string, 0, len(servers))
	for id := range servers {
		ids = append(ids, id)
	}
	return ids
}

// ServerAddresses returns the addresses of the registered servers that take requests.
func (v *View) ServerAddresses() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	servers := v.registry.Servers()
	addresses := make([]string, 0, len(servers))
	for _, s := range servers {
		if s.Usable() {
			addresses = append(addresses, s.Address)
		}
	}
	return addresses
}

// IsServerAddress reports whether an address is that of a registered server.
func (v *View) IsServerAddress(address string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.registry.Servers() {
		if s.Address == address {
			return true
		}
	}
	return false
}
