package serving

import (
	"maps"
	"time"
)

// ReregistrationGrace is how long after a store outage the registry waits for live
// servers whose entries expired during the outage to register again. According to the
// platform's documentation they do so within about two seconds.
const ReregistrationGrace = 2500 * time.Millisecond

// Server is a registered backend server.
type Server struct {
	ID, Service string
	// Address is IP:PORT.
	Address    string
	DataCentre string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Leaving is set once the server has announced that it is draining.
	Leaving bool
	// Started is the server's start time in Unix milliseconds as reported by the
	// server, or zero if not reported. It distinguishes a restart under the same ID.
	Started int64
}

// Usable reports whether the server accepts new requests.
func (s *Server) Usable() bool { return !s.Leaving }

// Registry tracks the registered servers. An entry that is removed during a store
// outage, or within ReregistrationGrace after it, is kept until the end of that grace
// period, because the entries of live servers may have expired during the outage.
// A Registry is not safe for concurrent use.
type Registry struct {
	servers map[string]*Server
	// missing maps the ID of a server without an entry to the time at which the
	// server is dropped.
	missing map[string]time.Time
	// storeDown is set while the store cannot be read; graceUntil is the end of the
	// grace period after the last outage.
	storeDown  bool
	graceUntil time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{servers: map[string]*Server{}, missing: map[string]time.Time{}}
}

// StoreUnavailable records that the store cannot be read.
func (r *Registry) StoreUnavailable() { r.storeDown = true }

// StoreRecovered records that the store can be read again and starts the grace period.
func (r *Registry) StoreRecovered(now time.Time) {
	if !r.storeDown {
		return
	}
	r.storeDown = false
	r.graceUntil = now.Add(ReregistrationGrace)
	for id := range r.missing {
		r.missing[id] = r.graceUntil
	}
}

// Put adds or replaces an entry. It returns false if the entry is unchanged, as for a
// heartbeat.
func (r *Registry) Put(s *Server) bool {
	old := r.servers[s.ID]
	delete(r.missing, s.ID)
	r.servers[s.ID] = s
	return old == nil || *old != *s
}

// Remove records that an entry was removed from the store. It reports whether the
// server was dropped immediately rather than kept for the grace period.
func (r *Registry) Remove(now time.Time, id string) bool {
	s := r.servers[id]
	if s == nil {
		return false
	}
	if !s.Leaving && (r.storeDown || now.Before(r.graceUntil)) {
		if _, ok := r.missing[id]; !ok {
			r.missing[id] = r.graceUntil
		}
		return false
	}
	delete(r.servers, id)
	delete(r.missing, id)
	return true
}

// Retain removes every entry whose ID is not in listed, the result of a full listing.
// It returns the IDs of the servers that were dropped immediately.
func (r *Registry) Retain(now time.Time, listed map[string]bool) []string {
	var dropped []string
	for id := range r.servers {
		if !listed[id] && r.Remove(now, id) {
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// Expire drops the servers that did not register again before their grace period
// ended and returns their IDs. It drops nothing while the store is unavailable.
func (r *Registry) Expire(now time.Time) []string {
	if r.storeDown {
		return nil
	}
	var dropped []string
	for id, dropAt := range r.missing {
		if !now.Before(dropAt) {
			delete(r.missing, id)
			delete(r.servers, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// Servers returns a copy of the entries, keyed by server ID.
func (r *Registry) Servers() map[string]*Server { return maps.Clone(r.servers) }
