package partition

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// canonical returns a text of the state that must be equal for all readers of the same
// records.
func canonical(s *State) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "epoch %d seq %d owner %v base %d ready %v since %d %d\n", s.epoch, s.seq, s.owner, s.base, s.Ready(), s.recordsSinceSnapshot, s.bytesSinceSnapshot)
	if s.snapshot != nil {
		fmt.Fprintf(&b, "snapshot %d %v %v %d\n", s.snapshot.beginOffset, s.snapshot.queue, s.snapshot.cursor, s.snapshot.restatedCount)
	}
	var aggregates []aggregateID
	for r := range s.calls {
		aggregates = append(aggregates, callAggregate(r))
	}
	for r := range s.keys {
		aggregates = append(aggregates, keyAggregate(r))
	}
	for id := range s.files {
		aggregates = append(aggregates, aggregateID{kind: kindFile, id: id})
	}
	for id, j := range s.jobs {
		aggregates = append(aggregates, aggregateID{kind: kindJob, id: id})
		if (s.activeJobs[id] == j) == j.Terminal() {
			fmt.Fprintf(&b, "job %s is active and terminal, or neither\n", id)
		}
	}
	slices.SortFunc(aggregates, aggregateID.compare)
	for _, agg := range aggregates {
		var e *recordpb.Entry
		switch agg.kind {
		case kindCall:
			e = s.calls[agg.ref].restate(agg.ref)
		case kindKey:
			e = s.keys[agg.ref].restate(agg.ref)
		case kindFile:
			e, _, _ = s.files[agg.id].restate(Range{}, math.MaxInt32)
		case kindJob:
			e, _, _ = s.jobs[agg.id].restate(Range{}, math.MaxInt32)
		}
		p, err := proto.MarshalOptions{Deterministic: true}.Marshal(e)
		if err != nil {
			panic(err)
		}
		fmt.Fprintf(&b, "%v %x\n", agg, p)
	}
	fmt.Fprintf(&b, "open %d\n", len(s.unfinishedCalls))
	return b.String()
}

func outcomes(j *Job) []byte {
	return fmt.Append(nil, j.done.encode(), j.failed.encode(), j.unknown.encode())
}

// check compares the acknowledgements of the run with the records of the log, and the
// states of all readers with each other.
func (m *sim) check() {
	s := New()
	bases := []int64{}
	finished, claims := map[string]int{}, map[string]bool{}
	for off, p := range m.log {
		a := s.Apply(int64(off), p)
		for _, e := range a.Events {
			switch e := e.(type) {
			case *Claimed:
				if c := a.Batch.Entries[0].GetClaim().String(); claims[c] {
					m.fail("a duplicate of the claim %s is valid at offset %d", c, off)
				} else {
					claims[c] = true
				}
			case *SnapshotCompleted:
				bases = append(bases, e.Base)
			case *ItemsFinished:
				for _, i := range e.Items {
					finished[fmt.Sprint(e.JobID, "/", i)]++
				}
			case *CallStarted:
				if m.refused[e.Attempt] {
					m.fail("attempt %s of %v is started after it was refused as not run", e.Attempt, e.Ref)
				}
			}
		}
	}
	m.counts["snapshots"] = len(bases)
	for id, n := range finished {
		if n != 1 {
			m.fail("item %s finished %d times", id, n)
		}
	}
	for r, want := range m.acked {
		c, ok := s.Call(r)
		if !ok || !c.Finished() {
			m.fail("acknowledged result of %v is lost", r)
		}
		if got := m.readResult(r, c.At); got != want {
			m.fail("%v has result %q, but %q was acknowledged", r, got, want)
		}
	}
	for id := range m.itemAcked {
		if finished[id] != 1 {
			m.fail("acknowledged result of item %s is lost", id)
		}
	}
	for id := range m.created {
		if _, ok := s.Job(id); !ok {
			m.fail("acknowledged job %s is lost", id)
		}
	}
	for id, want := range m.cancelOutcomes {
		if j, ok := s.Job(id); !ok || !bytes.Equal(outcomes(j), want) {
			m.fail("results of job %s changed after its cancellation was acknowledged", id)
		}
	}
	s.ForEachJob(m.checkResults)
	want := canonical(s)
	for _, base := range bases {
		m.checkReader(NewFromSnapshot(base), want, fmt.Sprint("reader from base ", base))
	}
	for _, o := range m.owners {
		m.checkReader(o.state, want, "owner "+o.name)
	}
}

// checkResults reads the results of a job from the log through its list of ranges.
func (m *sim) checkResults(j *Job) {
	seen := map[uint32]bool{}
	for _, r := range j.Results {
		b, err := record.Decode(m.log[r.Offset])
		if err != nil {
			m.fail("results at %v: %v", r, err)
		}
		list := ItemResultsAt(j.Created.JobId, r, b)
		if list == nil {
			m.fail("no results at %v", r)
		}
		for _, x := range list {
			if seen[x.Item] || j.Outcome(x.Item) != x.Outcome {
				m.fail("result of item %d at %v is a duplicate or not the valid one", x.Item, r)
			}
			seen[x.Item] = true
		}
	}
	if len(seen) != int(j.FinishedCount()) {
		m.fail("job %s has %d finished items and %d results", j.Created.JobId, j.FinishedCount(), len(seen))
	}
}

func (m *sim) checkReader(s *State, want, who string) {
	for off := s.NextOffset(); off < int64(len(m.log)); off++ {
		s.Apply(off, m.log[off])
	}
	if got := canonical(s); got != want {
		m.fail("%s has another state:\n%s\nwant\n%s", who, got, want)
	}
}

// Guards against lost acknowledged results, duplicate runs, runs after a refusal (also
// of an attempt whose entry was withdrawn from a batch whose appends all failed),
// results after a cancellation, and readers with different states, under lost append
// responses, delayed and duplicate appends, log outages, pauses and restarts.
func TestSchedule(t *testing.T) {
	var mu sync.Mutex
	total := map[string]int{}
	t.Run("seeds", func(t *testing.T) {
		for seed := *simFirstSeed; seed < *simFirstSeed+*simSeeds; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				m := newSim(t, seed)
				m.run()
				m.check()
				mu.Lock()
				defer mu.Unlock()
				for name, n := range m.counts {
					total[name] += n
				}
			})
		}
	})
	t.Logf("%d seeds: %v", *simSeeds, total)
	// Schedules without activity would pass all checks.
	for _, name := range []string{"claims", "call runs", "results acknowledged", "item runs", "cancels acknowledged", "snapshots", "copies", "withdrawn in flight"} {
		if uint64(total[name]) < *simSeeds/10 {
			t.Errorf("%d seeds have only %d %s in total", *simSeeds, total[name], name)
		}
	}
}
