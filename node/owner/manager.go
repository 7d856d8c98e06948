package owner

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/stream"
)

const (
	// reconcilePeriod is how often the preference is checked without a change notification.
	reconcilePeriod = time.Second
	// sequenceBits is the width of the counter in the low bits of an owner's
	// incarnation. Each partitionOwner of a process has its own incarnation, so
	// that it does not mistake the claim of a predecessor, read during its
	// replay, for its own.
	sequenceBits = 24
)

// Manager decides which partitions this instance owns and routes requests to their owners.
type Manager struct {
	opts     Options
	reader   *reader
	notifier *stopNotifier
	sequence atomic.Uint64
	wake     chan struct{}

	mu         sync.Mutex
	owners     map[int]*partitionOwner
	backoffs   map[int]*claimBackoff
	draining   bool
	claimSlots int // slots in use, by owners that replay or claim
	owned      int
}

// claimBackoff delays the next claim of a partition after its owner has ended.
type claimBackoff struct {
	failures  int
	notBefore time.Time
}

// NewManager returns a manager that owns no partition until Run.
func NewManager(o Options) *Manager {
	o = o.withDefaults()
	return &Manager{opts: o, reader: newReader(o.Log, o.CacheBytes), notifier: newStopNotifier(o.Peers, o.Preference),
		wake: make(chan struct{}, 1), owners: map[int]*partitionOwner{}, backoffs: map[int]*claimBackoff{}}
}

// Run claims and owns the preferred partitions until ctx ends, then stops
// without releasing any; see Drain.
func (m *Manager) Run(ctx context.Context) {
	var running conc.WaitGroup
	defer running.Wait()
	running.Go(func() { m.notifier.run(ctx) })
	ticker := time.NewTicker(reconcilePeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, task := range m.reconcile(ctx, time.Now()) {
			running.Go(task)
		}
		select {
		case <-ctx.Done():
		case <-m.opts.Preference.Changes():
		case <-m.wake:
		case <-ticker.C:
		}
	}
}

// reconcile compares the owned with the preferred partitions. It returns the
// tasks that start and release owners, each to be run in a goroutine.
func (m *Manager) reconcile(ctx context.Context, now time.Time) (tasks []func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// A random order keeps instances that prefer the same partitions from
	// claiming them in the same sequence.
	for _, number := range rand.Perm(m.opts.Partitions) {
		_, self := m.opts.Preference.Preferred(number)
		owner := m.owners[number]
		switch {
		case owner != nil && (!self || m.draining):
			cause := "another instance is preferred"
			if m.draining {
				cause = "drain"
			}
			if !owner.releaseRequested.Swap(true) {
				tasks = append(tasks, func() { owner.release(cause) })
			}
		case owner == nil && self && !m.draining && m.claimSlots < m.opts.MaxClaims && m.mayClaim(number, now):
			owner = newPartitionOwner(ctx, m, number, m.opts.Incarnation<<sequenceBits|m.sequence.Add(1))
			m.owners[number] = owner
			m.claimSlots++
			tasks = append(tasks, func() { m.runOwner(owner) })
		}
	}
	return tasks
}

func (m *Manager) mayClaim(number int, now time.Time) bool {
	backoff := m.backoffs[number]
	return backoff == nil || !now.Before(backoff.notBefore)
}

// runOwner runs an owner until it ends, then schedules the earliest next claim of
// its partition: the delay grows with each failure in a row.
func (m *Manager) runOwner(owner *partitionOwner) {
	owner.run()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.owners, owner.number)
	backoff := m.backoffs[owner.number]
	if backoff == nil || owner.wasOwner {
		backoff = &claimBackoff{}
		m.backoffs[owner.number] = backoff
	}
	backoff.failures++
	backoff.notBefore = time.Now().Add(stream.Backoff(backoff.failures))
	m.wakeUp()
}

