package partition

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// injectRecord appends a copy of a record during a schedule: truncated, with another
// version, with a changed byte, or unchanged. Each call takes five bytes of m.faults: the
// kind of the fault, the index of the record and an argument.
func (m *sim) injectRecord() {
	if len(m.faults) < 5 || len(m.log) == 0 {
		return
	}
	p := bytes.Clone(m.log[int(binary.LittleEndian.Uint16(m.faults[1:]))%len(m.log)])
	arg := int(binary.LittleEndian.Uint16(m.faults[3:]))
	switch {
	case m.faults[0]%4 == 0 || len(p) == 0:
		p = p[:arg%(len(p)+1)]
	case m.faults[0]%4 == 1:
		p[0] = byte(arg)
	case m.faults[0]%4 == 2:
		p[arg%len(p)] ^= byte(arg>>8) | 1
	}
	m.log, m.faults = append(m.log, p), m.faults[5:]
}

// runWithFaults runs a schedule with faults and checks the result, which compares the
// states of readers from the start and from each base and of all owners.
func runWithFaults(t failer, seed uint64, faults []byte) {
	m := newSim(t, seed)
	m.faults = faults
	m.run()
	m.check()
}

// Guards against records that readers interpret differently: the state from the start
// and from each base is the same whatever records the stream has.
func FuzzApply(f *testing.F) {
	f.Fuzz(func(t *testing.T, seed byte, faults []byte) { runWithFaults(t, uint64(seed), faults) })
}

// Guards against a reader that panics or hangs on payloads that no instance wrote.
func FuzzApplyBytes(f *testing.F) {
	files, _ := filepath.Glob("testdata/rules/*")
	for _, name := range files {
		if p, err := os.ReadFile(name); err == nil {
			f.Add(p)
		}
	}
	m := newSim(f, 5)
	m.run()
	for _, p := range m.log {
		f.Add(p)
		if b, err := record.Decode(p); err == nil {
			if raw, err := proto.Marshal(b); err == nil {
				f.Add(raw)
			}
		}
	}
	f.Fuzz(func(t *testing.T, p []byte) {
		for _, s := range []*State{New(), NewFromSnapshot(1)} {
			s.Apply(1, p)
			s.Apply(1, p)
			s.Apply(2, p)
		}
		b := new(recordpb.Batch)
		if proto.Unmarshal(p, b) != nil {
			return
		}
		b.Epoch, b.Seq = 2, 1
		p, err := record.Encode(b)
		if err != nil {
			return
		}
		for s, first := range map[*State]*recordpb.Entry{
			New():              {Kind: &recordpb.Entry_Claim{Claim: &recordpb.Claim{}}},
			NewFromSnapshot(1): {Kind: &recordpb.Entry_SnapshotBegin{SnapshotBegin: &recordpb.SnapshotBegin{}}},
		} {
			head := &recordpb.Batch{Entries: []*recordpb.Entry{first}}
			if first.GetClaim() == nil {
				head.Epoch = 2 // with seq zero, as after the claim
			}
			p1, _ := record.Encode(head)
			s.Apply(1, p1)
			s.Apply(2, p)
			canonical(s)
		}
	})
}

// Guards against the same failure as FuzzApply in ordinary test runs.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runWithFaults(t, rapid.Uint64Range(1, 50).Draw(t, "seed"), rapid.SliceOfN(rapid.Byte(), 50, 220).Draw(t, "faults"))
	})
}

// singleOwner is the only owner on a log that never fails.
type singleOwner struct {
	tb     testing.TB
	state  *State
	writer *Writer
	log    [][]byte
}

func newSingleOwner(tb testing.TB) *singleOwner {
	o := &singleOwner{tb: tb, state: New(), writer: NewWriter("a", 1)}
	if err := o.writer.Claim(o.state); err != nil {
		tb.Fatal(err)
	}
	o.step()
	return o
}

// step appends and reads back one batch.
func (o *singleOwner) step() (a Applied, ok bool) {
	p, err := o.writer.Next(o.state, 1)
	if err != nil {
		o.tb.Fatal(err)
	}
	if p == nil {
		return a, false
	}
	if len(p) > record.MaxPayload {
		o.tb.Fatalf("payload of %d bytes", len(p))
	}
	o.log = append(o.log, p)
	a = o.state.Apply(int64(len(o.log)-1), p)
	o.writer.Observe(&a)
	if !a.Valid() {
		o.tb.Fatalf("own batch is void: %v", a.Void)
	}
	return a, true
}

