// Package weights is a stand-in for the platform's rate-limited weight store.
package weights

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/standin/kit"
)

// Options configures a Store.
type Options struct {
	// Rate is the maximum number of grants per second, and Burst the number that can be
	// made at once.
	Rate  float64 `help:"Grants per second; 0 for no limit." default:"0.2"`
	Burst float64 `help:"Grants that may come at once." default:"2"`
	// ModelBytes and AdapterBytes are the sizes reported in grants.
	ModelBytes   int64 `help:"Size of a model in bytes." default:"16000000000"`
	AdapterBytes int64 `help:"Size of an adapter in bytes." default:"200000000"`
	// Validity is the time until a grant expires.
	Validity kit.Duration `help:"Time for which a grant is valid." default:"5m"`
	// Clock is the time source; nil means the system clock.
	Clock kit.Clock `kong:"-"`
}

// Faults are the faults to inject. They can be changed while the store runs.
type Faults struct {
	Latency  kit.Duration `json:"latency" help:"Delay of each request." default:"0s"`
	Outage   bool         `json:"outage" help:"Refuse all requests with status 503."`
	LoseNext int          `json:"lose_next" help:"Lose the answers of the next N grants."`
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	*kit.Server
	opts    Options
	limiter kit.TokenBucket

	mu     sync.Mutex
	faults Faults
	grants []GrantRecord
}

// GrantRecord is a grant with the weights that were requested and the time of the grant.
type GrantRecord struct {
	port.WeightRef
	port.Grant
	At time.Time `json:"at"`
}

// New returns a store. Start starts it.
func New(opts Options, faults Faults) *Store {
	if opts.Clock == nil {
		opts.Clock = kit.RealClock{}
	}
	s := &Store{opts: opts, faults: faults}
	app := kit.NewFiber()
	app.Post("/v1/grants", s.handleReserve)
	app.Get("/admin/grants", func(c fiber.Ctx) error { return c.JSON(s.Grants()) })
	kit.RegisterFiberFaults(app, s.Faults, s.SetFaults)
	s.Server = kit.NewServer(kit.ServeFiber(app))
	return s
}

// Faults returns the injected faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Grants returns all grants, including those that have expired.
func (s *Store) Grants() []GrantRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.grants)
}

func (s *Store) handleReserve(c fiber.Ctx) error {
	f := s.Faults()
	if err := kit.Sleep(context.Background(), s.opts.Clock, f.Latency.Std()); err != nil {
		return err
	}
	if f.Outage {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	var ref port.WeightRef
	if err := json.Unmarshal(c.Body(), &ref); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	now := s.opts.Clock.Now()
	if ok, wait := s.limiter.Take(now, s.opts.Rate, max(1, s.opts.Burst)); !ok {
		c.Set(fiber.HeaderRetryAfter, strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
		return c.SendStatus(fiber.StatusTooManyRequests)
	}
	size := s.opts.ModelBytes
	if ref.Adapter != "" {
		size = s.opts.AdapterBytes
	}
	s.mu.Lock()
	g := port.Grant{ID: fmt.Sprintf("grant-%d", len(s.grants)+1), Bytes: size, Expires: now.Add(s.opts.Validity.Std())}
	s.grants = append(s.grants, GrantRecord{WeightRef: ref, Grant: g, At: now})
	lose := kit.FaultApplies(&s.faults.LoseNext, 0, 0)
	s.mu.Unlock()
	if lose {
		return kit.CloseWithoutResponse(c)
	}
	return c.JSON(g)
}
