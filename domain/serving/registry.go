package serving

import (
	"maps"
	"time"
)

const (
	// ReregistrationGrace is how long after a store outage the registry waits for live
	// servers whose entries expired during the outage to register again. According to the
	// platform's documentation they do so within about two seconds.
	ReregistrationGrace = 2500 * time.Millisecond
	// DefaultHeartbeat is the interval of the heartbeats of servers.
	DefaultHeartbeat = 1200 * time.Millisecond
	// minOutageHeartbeats is the number of heartbeats that an outage lasts in which entries expire:
	// they do so after three without a heartbeat, the first of which may begin before the outage.
	minOutageHeartbeats = 2
)

// Server is a registered backend server.
type Server struct {
	ID, Service string
	// Address is IP:PORT.
	Address    string
	DataCentre string
	// Version is the version of the server's software, not of its weights. Versions have no
	// order. Servers of one service may have different ones.
	Version string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Leaving is set once the server has announced that it is draining, or has stated so in
	// a response.
	Leaving bool
	// Started is the server's start time in Unix milliseconds as reported by the
	// server, or zero if not reported. It distinguishes a restart under the same ID.
	Started int64
	// Sequence increases with each entry that the server writes, and begins anew with each
	// start.
	Sequence int64
}

// Usable reports whether the server accepts new requests.
func (s *Server) Usable() bool { return !s.Leaving }

// Registry tracks the registered servers. Entries of live servers may expire during a store
// outage. A server whose entry is removed then, or within ReregistrationGrace after it, is
// therefore kept until the end of that grace period, unless it has written an entry since the
// outage: the removal of such an entry shows that the server has left.
// A Registry is not safe for concurrent use.
type Registry struct {
	// Heartbeat is the interval of the heartbeats of servers.
	Heartbeat time.Duration

	servers map[string]*Server
	order   entryOrder
	// Outdated counts the entries that were ignored because a later one was known.
	Outdated int64
	// missing maps the ID of a server without an entry to the time at which the
	// server is dropped.
	missing map[string]time.Time
	// storeDown is set while the store cannot be read; graceUntil is the end of the
	// grace period after the last outage.
	storeDown  bool
	graceUntil time.Time
	// readAt is the time of the last successful read. recovering is set if it was the first one
	// after an outage: its entries may have been written before the outage.
	readAt     time.Time
	recovering bool
	// unconfirmed holds the IDs of the servers that have written no entry since the last outage.
	unconfirmed map[string]bool
	// departures holds the latest statement of each server that it is leaving, by ID. It
	// outlives the entry of the server, which may return.
	departures map[string]Departure
}

// maxDepartures is the number of departures from which those of servers without an entry are
// forgotten, the oldest first.
const maxDepartures = 4096

// Departure is the statement of a server that it is leaving.
type Departure struct {
	Server string
	// Started is the start time of the server in Unix milliseconds, as known to whoever got
	// the statement; zero if not known.
	Started int64
	// At is the time of the response that holds the statement.
	At time.Time
}

// refersTo reports whether the statement may be that of a server with a start time. The entry
// of a server is read some time after its start, so that a statement can come from a later
// start than Started says, but from none after At.
func (d Departure) refersTo(started int64) bool {
	return started <= d.Started || started <= d.At.UnixMilli()
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		Heartbeat: DefaultHeartbeat, unconfirmed: map[string]bool{},
		servers: map[string]*Server{}, order: entryOrder{latest: map[string]*entryPosition{}},
		missing: map[string]time.Time{}, departures: map[string]Departure{},
	}
}

// StoreUnavailable records that the store cannot be read.
func (r *Registry) StoreUnavailable() { r.storeDown = true }