func (o *singleOwner) add(e ...*recordpb.Entry) {
	if _, err := o.writer.Add(e...); err != nil {
		o.tb.Fatal(err)
	}
}

// createJob stores a file and creates a job of n items on it.
func (o *singleOwner) createJob(id string, n uint32, nonIdempotent bool) {
	o.add(&recordpb.Entry{Kind: &recordpb.Entry_FileChunk{FileChunk: &recordpb.FileChunk{FileId: "f" + id, Lines: make([][]byte, n)}}},
		&recordpb.Entry{Kind: &recordpb.Entry_FileSealed{FileSealed: &recordpb.FileSealed{FileId: "f" + id, Chunks: 1, Lines: n}}})
	for ok := true; ok; {
		_, ok = o.step()
	}
	e, err := CreateJob(o.state, &recordpb.JobCreated{JobId: id, FileId: "f" + id, NonIdempotent: nonIdempotent}, 1)
	if err != nil {
		o.tb.Fatal(err)
	}
	o.add(e)
	o.step()
}

// Guards against snapshot payloads above the limit, and against a wrong state after
// the restatement of a large job in parts: 620,000 items with results of random
// outcome, with ordinary entries between the parts.
func TestSnapshotOfLargeJob(t *testing.T) {
	o := newSingleOwner(t)
	const items = 620_000
	o.createJob("j", items, false)
	j, _ := o.state.Job("j")
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range uint32(items - 100) {
		r := &recordpb.ItemResult{Item: i, Outcome: recordpb.Outcome(1 + rng.IntN(3))}
		j.setOutcome(r)
		if i%7 == 0 {
			j.Results = append(j.Results, Range{Offset: int64(i) - 1<<40, Entry: i % 5, First: 0, Count: 7})
		}
	}
	o.writer.BeginSnapshot()
	k := uint32(0)
	for done := false; !done; k++ {
		o.add(resultsEntry("j", 1, &recordpb.ItemResult{Item: items - 1 - k%100, Outcome: recordpb.Outcome_OUTCOME_DONE}))
		a, _ := o.step()
		for _, e := range a.Events {
			_, ok := e.(*SnapshotCompleted)
			done = done || ok
		}
		if k > 1000 {
			t.Fatal("the snapshot does not end")
		}
	}
	if k < 5 {
		t.Fatalf("the job was restated in %d batches, want at least 5", k)
	}
	r := NewFromSnapshot(o.state.Base())
	for off := r.NextOffset(); off < int64(len(o.log)); off++ {
		r.Apply(off, o.log[off])
	}
	if canonical(r) != canonical(o.state) {
		t.Fatal("a reader from the snapshot has a different state")
	}
}

// Guards against a batch above the limit: entries that cannot be compressed are split
// over several batches, in order, and one that does not fit into a payload is refused.
func TestGroupCommit(t *testing.T) {
	o := newSingleOwner(t)
	rng := rand.NewChaCha8([32]byte{})
	var want []string
	for i := range 40 {
		body := make([]byte, 1+i*4_000)
		rng.Read(body)
		key := fmt.Sprint(i)
		o.add(&recordpb.Entry{Kind: &recordpb.Entry_CallFinished{CallFinished: &recordpb.CallFinished{
			Key: key, Outcome: recordpb.Outcome_OUTCOME_DONE, Body: body}}})
		want = append(want, key)
	}
	huge := make([]byte, record.MaxPayload)
	rng.Read(huge)
	big := func(p []byte) *recordpb.Entry {
		return &recordpb.Entry{Kind: &recordpb.Entry_CallFinished{CallFinished: &recordpb.CallFinished{
			Key: "big", Outcome: recordpb.Outcome_OUTCOME_DONE, Body: p}}}
	}
	if _, err := o.writer.Add(big(huge)); err == nil {
		t.Fatal("an entry above the limit was accepted")
	}
	o.add(big(make([]byte, 3*record.MaxPayload))) // can be compressed
	want = append(want, "big")
	var got []string
	batches := 0
	for a, ok := o.step(); ok; a, ok = o.step() {
		batches++
		for _, e := range a.Events {
			got = append(got, e.(*CallFinished).Ref.Key)
		}
	}
	if fmt.Sprint(got) != fmt.Sprint(want) || batches >= 20 {
		t.Fatalf("%d batches, want fewer than 20 with all entries in order; entries %v", batches, got)
	}
}