func (m *Manager) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// phaseChanged updates the number of claim slots in use. An owner that waits for
// another instance to release the partition uses none.
func (m *Manager) phaseChanged(old, current phase) {
	usesSlot := func(p phase) bool { return p == phaseReplaying || p == phaseClaiming }
	m.mu.Lock()
	defer m.mu.Unlock()
	if usesSlot(old) && !usesSlot(current) {
		m.claimSlots--
	} else if !usesSlot(old) && usesSlot(current) {
		m.claimSlots++
	}
	if old == phaseOwning {
		m.owned--
		partitionsOwned.Add(-1)
	}
	if current == phaseOwning {
		m.owned++
		partitionsOwned.Add(1)
	}
	m.wakeUp()
}

// Drain releases every partition and stops claiming. It returns when all are
// released or ctx ends.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	m.wakeUp()
	poll := time.NewTicker(10 * time.Millisecond)
	defer poll.Stop()
	for {
		m.mu.Lock()
		remaining := len(m.owners)
		m.mu.Unlock()
		if remaining == 0 {
			klog.InfoS("all partitions released")
			return nil
		}
		select {
		case <-ctx.Done():
			klog.InfoS("drain ended with partitions still owned", "partitions", remaining)
			return ctx.Err()
		case <-poll.C:
		}
	}
}

// Owned returns the partitions that this instance owns, in ascending order.
func (m *Manager) Owned() []int {
	var out []int
	for _, owner := range m.activeOwners() {
		out = append(out, owner.number)
	}
	return out
}

// activeOwners returns the owners whose claim is in force, in ascending order of partitions.
func (m *Manager) activeOwners() []*partitionOwner {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*partitionOwner
	for _, owner := range m.owners {
		if owner.currentPhase() == phaseOwning {
			out = append(out, owner)
		}
	}
	slices.SortFunc(out, func(a, b *partitionOwner) int { return cmp.Compare(a.number, b.number) })
	return out
}

// ownerOf returns the local owner of a partition, or nil and the instance to ask instead.
func (m *Manager) ownerOf(number int) (*partitionOwner, string) {
	m.mu.Lock()
	owner := m.owners[number]
	m.mu.Unlock()
	if owner != nil {
		return owner, ""
	}
	return nil, m.preferredOther(number)
}

// preferredOther returns the preferred instance unless it is this one.
func (m *Manager) preferredOther(number int) string {
	if number < 0 || number >= m.opts.Partitions {
		return ""
	}
	if instance, self := m.opts.Preference.Preferred(number); !self {
		return instance
	}
	return ""
}

// Epoch returns the epoch (fencing token) of a partition and whether this instance owns it.
func (m *Manager) Epoch(ctx context.Context, partition int) (epoch uint64, held bool) {
	owner, _ := m.ownerOf(partition)
	if owner == nil {
		return 0, false
	}
	epoch, refusal := currentEpoch(ctx, owner)
	return epoch, refusal == nil
}

// Backlog returns the pending items of the partitions of this instance, by model.
func (m *Manager) Backlog() []Backlog {
	models := map[string]*Backlog{}
	for _, owner := range m.activeOwners() {
		perModel := owner.backlog.Load()
		if perModel == nil {
			continue
		}
		for _, b := range *perModel {
			sum := models[b.Model]
			if sum == nil {
				sum = &Backlog{Model: b.Model, EarliestDueMs: b.EarliestDueMs}
				models[b.Model] = sum
			}
			sum.Items += b.Items
			sum.EarliestDueMs = min(sum.EarliestDueMs, b.EarliestDueMs)
			sum.JobsAtRisk += b.JobsAtRisk
			sum.ItemsPerSecond += b.ItemsPerSecond
		}
	}
	out := make([]Backlog, 0, len(models))
	for _, b := range models {
		out = append(out, *b)
	}
	slices.SortFunc(out, func(a, b Backlog) int { return cmp.Compare(a.Model, b.Model) })
	return out
}
