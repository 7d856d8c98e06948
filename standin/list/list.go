// Package list is a stand-in for the platform's list of live and leaving
// instances and backend servers.
//
// Entries are set by an administrator or register themselves. Changes become
// visible after a lag, as they do on the platform.
package list

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/standin/kit"
)

// Options are the properties of the list that do not change while it runs.
type Options struct {
	// TTL ends registrations that are not renewed; zero for never.
	TTL kit.Duration `help:"Time after which a registration that is not renewed ends; 0 for never." default:"0s"`
	// Clock is the time source; the system's clock when nil.
	Clock kit.Clock `kong:"-"`
}

// Faults can be changed at any time.
type Faults struct {
	Latency kit.Duration `json:"latency" help:"Delay of each request." default:"0s"`
	Outage  bool         `json:"outage" help:"Refuse all reads with status 503."`
	// ArrivalLag delays new entries, DepartureLag leaving marks and removals.
	ArrivalLag   kit.Duration `json:"arrival_lag" help:"Time until an arrival is visible." default:"0s"`
	DepartureLag kit.Duration `json:"departure_lag" help:"Time until a leaving mark or a removal is visible." default:"0s"`
	Frozen       bool         `json:"frozen" help:"Answer reads with the last visible state and apply no change."`
}

// entry is one instance or server as registered and as visible.
type entry[T any] struct {
	actual  T
	expires time.Time // zero for never
}

type change[T any] struct {
	at    time.Time
	id    string
	value *T // nil for a removal
	// number orders the changes. The lags differ, so that a change can become due
	// after a newer one of the same entry; it is void then, since the list must
	// come to agree with the registrations.
	number uint64
}

// table holds the entries of one kind.
type table[T any] struct {
	actual  map[string]entry[T]
	visible map[string]T
	pending []change[T]       // in order of at
	last    uint64            // number of the last change
	shown   map[string]uint64 // number of the change that is visible, by id
}

func newTable[T any]() table[T] {
	return table[T]{actual: make(map[string]entry[T]), visible: make(map[string]T), shown: make(map[string]uint64)}
}

func (t *table[T]) schedule(c change[T]) {
	t.last++
	c.number = t.last
	i, _ := slices.BinarySearchFunc(t.pending, c.at, func(p change[T], at time.Time) int {
		if p.at.After(at) {
			return 1
		}
		return -1
	})
	t.pending = slices.Insert(t.pending, i, c)
}

func (t *table[T]) apply(now time.Time) {
	for len(t.pending) > 0 && !t.pending[0].at.After(now) {
		c := t.pending[0]
		t.pending = t.pending[1:]
		if c.number < t.shown[c.id] {
			continue
		}
		t.shown[c.id] = c.number
		if c.value == nil {
			delete(t.visible, c.id)
		} else {
			t.visible[c.id] = *c.value
		}
	}
}

func (t *table[T]) expire(now time.Time, lag time.Duration) {
	for id, e := range t.actual {
		if !e.expires.IsZero() && e.expires.Before(now) {
			delete(t.actual, id)
			t.schedule(change[T]{at: e.expires.Add(lag), id: id})
		}
	}
}

func (t *table[T]) sorted() []T {
	out := make([]T, 0, len(t.visible))
	for _, id := range slices.Sorted(maps.Keys(t.visible)) {
		out = append(out, t.visible[id])
	}
	return out
}

// List is the stand-in. All methods are safe for concurrent use.
type List struct {
	*kit.Server
	opts Options

	mu        sync.Mutex
	faults    Faults
	instances table[port.InstanceEntry]
	servers   table[port.ServerEntry]
}

// New returns a list that is not started.
func New(opts Options, faults Faults) *List {
	if opts.Clock == nil {
		opts.Clock = kit.RealClock{}
	}
	l := &List{
		opts: opts, faults: faults,
		instances: newTable[port.InstanceEntry](), servers: newTable[port.ServerEntry](),
	}
	app := kit.NewFiber()
	app.Get("/v1/listing", l.get)
	app.Post("/v1/instances", register(func(e port.InstanceEntry) string { return e.ID }, func(e port.InstanceEntry) { l.SetInstance(e, opts.TTL.Std()) }))
	app.Post("/v1/servers", register(func(e port.ServerEntry) string { return e.ID }, func(e port.ServerEntry) { l.SetServer(e, opts.TTL.Std()) }))
	app.Delete("/v1/instances/:id", remove(l.RemoveInstance))
	app.Delete("/v1/servers/:id", remove(l.RemoveServer))
	app.Put("/admin/listing", func(c fiber.Ctx) error {
		var listing port.Listing
		if err := json.Unmarshal(c.Body(), &listing); err != nil {
			return fiber.NewError(fiber.StatusBadRequest, err.Error())
		}
		l.SetListing(listing)
		return c.SendStatus(fiber.StatusNoContent)
	})
	kit.RegisterFiberFaults(app, l.Faults, l.SetFaults)
	l.Server = kit.NewServer(kit.ServeFiber(app))
	return l
}

