// Package list is a stand-in for the platform's directory, the list of live and leaving
// instances and backend servers.
//
// Entries are set by an administrator, or instances and servers register themselves. Changes
// become visible after a lag, as on the platform.
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

// Options configures a List.
type Options struct {
	// TTL is the time after which a registration that is not renewed expires; zero means
	// never.
	TTL kit.Duration `help:"Time after which a registration that is not renewed ends; 0 for never." default:"0s"`
	// Clock is the time source; nil means the system clock.
	Clock kit.Clock `kong:"-"`
}

// Faults are the faults to inject. They can be changed while the list runs.
type Faults struct {
	Latency kit.Duration `json:"latency" help:"Delay of each request." default:"0s"`
	Outage  bool         `json:"outage" help:"Refuse all reads with status 503."`
	// ArrivalLag is the delay until new entries become visible, DepartureLag that of leaving
	// marks and removals.
	ArrivalLag   kit.Duration `json:"arrival_lag" help:"Time until an arrival is visible." default:"0s"`
	DepartureLag kit.Duration `json:"departure_lag" help:"Time until a leaving mark or a removal is visible." default:"0s"`
	Frozen       bool         `json:"frozen" help:"Answer reads with the last visible state and apply no change."`
}

// registration is an instance or server as registered.
type registration[T any] struct {
	entry     T
	expiresAt time.Time // zero for never
}

// change is a change that becomes visible at a later time.
type change[T any] struct {
	at    time.Time // when it becomes visible
	id    string
	value *T // nil for a removal
	// sequence orders the changes. Because the lags differ, a change can be due after a
	// newer change of the same entry. It is then ignored, so that the visible entries converge
	// to the registrations.
	sequence uint64
}

// table holds the entries of one kind, instances or servers.
type table[T any] struct {
	registered      map[string]registration[T]
	visible         map[string]T
	pending         []change[T]       // sorted by at
	lastSequence    uint64            // of the newest change
	appliedSequence map[string]uint64 // of the newest applied change of each entry, by id
}

func newTable[T any]() table[T] {
	return table[T]{registered: make(map[string]registration[T]), visible: make(map[string]T), appliedSequence: make(map[string]uint64)}
}

// schedule adds a pending change.
func (t *table[T]) schedule(c change[T]) {
	t.lastSequence++
	c.sequence = t.lastSequence
	i, _ := slices.BinarySearchFunc(t.pending, c.at, func(p change[T], at time.Time) int {
		if p.at.After(at) {
			return 1
		}
		return -1
	})
	t.pending = slices.Insert(t.pending, i, c)
}

// apply makes the due changes visible.
func (t *table[T]) apply(now time.Time) {
	for len(t.pending) > 0 && !t.pending[0].at.After(now) {
		c := t.pending[0]
		t.pending = t.pending[1:]
		if c.sequence < t.appliedSequence[c.id] {
			continue
		}
		t.appliedSequence[c.id] = c.sequence
		if c.value == nil {
			delete(t.visible, c.id)
		} else {
			t.visible[c.id] = *c.value
		}
	}
}

// expire removes the expired registrations. The removals become visible after the lag.
func (t *table[T]) expire(now time.Time, lag time.Duration) {
	for id, r := range t.registered {
		if !r.expiresAt.IsZero() && r.expiresAt.Before(now) {
			delete(t.registered, id)
			t.schedule(change[T]{at: r.expiresAt.Add(lag), id: id})
		}
	}
}

// sorted returns the visible entries, sorted by id.
func (t *table[T]) sorted() []T {
	out := make([]T, 0, len(t.visible))
	for _, id := range slices.Sorted(maps.Keys(t.visible)) {
		out = append(out, t.visible[id])
	}
	return out
}

// List is the stand-in. It is safe for concurrent use.
type List struct {
	*kit.Server
	opts Options

	mu        sync.Mutex
	faults    Faults
	instances table[port.InstanceEntry]
	servers   table[port.ServerEntry]
}

