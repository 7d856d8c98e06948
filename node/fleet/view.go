// Package fleet holds what an instance believes of the fleet: the newest
// configuration, the registered servers, its peers and the load on each server. It
// joins the pure rules of domain/serving and policy/balance for use by several
// duties at once, and logs each change of belief.
package fleet

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

const (
	// runShare is the weight of one measured run in the mean run time.
	runShare = 0.05
	// firstRun is taken for the mean run time before any run has ended.
	firstRun = 500 * time.Millisecond
	// others names, in the table, the total that a hub states. No instance has this
	// name.
	others = ""
)

// View is safe for concurrent use.
type View struct {
	revision atomic.Pointer[serving.Revision]
	listed   atomic.Bool
	// known is closed once the view is ready.
	known chan struct{}
	once  sync.Once

	mu       sync.Mutex
	registry *serving.Registry
	table    *balance.Table
	runs     map[string]time.Duration
	// configAt and serversAt are the times at which the store last confirmed that
	// the configuration and the servers are current.
	configAt, serversAt time.Time
}

// NewView returns the view of an instance.
func NewView(random *rand.Rand) *View {
	return &View{known: make(chan struct{}), registry: serving.NewRegistry(), table: balance.NewTable(random), runs: map[string]time.Duration{}}
}

// Revision returns the configuration in force; nil before any is known.
func (v *View) Revision() *serving.Revision { return v.revision.Load() }

// Ready reports whether the instance knows a configuration and the servers.
func (v *View) Ready() bool { return v.revision.Load() != nil && v.listed.Load() }

// ReadyNotify returns a channel that is closed once the view is ready.
func (v *View) ReadyNotify() <-chan struct{} { return v.known }

// noteReady closes the channel when the view is ready.
func (v *View) noteReady() {
	if v.Ready() {
		v.once.Do(func() { close(v.known) })
	}
}

// ApplyConfig takes the entries of the configuration feed. An older version never
// replaces a newer one.
func (v *View) ApplyConfig(entries []port.Entry[serving.Revision], _ bool) {
	for _, e := range entries {
		if e.Value == nil {
			if e.Invalid != nil {
				klog.InfoS("configuration ignored", "key", e.Key, "cause", e.Invalid)
			}
			continue
		}
		v.takeRevision(e.Value)
	}
	v.noteReady()
}

func (v *View) takeRevision(next *serving.Revision) {
	for {
		old := v.revision.Load()
		if old != nil && old.Version >= next.Version {
			if old.Version > next.Version {
				klog.InfoS("configuration ignored", "version", next.Version, "inForce", old.Version, "cause", "older")
			}
			return
		}
		if v.revision.CompareAndSwap(old, next) {
			klog.InfoS("configuration in force", "version", next.Version, "routes", len(next.Routes), "services", len(next.Services))
			return
		}
	}
}

// ApplyServers takes the entries of the server feed; full marks a whole listing.
func (v *View) ApplyServers(entries []port.Entry[serving.Server], full bool) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := false
	named := map[string]bool{}
	for _, e := range entries {
		if e.Value != nil {
			named[e.Key] = true
			if v.registry.Put(e.Value) {
				changed = true
				klog.InfoS("server entry", "server", e.Key, "service", e.Value.Service, "address", e.Value.Address, "leaving", e.Value.Leaving, "started", e.Value.Started)
			}
			continue
		}
		if v.registry.Remove(now, e.Key) {
			changed = true
			klog.InfoS("server gone", "server", e.Key, "invalid", e.Invalid)
		}
	}
	if full {
		for _, id := range v.registry.Retain(now, named) {
			changed = true
			klog.InfoS("server gone", "server", id, "cause", "not listed")
		}
	}
	if changed || !v.listed.Load() {
		v.table.SetServers(v.registry.Servers())
		v.listed.Store(true)
		v.noteReady()
	}
}

// RecordServersRead records whether the server feed could be read.
func (v *View) RecordServersRead(ok bool) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if !ok {
		v.registry.StoreUnavailable()
		return
	}
	v.serversAt = now
	v.registry.StoreRecovered(now)
}

// RecordConfigRead records whether the configuration feed could be read.
func (v *View) RecordConfigRead(ok bool) {
	if !ok {
		return
	}
	v.mu.Lock()
	v.configAt = time.Now()
	v.mu.Unlock()
}

// Expire drops what has not been confirmed for too long. It is called a few times
// a second.
func (v *View) Expire() {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.ExpirePeers(now)
	gone := v.registry.Expire(now)
	for _, id := range gone {
		klog.InfoS("server gone", "server", id, "cause", "entry did not return after the store's outage")
	}
	if len(gone) > 0 {
		v.table.SetServers(v.registry.Servers())
	}
}