func register[T any](id func(T) string, set func(T)) fiber.Handler {
	return func(c fiber.Ctx) error {
		var e T
		if err := json.Unmarshal(c.Body(), &e); err != nil {
			return fiber.NewError(fiber.StatusBadRequest, err.Error())
		}
		if id(e) == "" {
			return fiber.NewError(fiber.StatusBadRequest, "id is missing")
		}
		set(e)
		return c.SendStatus(fiber.StatusNoContent)
	}
}

func remove(f func(string)) fiber.Handler {
	return func(c fiber.Ctx) error {
		f(string([]byte(c.Params("id"))))
		return c.SendStatus(fiber.StatusNoContent)
	}
}

// Faults returns the current faults.
func (l *List) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// SetFaults replaces the faults.
func (l *List) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// SetInstance adds or replaces an instance; ttl zero keeps it until it is removed.
func (l *List) SetInstance(e port.InstanceEntry, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	set(l, &l.instances, e.ID, e, e.Leaving, ttl)
}

// SetServer adds or replaces a server; ttl zero keeps it until it is removed.
func (l *List) SetServer(e port.ServerEntry, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	set(l, &l.servers, e.ID, e, e.Leaving, ttl)
}

// RemoveInstance removes an instance.
func (l *List) RemoveInstance(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	drop(l, &l.instances, id)
}

// RemoveServer removes a server.
func (l *List) RemoveServer(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	drop(l, &l.servers, id)
}

// SetListing replaces all entries, with the same lag as single changes.
func (l *List) SetListing(listing port.Listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	instances, servers := make(map[string]bool), make(map[string]bool)
	for _, e := range listing.Instances {
		instances[e.ID] = true
		set(l, &l.instances, e.ID, e, e.Leaving, 0)
	}
	for _, e := range listing.Servers {
		servers[e.ID] = true
		set(l, &l.servers, e.ID, e, e.Leaving, 0)
	}
	for id := range l.instances.actual {
		if !instances[id] {
			drop(l, &l.instances, id)
		}
	}
	for id := range l.servers.actual {
		if !servers[id] {
			drop(l, &l.servers, id)
		}
	}
}

func set[T comparable](l *List, t *table[T], id string, value T, leaving bool, ttl time.Duration) {
	now := l.opts.Clock.Now()
	e := entry[T]{actual: value}
	if ttl > 0 {
		e.expires = now.Add(ttl)
	}
	old, known := t.actual[id]
	t.actual[id] = e
	if known && old.actual == value {
		return // a renewal
	}
	lag := l.faults.ArrivalLag.Std()
	if leaving {
		lag = l.faults.DepartureLag.Std()
	}
	t.schedule(change[T]{at: now.Add(lag), id: id, value: &value})
}

func drop[T any](l *List, t *table[T], id string) {
	if _, known := t.actual[id]; !known {
		return
	}
	delete(t.actual, id)
	t.schedule(change[T]{at: l.opts.Clock.Now().Add(l.faults.DepartureLag.Std()), id: id})
}

// Visible returns what a read returns now.
func (l *List) Visible() port.Listing {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.faults.Frozen {
		now, lag := l.opts.Clock.Now(), l.faults.DepartureLag.Std()
		l.instances.expire(now, lag)
		l.servers.expire(now, lag)
		l.instances.apply(now)
		l.servers.apply(now)
	}
	return port.Listing{Instances: l.instances.sorted(), Servers: l.servers.sorted()}
}

func (l *List) get(c fiber.Ctx) error {
	f := l.Faults()
	if err := kit.Sleep(context.Background(), l.opts.Clock, f.Latency.Std()); err != nil {
		return err
	}
	if f.Outage {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.JSON(l.Visible())
}
