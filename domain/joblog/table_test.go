package joblog

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// drawRecord draws a record about one of two jobs; records of the same kind may conflict.
func drawRecord(t *rapid.T) *Record {
	job := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "job")
	item := rapid.IntRange(-1, 4).Draw(t, "item")
	n := rapid.IntRange(1, 3).Draw(t, "n")
	holder := func(i int) Holder { return Holder{Instance: fmt.Sprint(i)} }
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		return &Record{Accepted: &Accepted{Job: job, Items: 2 + n, Holder: holder(n), Route: "r", Tokens: []int64{5, -3, 7}}}
	case 1:
		return &Record{Result: &Result{Job: job, Item: item, ID: fmt.Sprint(item), State: Completed, Reason: fmt.Sprint(n)}}
	case 2:
		return &Record{Progress: &Progress{Job: job, Item: item, LastEvent: int64(n)}}
	}
	if rapid.Bool().Draw(t, "claim") {
		return &Record{Claimed: &Claimed{Job: job, From: holder(n), To: holder(rapid.IntRange(1, 3).Draw(t, "to"))}}
	}
	return &Record{Ended: &Ended{Job: job}}
}

// Guards, in the presence of duplicate, delayed and ignored records, against a result
// that changes its position, an item with two results, a second acceptance that replaces
// the first, a claim from an instance that does not hold the job taking effect, and
// different states from the same records.
func TestApplyKeepsFirstRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := NewTable(), NewTable()
		positions := map[string][]string{}
		holders := map[string]string{}
		n := rapid.IntRange(1, 60).Draw(t, "records")
		for offset := range int64(n) {
			raw, err := drawRecord(t).Encode()
			if err != nil {
				t.Fatal(err)
			}
			one.Apply(epoch, offset, raw)
			two.Apply(epoch, offset, raw)
			if rapid.Bool().Draw(t, "again") {
				one.Apply(epoch, offset, raw) // duplicate read of the record
			}
			if r, _ := Decode(raw); r.Claimed != nil && one.Job(r.Claimed.Job) != nil {
				if holders[r.Claimed.Job] == r.Claimed.From.Instance {
					holders[r.Claimed.Job] = r.Claimed.To.Instance
				}
			}
			checkWaiting(t, one)
			one.ForEach(func(j *Job) {
				seen := map[int]bool{}
				for i, r := range j.Results {
					if seen[r.Item] {
						t.Fatalf("item %d of %s has two results", r.Item, j.Job)
					}
					seen[r.Item] = true
					text := r.ID + r.Reason
					if list := positions[j.Job]; i < len(list) && list[i] != text {
						t.Fatalf("position %d of %s changed from %s to %s", i, j.Job, list[i], text)
					} else if i >= len(list) {
						positions[j.Job] = append(list, text)
					}
				}
				if h, ok := holders[j.Job]; ok && h != j.Instance {
					t.Fatalf("holder of %s is %s, want %s", j.Job, j.Instance, h)
				}
				holders[j.Job] = j.Instance
				other := two.Job(j.Job)
				if other == nil || len(other.Results) != len(j.Results) || other.Ended != j.Ended {
					t.Fatalf("the same records gave different states: %+v %+v", j, other)
				}
			})
		}
	})
}

// checkWaiting checks the sum of the waiting tokens against the items.
func checkWaiting(t *rapid.T, table *Table) {
	waiting, open := int64(0), 0
	table.ForEach(func(j *Job) {
		if j.Open() {
			open++
		}
		for i := range j.Items {
			if !j.Ended && !j.Items[i].HasResult {
				waiting += j.ItemTokens(i)
			}
		}
	})
	if w := table.Waiting(WaitingKey{Route: "r"}); w.Tokens != waiting || w.Lowest > w.Tokens {
		t.Fatalf("waiting %+v, want %d tokens", w, waiting)
	}
	table.ForEachOpen(func(*Job) { open-- })
	if open != 0 {
		t.Fatalf("%d more open jobs than listed", open)
	}
}

// Guards against the table stopping at a record that cannot be decoded or at a gap left
// by expired records.
func TestApplyContinuesAfterBadRecords(t *testing.T) {
	table := NewTable()
	table.Apply(epoch, 0, []byte("\x00not a record"))
	table.SkipTo(10)
	raw, _ := (&Record{Accepted: &Accepted{Job: "a", Items: 1}}).Encode()
	table.Apply(epoch, 10, raw)
	if table.Job("a") == nil || table.Next() != 11 || table.Ignored != 1 {
		t.Fatalf("next offset %d, ignored %d", table.Next(), table.Ignored)
	}
}

// Guards against results being purged before their retention has passed, and against
// open jobs being purged.
func TestPurge(t *testing.T) {
	table := NewTable()
	for i, job := range []string{"open", "done"} {
		raw, _ := (&Record{Accepted: &Accepted{Job: job, Items: 1}}).Encode()
		table.Apply(epoch, int64(i), raw)
	}
	raw, _ := (&Record{Result: &Result{Job: "done", Item: 0, State: DeadLetter}}).Encode()
	table.Apply(epoch.Add(time.Minute), 2, raw)
	if n := table.Purge(epoch.Add(time.Minute)); n != 0 {
		t.Fatalf("%d jobs purged too early", n)
	}
	if n := table.Purge(epoch.Add(time.Minute + 1)); n != 1 || table.Job("open") == nil {
		t.Fatalf("%d jobs purged, want 1", n)
	}
}

// FuzzApply guards against a panic on a malformed record of another writer.
func FuzzApply(f *testing.F) {
	for _, r := range []*Record{
		{Accepted: &Accepted{Job: "a", Items: 2}}, {Result: &Result{Job: "a", Item: 1}},
		{Progress: &Progress{Job: "a", Item: 0, LastEvent: 3}}, {Ended: &Ended{Job: "a"}}, {Claimed: &Claimed{Job: "a"}},
	} {
		raw, _ := r.Encode()
		f.Add(raw)
	}
	f.Add([]byte(`{"accepted":{"job":"a","items":-1}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		table := NewTable()
		table.Apply(epoch, 0, raw)
		table.Apply(epoch, 1, raw)
	})
}