// RecordRead records a successful read of what was written since the last one, before it is
// applied. It begins a grace period, and returns true, if entries of live servers may have
// expired since then because of an outage of the store.
func (r *Registry) RecordRead(now time.Time) (recovered bool) {
	longEnough := r.readAt.IsZero() || now.Sub(r.readAt) >= minOutageHeartbeats*r.Heartbeat
	recovered = r.storeDown && longEnough
	r.storeDown, r.readAt, r.recovering = false, now, recovered
	if !recovered {
		return false
	}
	r.graceUntil = now.Add(ReregistrationGrace)
	for id := range r.missing {
		r.missing[id] = r.graceUntil
	}
	for id := range r.servers {
		r.unconfirmed[id] = true
	}
	return true
}

// StoreWasUp records that the last outage was not one of the store, so that no entry of a live server has
// expired. It ends the grace period, and returns the IDs of the servers that are dropped.
func (r *Registry) StoreWasUp(now time.Time) []string {
	r.graceUntil = now
	for id := range r.missing {
		r.missing[id] = now
	}
	return r.Expire(now)
}

// Put adds or replaces an entry, unless a later one of the server is known. It returns false
// if nothing but the sequence number has changed, as for a heartbeat.
func (r *Registry) Put(s *Server) bool {
	if !r.order.accept(s) {
		r.Outdated++
		return false
	}
	old := r.servers[s.ID]
	delete(r.missing, s.ID)
	if !r.recovering {
		delete(r.unconfirmed, s.ID)
	}
	if d, ok := r.departures[s.ID]; ok && !d.refersTo(s.Started) {
		delete(r.departures, s.ID)
	}
	r.servers[s.ID] = s
	return old == nil || !old.equalsBesidesSequence(s)
}

func (s *Server) equalsBesidesSequence(other *Server) bool {
	same := *other
	same.Sequence = s.Sequence
	return *s == same
}

// Remove records that an entry was removed from the store. It reports whether the
// server was dropped immediately rather than kept for the grace period.
func (r *Registry) Remove(now time.Time, id string) bool {
	r.order.remove(id)
	s := r.servers[id]
	if s == nil {
		return false
	}
	if !r.leaving(s) && (r.storeDown || r.unconfirmed[id] && now.Before(r.graceUntil)) {
		if _, ok := r.missing[id]; !ok {
			r.missing[id] = r.graceUntil
		}
		return false
	}
	delete(r.servers, id)
	delete(r.missing, id)
	delete(r.unconfirmed, id)
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
			delete(r.unconfirmed, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// RecordDeparture records the statement of a server that it is leaving. Only an entry of a
// later start of the server ends the effect. It reports whether the server was in use.
func (r *Registry) RecordDeparture(d Departure) bool {
	s := r.servers[d.Server]
	if s != nil && !d.refersTo(s.Started) {
		return false
	}
	known, repeated := r.departures[d.Server]
	if repeated {
		d.Started = max(d.Started, known.Started)
		if d.At.Before(known.At) {
			d.At = known.At
		}
	}
	r.departures[d.Server] = d
	if len(r.departures) > maxDepartures {
		r.forgetDeparture()
	}
	return s != nil && !s.Leaving && !repeated
}

// forgetDeparture forgets the oldest departure of a server without an entry.
func (r *Registry) forgetDeparture() {
	oldest := ""
	for id, d := range r.departures {
		if r.servers[id] == nil && (oldest == "" || d.At.Before(r.departures[oldest].At)) {
			oldest = id
		}
	}
	delete(r.departures, oldest)
}

// leaving reports whether a server has announced or stated that it is leaving.
func (r *Registry) leaving(s *Server) bool {
	_, stated := r.departures[s.ID]
	return s.Leaving || stated
}

// Server returns the entry of a server, or nil if it has none.
func (r *Registry) Server(id string) *Server { return r.servers[id] }

// Servers returns a copy of the entries, keyed by server ID. Servers that have stated that they
// are leaving are marked as such.
func (r *Registry) Servers() map[string]*Server {
	servers := maps.Clone(r.servers)
	for id := range r.departures {
		if s := servers[id]; s != nil && !s.Leaving {
			leaving := *s
			leaving.Leaving = true
			servers[id] = &leaving
		}
	}
	return servers
}
