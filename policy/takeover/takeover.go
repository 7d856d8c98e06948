// Package takeover decides which instance runs the items of a batch job whose holder is
// lost or has released it.
//
// A claim is a record in the store. If several instances claim a job, the order of their
// records decides which of them gets it, so that the decisions of this package need not
// exclude each other: they only keep the number of claims low. The package does no I/O and
// reads no clock. A Table is not safe for concurrent use.
package takeover

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
)

const (
	// startupDelay is the time after its start for which an instance claims no jobs of
	// others, because it has not heard from all of them yet.
	startupDelay = 2 * time.Second
	// lostHolderDelay is the time between the loss of a holder and the first claim of its
	// jobs. It comes on top of the time without messages after which a holder counts as
	// lost.
	lostHolderDelay = time.Second
	// rankDelay is the time by which each instance in the ranking claims later than the
	// one before it, and in which all instances can read the claim of that one.
	rankDelay = time.Second
	// claimRetryInterval is the time after which a claim that was not read back is
	// repeated.
	claimRetryInterval = 1500 * time.Millisecond
)

// Decision is what an instance does with a job.
type Decision uint8

// The decisions.
const (
	// Skip leaves the job to other instances.
	Skip Decision = iota
	// Run runs the items of the job: this instance holds it.
	Run
	// Claim writes a claim for the job.
	Claim
)

// Table is what one instance knows about jobs without a holder.
type Table struct {
	self    joblog.Holder
	started time.Time
	// withoutHolderSince holds, by job, the time at which its holder was first found
	// missing.
	withoutHolderSince map[string]time.Time
	// claimedAt holds, by job, the time of this instance's last claim.
	claimedAt map[string]time.Time
	// behind is set while this instance does not know the latest claims, and updatedAt is the time of the
	// last call of SetBehind.
	behind    bool
	updatedAt time.Time
}

// NewTable returns the table of an instance that started at the given time.
func NewTable(self joblog.Holder, started time.Time) *Table {
	return &Table{self: self, started: started, withoutHolderSince: map[string]time.Time{}, claimedAt: map[string]time.Time{}}
}

// SetBehind records whether this instance may lack claims of others, because it does not read their records
// in time. While it is behind it makes no claims: others may have claimed the jobs long ago, and void
// claims of many instances delay the records that all of them wait for. The delays before a claim go on
// afterwards; if they began anew, instances that are behind time and again would never claim.
func (t *Table) SetBehind(now time.Time, behind bool) {
	if t.behind {
		elapsed := now.Sub(t.updatedAt)
		for job, since := range t.withoutHolderSince {
			t.withoutHolderSince[job] = since.Add(elapsed)
		}
	}
	t.behind, t.updatedAt = behind, now
}

// Decide returns what to do with an open job. The map alive holds, by name, the
// incarnations of the other instances that are alive and not draining.
func (t *Table) Decide(now time.Time, job string, holder joblog.Holder, alive map[string]uint32) Decision {
	if holder == t.self {
		t.Forget(job)
		return Run
	}
	if incarnation, ok := alive[holder.Instance]; ok && incarnation == holder.Incarnation {
		delete(t.withoutHolderSince, job)
		return Skip
	}
	if t.behind || now.Sub(t.claimedAt[job]) < claimRetryInterval || !t.mayClaim(now, job, holder, alive) {
		return Skip
	}
	t.claimedAt[job] = now
	return Claim
}

// mayClaim reports whether it is this instance's turn to claim a job without a holder.
func (t *Table) mayClaim(now time.Time, job string, holder joblog.Holder, alive map[string]uint32) bool {
	// An earlier incarnation of this instance is lost for certain, and this instance is
	// the first to know.
	if holder.Instance == t.self.Instance {
		return true
	}
	since, known := t.withoutHolderSince[job]
	if !known {
		since = now
		t.withoutHolderSince[job] = now
	}
	if now.Sub(t.started) < startupDelay {
		return false
	}
	wait := time.Duration(t.rankPosition(job, alive)) * rankDelay
	if holder.Instance != "" {
		wait += lostHolderDelay
	}
	return now.Sub(since) >= wait
}

// rankPosition returns the number of live instances that rank before this one for a job.
func (t *Table) rankPosition(job string, alive map[string]uint32) int {
	own, position := rendezvousWeight(job, t.self.Instance), 0
	for other := range alive {
		if weight := rendezvousWeight(job, other); weight > own || weight == own && other > t.self.Instance {
			position++
		}
	}
	return position
}

// rendezvousWeight returns the weight of an instance for a job in rendezvous hashing. The
// instance with the highest weight ranks first.
func rendezvousWeight(job, instance string) uint64 {
	return xxhash.Sum64String(job + "\x00" + instance)
}

// Forget drops what is known about a job that has ended or that this instance holds.
func (t *Table) Forget(job string) {
	delete(t.withoutHolderSince, job)
	delete(t.claimedAt, job)
}
