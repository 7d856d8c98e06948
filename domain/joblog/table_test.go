package joblog

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// draw draws a record about one of two jobs, with conflicting copies of each kind.
func draw(t *rapid.T) *Record {
	job := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "job")
	item := rapid.IntRange(-1, 4).Draw(t, "item")
	n := rapid.IntRange(1, 3).Draw(t, "n")
	holder := func(i int) Holder { return Holder{Instance: fmt.Sprint(i)} }
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		return &Record{Accepted: &Accepted{Job: job, Items: 2 + n, Holder: holder(n)}}
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

// Guards against a position that changes, an item that stands at two positions, a
// second acceptance that replaces the first, a claim from an instance that does not hold
// the job, and folds of the same records that
// differ, whatever is doubled, late or void.
func TestFoldKeepsWhatStands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := NewTable(), NewTable()
		positions := map[string][]string{}
		holders := map[string]string{}
		n := rapid.IntRange(1, 60).Draw(t, "records")
		for offset := range int64(n) {
			raw, err := draw(t).Encode()
			if err != nil {
				t.Fatal(err)
			}
			one.Apply(epoch, offset, raw)
			two.Apply(epoch, offset, raw)
			if rapid.Bool().Draw(t, "again") {
				one.Apply(epoch, offset, raw) // a record that is read twice
			}
			if r, _ := Decode(raw); r.Claimed != nil && one.Job(r.Claimed.Job) != nil {
				if holders[r.Claimed.Job] == r.Claimed.From.Instance {
					holders[r.Claimed.Job] = r.Claimed.To.Instance
				}
			}
			one.ForEach(func(j *Job) {
				seen := map[int]bool{}
				for i, r := range j.Results {
					if seen[r.Item] {
						t.Fatalf("item %d of %s stands twice", r.Item, j.Job)
					}
					seen[r.Item] = true
					text := r.ID + r.Reason
					if list := positions[j.Job]; i < len(list) && list[i] != text {
						t.Fatalf("position %d of %s held %s and holds %s", i, j.Job, list[i], text)
					} else if i >= len(list) {
						positions[j.Job] = append(list, text)
					}
				}
				if h, ok := holders[j.Job]; ok && h != j.Instance {
					t.Fatalf("%s is held by %s, want %s", j.Job, j.Instance, h)
				}
				holders[j.Job] = j.Instance
				other := two.Job(j.Job)
				if other == nil || len(other.Results) != len(j.Results) || other.Ended != j.Ended {
					t.Fatalf("two folds of the same records differ: %+v %+v", j, other)
				}
			})
		}
	})
}

// Guards against a record that cannot be read, or a gap of expired records, stopping
// the fold.
func TestFoldGoesOnAfterBadRecords(t *testing.T) {
	b := NewTable()
	b.Apply(epoch, 0, []byte("\x00not a record"))
	b.SkipTo(10)
	raw, _ := (&Record{Accepted: &Accepted{Job: "a", Items: 1}}).Encode()
	b.Apply(epoch, 10, raw)
	if b.Job("a") == nil || b.Next() != 11 || b.Ignored != 1 {
		t.Fatalf("next %d, void %d", b.Next(), b.Ignored)
	}
}

// Guards against results that are forgotten while they are owed, and jobs that are
// open being forgotten at all.
func TestPurge(t *testing.T) {
	b := NewTable()
	for i, job := range []string{"open", "done"} {
		raw, _ := (&Record{Accepted: &Accepted{Job: job, Items: 1}}).Encode()
		b.Apply(epoch, int64(i), raw)
	}
	raw, _ := (&Record{Result: &Result{Job: "done", Item: 0, State: DeadLetter}}).Encode()
	b.Apply(epoch.Add(time.Minute), 2, raw)
	if n := b.Purge(epoch.Add(time.Minute)); n != 0 {
		t.Fatalf("%d forgotten too early", n)
	}
	if n := b.Purge(epoch.Add(time.Minute + 1)); n != 1 || b.Job("open") == nil {
		t.Fatalf("%d forgotten", n)
	}
}

// FuzzFold guards against a record of another writer that ends the process.
func FuzzFold(f *testing.F) {
	for _, r := range []*Record{
		{Accepted: &Accepted{Job: "a", Items: 2}}, {Result: &Result{Job: "a", Item: 1}},
		{Progress: &Progress{Job: "a", Item: 0, LastEvent: 3}}, {Ended: &Ended{Job: "a"}}, {Claimed: &Claimed{Job: "a"}},
	} {
		raw, _ := r.Encode()
		f.Add(raw)
	}
	f.Add([]byte(`{"accepted":{"job":"a","items":-1}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		b := NewTable()
		b.Apply(epoch, 0, raw)
		b.Apply(epoch, 1, raw)
	})
}
