package serving

import (
	"maps"
	"time"
)

// ReregistrationGrace is the time after the end of a store outage in which entries that
// lapsed meanwhile come back, if their servers live. The platform states about two
// seconds.
const ReregistrationGrace = 2500 * time.Millisecond

// Server is one registered backend server.
type Server struct {
	ID, Service string
	// Address is IP:PORT.
	Address    string
	DataCentre string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Leaving is set once the server has announced that it drains.
	Leaving bool
	// Started is the server's start, as the Unix time in ms that it states; zero
	// when it states none. It tells a restart under the same id.
	Started int64
}

// Usable reports whether new work may be sent to the server.
func (s *Server) Usable() bool { return !s.Leaving }

// Registry folds the entries of servers. A removal during an outage of the store,
// or just after it, takes effect only when the entry stays away for ReturnGrace.
// A Registry is not safe for concurrent use.
type Registry struct {
	servers map[string]*Server
	// lapsed holds the time at which a server whose entry is missing is dropped.
	lapsed map[string]time.Time
	// trouble is set while the store cannot be read; graceUntil is the end of the
	// time in which entries return.
	trouble    bool
	graceUntil time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{servers: map[string]*Server{}, lapsed: map[string]time.Time{}}
}

// StoreUnavailable records that the store cannot be read.
func (r *Registry) StoreUnavailable() { r.trouble = true }

// StoreRecovered records that the store answers again.
func (r *Registry) StoreRecovered(now time.Time) {
	if !r.trouble {
		return
	}
	r.trouble = false
	r.graceUntil = now.Add(ReregistrationGrace)
	for id := range r.lapsed {
		r.lapsed[id] = r.graceUntil
	}
}

// Put adds or replaces an entry. It reports whether anything but the heartbeat
// changed.
func (r *Registry) Put(s *Server) bool {
	old := r.servers[s.ID]
	delete(r.lapsed, s.ID)
	r.servers[s.ID] = s
	return old == nil || *old != *s
}

// Remove records that an entry is gone. It reports whether the server is dropped
// at once.
func (r *Registry) Remove(now time.Time, id string) bool {
	s := r.servers[id]
	if s == nil {
		return false
	}
	if !s.Leaving && (r.trouble || now.Before(r.graceUntil)) {
		if _, ok := r.lapsed[id]; !ok {
			r.lapsed[id] = r.graceUntil
		}
		return false
	}
	delete(r.servers, id)
	delete(r.lapsed, id)
	return true
}

// Retain removes every entry that a full listing did not name.
func (r *Registry) Retain(now time.Time, named map[string]bool) []string {
	var gone []string
	for id := range r.servers {
		if !named[id] && r.Remove(now, id) {
			gone = append(gone, id)
		}
	}
	return gone
}

// Expire drops the servers whose entries did not return in time and returns their
// ids.
func (r *Registry) Expire(now time.Time) []string {
	if r.trouble {
		return nil
	}
	var gone []string
	for id, until := range r.lapsed {
		if !now.Before(until) {
			delete(r.lapsed, id)
			delete(r.servers, id)
			gone = append(gone, id)
		}
	}
	return gone
}

// Servers returns a copy of the entries by id.
func (r *Registry) Servers() map[string]*Server { return maps.Clone(r.servers) }