// ServersAge returns the time since the store last confirmed the servers.
func (v *View) ServersAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.serversAt.IsZero() {
		return 0
	}
	return time.Since(v.serversAt)
}

// Lease is a request's place on a server. Exactly one of its ends must be called.
type Lease struct {
	balance.Choice
	view  *View
	class balance.Class
	began time.Time
}

// Pick chooses a server and counts the request there.
func (v *View) Pick(q balance.Query) (*Lease, bool) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	choice, ok := v.table.Pick(now, q)
	if !ok {
		return nil, false
	}
	v.table.RequestStarted(choice.Server.ID, q.Class)
	return &Lease{Choice: choice, view: v, class: q.Class, began: now}, true
}

// End records how the request ended.
func (l *Lease) End(outcome balance.Outcome) {
	now := time.Now()
	l.view.mu.Lock()
	defer l.view.mu.Unlock()
	l.view.table.RequestEnded(now, l.Server.ID, l.class, outcome)
	if outcome == balance.Answered && l.class == balance.Online {
		l.view.noteRun(l.Server.Service, now.Sub(l.began))
	}
}

// ResponseStarted records that the server has begun to answer.
func (l *Lease) ResponseStarted() {
	l.view.mu.Lock()
	l.view.table.ResponseStarted(l.Server.ID)
	l.view.mu.Unlock()
}

// RecordStepTime records the time of one step of the answer.
func (l *Lease) RecordStepTime(step time.Duration) {
	l.view.mu.Lock()
	l.view.table.RecordStepTime(l.Server.ID, step)
	l.view.mu.Unlock()
}

func (v *View) noteRun(service string, d time.Duration) {
	mean, ok := v.runs[service]
	if !ok {
		mean = firstRun
	}
	v.runs[service] = mean + time.Duration(runShare*float64(d-mean))
}

// MeanRunTime returns the mean time of an online request of a service on a server.
func (v *View) MeanRunTime(service string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if mean, ok := v.runs[service]; ok {
		return mean
	}
	return firstRun
}

// Capacity returns the free slots, the slots and the servers of a service.
func (v *View) Capacity(service string) (free, slots, servers int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Capacity(time.Now(), service)
}

// AcceptPick counts a request on a server that another instance has picked; false when
// this instance does not use that server.
func (v *View) AcceptPick(server string, q balance.Query) (*Lease, bool) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	choice, ok := v.table.AcceptPick(now, server, q)
	if !ok {
		return nil, false
	}
	v.table.RequestStarted(server, q.Class)
	return &Lease{Choice: choice, view: v, class: q.Class, began: now}, true
}

// PickForPeer picks a server for a peer and counts the request there until the peer's
// statements show it.
func (v *View) PickForPeer(peer string, sequence uint64, q balance.Query) (balance.Choice, bool) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	choice, ok := v.table.Pick(now, q)
	if ok {
		v.table.Grant(now, peer, balance.Grant{Sequence: sequence, Server: choice.Server.ID, Class: q.Class})
	}
	return choice, ok
}

// ServersToAvoid returns the servers that this instance would not use for a request.
func (v *View) ServersToAvoid(q balance.Query) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.ServersToAvoid(time.Now(), q)
}

// OwnLoad returns what this instance states of the servers.
func (v *View) OwnLoad() map[string]balance.Load {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.OwnLoad(time.Now())
}

// TotalLoad returns what all known instances have in flight, by server.
func (v *View) TotalLoad() map[string]balance.Load {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.TotalLoad()
}

// UpdatePeer records what a peer states of the servers, with its grants up to seen.
func (v *View) UpdatePeer(name string, loads map[string]balance.Load, seen uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.UpdatePeer(time.Now(), name, loads, seen)
}

// UpdateHubTotal records what all instances together have in flight, as a hub states it.
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
	v.table.UpdatePeer(now, others, total, 0)
}

// RemovePeer drops the statements of a peer.
func (v *View) RemovePeer(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.RemovePeer(name)
}

// RemoveHubTotal drops what a hub stated, once this instance hears its peers itself.
func (v *View) RemoveHubTotal() { v.RemovePeer(others) }

// PeerWithMostBatch returns a peer that has batch requests on a server, or "".
func (v *View) PeerWithMostBatch(server string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.PeerWithMostBatch(server)
}

// PreemptionCandidates returns the servers with batch requests and more requests than slots.
func (v *View) PreemptionCandidates() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.PreemptionCandidates()
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