// New returns a list. Start starts it.
func New(opts Options, faults Faults) *List {
	if opts.Clock == nil {
		opts.Clock = kit.RealClock{}
	}
	l := &List{
		opts: opts, faults: faults,
		instances: newTable[port.InstanceEntry](), servers: newTable[port.ServerEntry](),
	}
	app := kit.NewFiber()
	app.Get("/v1/listing", l.handleListing)
	app.Post("/v1/instances", handleRegister(func(e port.InstanceEntry) string { return e.ID }, func(e port.InstanceEntry) { l.SetInstance(e, opts.TTL.Std()) }))
	app.Post("/v1/servers", handleRegister(func(e port.ServerEntry) string { return e.ID }, func(e port.ServerEntry) { l.SetServer(e, opts.TTL.Std()) }))
	app.Delete("/v1/instances/:id", handleRemove(l.RemoveInstance))
	app.Delete("/v1/servers/:id", handleRemove(l.RemoveServer))
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

func handleRegister[T any](id func(T) string, set func(T)) fiber.Handler {
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

func handleRemove(removeEntry func(string)) fiber.Handler {
	return func(c fiber.Ctx) error {
		removeEntry(string([]byte(c.Params("id"))))
		return c.SendStatus(fiber.StatusNoContent)
	}
}

// Faults returns the injected faults.
func (l *List) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// SetFaults replaces the injected faults.
func (l *List) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// SetInstance adds or replaces an instance. With a ttl of zero it does not expire.
func (l *List) SetInstance(e port.InstanceEntry, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	register(l, &l.instances, e.ID, e, e.Leaving, ttl)
}

// SetServer adds or replaces a server. With a ttl of zero it does not expire.
func (l *List) SetServer(e port.ServerEntry, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	register(l, &l.servers, e.ID, e, e.Leaving, ttl)
}

// RemoveInstance removes an instance.
func (l *List) RemoveInstance(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	remove(l, &l.instances, id)
}

// RemoveServer removes a server.
func (l *List) RemoveServer(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	remove(l, &l.servers, id)
}

// SetListing replaces all entries, with the same lag as changes of single entries.
func (l *List) SetListing(listing port.Listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	instanceIDs, serverIDs := make(map[string]bool), make(map[string]bool)
	for _, e := range listing.Instances {
		instanceIDs[e.ID] = true
		register(l, &l.instances, e.ID, e, e.Leaving, 0)
	}
	for _, e := range listing.Servers {
		serverIDs[e.ID] = true
		register(l, &l.servers, e.ID, e, e.Leaving, 0)
	}
	for id := range l.instances.registered {
		if !instanceIDs[id] {
			remove(l, &l.instances, id)
		}
	}
	for id := range l.servers.registered {
		if !serverIDs[id] {
			remove(l, &l.servers, id)
		}
	}
}

// register adds, replaces or renews a registration. The caller holds the list's mu.
func register[T comparable](l *List, t *table[T], id string, value T, leaving bool, ttl time.Duration) {
	now := l.opts.Clock.Now()
	r := registration[T]{entry: value}
	if ttl > 0 {
		r.expiresAt = now.Add(ttl)
	}
	previous, known := t.registered[id]
	t.registered[id] = r
	if known && previous.entry == value {
		return // the registration was renewed without a change
	}
	lag := l.faults.ArrivalLag.Std()
	if leaving {
		lag = l.faults.DepartureLag.Std()
	}
	t.schedule(change[T]{at: now.Add(lag), id: id, value: &value})
}

// remove removes a registration. The caller holds the list's mu.
func remove[T any](l *List, t *table[T], id string) {
	if _, known := t.registered[id]; !known {
		return
	}
	delete(t.registered, id)
	t.schedule(change[T]{at: l.opts.Clock.Now().Add(l.faults.DepartureLag.Std()), id: id})
}

// Visible returns the entries that are visible to readers.
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

func (l *List) handleListing(c fiber.Ctx) error {
	f := l.Faults()
	if err := kit.Sleep(context.Background(), l.opts.Clock, f.Latency.Std()); err != nil {
		return err
	}
	if f.Outage {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.JSON(l.Visible())
}
