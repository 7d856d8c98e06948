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
)

// View is safe for concurrent use.
type View struct {
	revision atomic.Pointer[serving.Revision]
	listed   atomic.Bool

	mu       sync.Mutex
	registry *serving.Registry
	table    *balance.Table
	runs     map[string]time.Duration
	// configAt and serversAt are the times at which the store last confirmed that
	// the configuration and the servers are current.
	configAt, serversAt time.Time
}

// NewView returns the view of an instance in a data centre.
func NewView(dataCentre string, random *rand.Rand) *View {
	return &View{registry: serving.NewRegistry(), table: balance.NewTable(dataCentre, random), runs: map[string]time.Duration{}}
}

// Revision returns the configuration in force; nil before any is known.
func (v *View) Revision() *serving.Revision { return v.revision.Load() }

// Ready reports whether the instance knows a configuration and the servers.
func (v *View) Ready() bool { return v.revision.Load() != nil && v.listed.Load() }

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
	}
}

// ServersConfirmed records whether the server feed could be read.
func (v *View) ServersConfirmed(ok bool) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if !ok {
		v.registry.StoreLost()
		return
	}
	v.serversAt = now
	v.registry.StoreBack(now)
}

// ConfigConfirmed records whether the configuration feed could be read.
func (v *View) ConfigConfirmed(ok bool) {
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
	v.table.Expire(now)
	gone := v.registry.Expire(now)
	for _, id := range gone {
		klog.InfoS("server gone", "server", id, "cause", "entry did not return after the store's outage")
	}
	if len(gone) > 0 {
		v.table.SetServers(v.registry.Servers())
	}
}

// Age returns the time since the store last confirmed the servers.
func (v *View) Age() time.Duration {
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
	v.table.Started(choice.Server.ID, q.Class)
	return &Lease{Choice: choice, view: v, class: q.Class, began: now}, true
}

// End records how the request ended.
func (l *Lease) End(outcome balance.Outcome) {
	now := time.Now()
	l.view.mu.Lock()
	defer l.view.mu.Unlock()
	l.view.table.Ended(now, l.Server.ID, l.class, outcome)
	if outcome == balance.Answered && l.class == balance.Online {
		l.view.noteRun(l.Server.Service, now.Sub(l.began))
	}
}

// Answering records that the server has begun to answer.
func (l *Lease) Answering() {
	l.view.mu.Lock()
	l.view.table.Answering(l.Server.ID)
	l.view.mu.Unlock()
}

// Pace records the time of one step of the answer.
func (l *Lease) Pace(step time.Duration) {
	l.view.mu.Lock()
	l.view.table.Pace(l.Server.ID, step)
	l.view.mu.Unlock()
}

func (v *View) noteRun(service string, d time.Duration) {
	mean, ok := v.runs[service]
	if !ok {
		mean = firstRun
	}
	v.runs[service] = mean + time.Duration(runShare*float64(d-mean))
}

// MeanRun returns the mean time of an online request of a service on a server.
func (v *View) MeanRun(service string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if mean, ok := v.runs[service]; ok {
		return mean
	}
	return firstRun
}

// Room returns the free slots, the slots and the servers of a service.
func (v *View) Room(service string) (free, slots, servers int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Room(time.Now(), service)
}

// Own returns what this instance has in flight, by server.
func (v *View) Own() map[string]balance.Counts {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Own()
}

// Excess returns this instance's share of the batch requests above the slots of
// their servers.
func (v *View) Excess() map[string]float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Excess()
}

// PeerLoad records what a peer has in flight.
func (v *View) PeerLoad(name string, counts map[string]balance.Counts) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.Peer(time.Now(), name, counts)
}

// PeerGone drops the statements of a peer.
func (v *View) PeerGone(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.Forget(name)
}

// BatchHolders returns the peers that state batch requests on a server.
func (v *View) BatchHolders(server string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.BatchHolders(server)
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
