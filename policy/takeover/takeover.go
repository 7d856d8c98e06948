// Package takeover decides which instance runs the items of a batch job whose holder is
// lost or has given it back.
//
// A claim is a record in the store; the order of the records decides between claims, so
// that what this package decides is a preference only. It does no I/O and reads no
// clock. A Table is not safe for concurrent use.
package takeover

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
)

const (
	// startDelay is the time after the start in which the other instances are heard.
	// Jobs of others are not claimed before.
	startDelay = 2 * time.Second
	// lostAfter is the time for which a holder has to be silent before its jobs are
	// claimed, beyond the time after which it counts as lost.
	lostAfter = time.Second
	// rankStep is the time between the claims of one instance and the next in the
	// ranking, in which the first claim is read by all.
	rankStep = time.Second
	// claimRetry is the time after which a claim that has not shown is made again.
	claimRetry = 1500 * time.Millisecond
)

// Decision is what an instance does about a job.
type Decision uint8

// The decisions.
const (
	// Skip leaves the job to other instances.
	Skip Decision = iota
	// Run its items: this instance holds it.
	Run
	// Claim it.
	Claim
)

// Table is what one instance knows of the holders of jobs.
type Table struct {
	self    joblog.Holder
	started time.Time
	// free holds since when the holder of a job is not there.
	free map[string]time.Time
	// claimed holds when this instance claimed a job last.
	claimed map[string]time.Time
}

// NewTable returns the table of an instance that started at the given time.
func NewTable(self joblog.Holder, started time.Time) *Table {
	return &Table{self: self, started: started, free: map[string]time.Time{}, claimed: map[string]time.Time{}}
}

// Decide returns what to do about an open job. Alive holds the incarnations of the other
// instances that are heard and not leaving, by name.
func (t *Table) Decide(now time.Time, job string, holder joblog.Holder, alive map[string]uint32) Decision {
	if holder == t.self {
		t.Forget(job)
		return Run
	}
	if incarnation, ok := alive[holder.Instance]; ok && incarnation == holder.Incarnation {
		delete(t.free, job)
		return Skip
	}
	if now.Sub(t.claimed[job]) < claimRetry || !t.due(now, job, holder, alive) {
		return Skip
	}
	t.claimed[job] = now
	return Claim
}

// due reports whether it is this instance's turn to claim a job without a holder.
func (t *Table) due(now time.Time, job string, holder joblog.Holder, alive map[string]uint32) bool {
	// What this instance held under an earlier incarnation is lost for certain, and the
	// instance knows it first.
	if holder.Instance == t.self.Instance {
		return true
	}
	since, known := t.free[job]
	if !known {
		since = now
		t.free[job] = now
	}
	if now.Sub(t.started) < startDelay {
		return false
	}
	wait := time.Duration(t.position(job, alive)) * rankStep
	if holder.Instance != "" {
		wait += lostAfter
	}
	return now.Sub(since) >= wait
}

// position returns the number of instances that rank before this one for a job.
func (t *Table) position(job string, alive map[string]uint32) int {
	own, before := rank(job, t.self.Instance), 0
	for other := range alive {
		if v := rank(job, other); v > own || v == own && other > t.self.Instance {
			before++
		}
	}
	return before
}

// rank orders instances for a job by rendezvous hashing.
func rank(job, instance string) uint64 { return xxhash.Sum64String(job + "\x00" + instance) }

// Forget drops what is known of a job that is not open any more.
func (t *Table) Forget(job string) {
	delete(t.free, job)
	delete(t.claimed, job)
}
