package main

import (
	"errors"
	"fmt"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/domain/partition"
	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// resultsPerEntry is the number of results in one entry, the same as in a director's push.
const resultsPerEntry = 64

// partitionLog is the stream of a partition in memory with its only writer and the state
// that results.
type partitionLog struct {
	state  *partition.State
	writer *partition.Writer
	log    [][]byte
	bytes  int
	now    int64
}

func newPartitionLog() (*partitionLog, error) {
	s := &partitionLog{state: partition.New(), writer: partition.NewWriter("a", 1), now: 1_700_000_000_000}
	if err := s.writer.Claim(s.state); err != nil {
		return nil, err
	}
	_, err := s.appendNext()
	return s, err
}

// appendNext appends and applies the next batch. It returns false if there is none.
func (s *partitionLog) appendNext() (bool, error) {
	p, err := s.writer.Next(s.state, s.now)
	if err != nil || p == nil {
		return false, err
	}
	a := s.state.Apply(int64(len(s.log)), p)
	s.writer.Observe(&a)
	s.log, s.bytes = append(s.log, p), s.bytes+len(p)
	return true, nil
}

func (s *partitionLog) add(entries ...*recordpb.Entry) error {
	if _, err := s.writer.Add(entries...); err != nil {
		return err
	}
	_, err := s.appendNext()
	return err
}

// writeJob writes a file and a job with all its results. Texts repeat only after 4096
// items, in other records, which are compressed separately.
func (s *partitionLog) writeJob(n int) error {
	w := newTextGenerator(11)
	lines := make([][]byte, n)
	const texts = 4096
	for i := range lines {
		if i < texts {
			lines[i] = w.inputLine(i, assumptions.ItemInput)
		} else {
			lines[i] = lines[i%texts]
		}
	}
	file, job := ident.FileID(workspace, "batch", nil, 1), ident.JobID(workspace, "k", "", 0)
	chunks, err := partition.SplitChunks(file, lines)
	if err != nil {
		return err
	}
	seal := &recordpb.FileSealed{FileId: file, Workspace: workspace, Chunks: uint32(len(chunks)), Lines: uint32(n)}
	for _, e := range partition.StoreFile(s.state, seal, chunks, s.now) {
		if err := s.add(e); err != nil {
			return err
		}
	}
	e, err := partition.CreateJob(s.state, &recordpb.JobCreated{JobId: job, Workspace: workspace, FileId: file, Model: modelName}, s.now)
	if err != nil {
		return err
	}
	if err := s.add(e); err != nil {
		return err
	}
	answers := make([][]byte, min(n, texts))
	for i := range answers {
		answers[i] = w.resultBody(i, assumptions.ItemResult)
	}
	var batch []*recordpb.Entry
	for i := 0; i < n; i += resultsPerEntry {
		r := &recordpb.ItemResults{JobId: job}
		for k := i; k < min(n, i+resultsPerEntry); k++ {
			r.Results = append(r.Results, &recordpb.ItemResult{Item: uint32(k), Outcome: recordpb.Outcome_OUTCOME_DONE,
				CustomId: fmt.Sprintf("item-%07d", k), Status: 200, Body: answers[k%len(answers)], OutputTokens: 250})
		}
		// Four pushes share a record of about 256 KiB, as on a busy owner.
		if batch = append(batch, &recordpb.Entry{AtMs: s.now, Kind: &recordpb.Entry_ItemResults{ItemResults: r}}); len(batch) == 4 || i+resultsPerEntry >= n {
			if err := s.add(batch...); err != nil {
				return err
			}
			batch = nil
		}
	}
	return nil
}

// replay applies the records from an offset on to a state.
func (s *partitionLog) replay(state *partition.State, from int) {
	for o := from; o < len(s.log); o++ {
		state.Apply(int64(o), s.log[o])
	}
}

func measureStates(f *Figures, quick bool) error {
	sizes := []int{1000, 10_000, 100_000, targetSize.LargestJob}
	if quick {
		sizes = sizes[:2]
	}
	for _, n := range sizes {
		row, err := measureState(n)
		if err != nil {
			return err
		}
		f.States = append(f.States, row)
	}
	return measureCallState(f, quick)
}

func measureState(n int) (row StateRow, err error) {
	s, err := newPartitionLog()
	if err != nil {
		return row, err
	}
	if err := s.writeJob(n); err != nil {
		return row, err
	}
	row = StateRow{Items: n, Records: len(s.log), LogBytes: float64(s.bytes)}
	row.Memory = retainedBytes(func() any {
		state := partition.New()
		row.Replay = cpuSeconds(func() { s.replay(state, 0) })
		return state
	})
	records, size := len(s.log), s.bytes
	s.writer.BeginSnapshot()
	row.SnapMake = cpuSeconds(func() {
		for more := true; more && err == nil; {
			more, err = s.appendNext()
		}
	})
	if err != nil {
		return row, err
	}
	row.SnapRecords, row.SnapBytes = float64(len(s.log)-records), float64(s.bytes-size)
	again := partition.NewFromSnapshot(s.state.Base())
	row.SnapReplay = cpuSeconds(func() { s.replay(again, int(s.state.Base())) })
	if !again.Ready() {
		return row, errors.New("the snapshot is incomplete")
	}
	if n > 100 {
		row.ReadPage, err = s.readResult()
	}
	return row, err
}

// readResult returns the processor time to decode one record with results, in seconds.
func (s *partitionLog) readResult() (float64, error) {
	const reads = 20
	var err error
	spent := cpuSeconds(func() {
		for i := range reads {
			if _, e := record.Decode(s.log[len(s.log)/2+i%8]); e != nil {
				err = e
			}
		}
	})
	return spent / reads, err
}

// measureCallState measures the memory of a finished keyed call at its owner, and its share
// of a snapshot.
func measureCallState(f *Figures, quick bool) error {
	n := 100_000
	if quick {
		n = 10_000
	}
	s, err := newPartitionLog()
	if err != nil {
		return err
	}
	for i := range n {
		p := ident.Fingerprint("POST", chatPath, fmt.Append(nil, i))
		if _, err := s.writer.Add(&recordpb.Entry{AtMs: s.now, Kind: &recordpb.Entry_CallFinished{CallFinished: &recordpb.CallFinished{
			Workspace: workspace, Key: fmt.Sprintf("0194f3c2-7d1a-7000-8000-%012d", i), Fingerprint: p,
			Outcome: recordpb.Outcome_OUTCOME_DONE, FinishedMs: s.now, Body: p}}}); err != nil {
			return err
		}
		if i%50 == 49 {
			if _, err := s.appendNext(); err != nil {
				return err
			}
		}
	}
	f.CallBytes = retainedBytes(func() any {
		state := partition.New()
		s.replay(state, 0)
		return state
	}) / float64(n)
	records, size := len(s.log), s.bytes
	s.writer.BeginSnapshot()
	for more := true; more && err == nil; {
		more, err = s.appendNext()
	}
	if err != nil {
		return err
	}
	f.CallSnapRecords, f.CallSnapBytes = float64(len(s.log)-records)/float64(n), float64(s.bytes-size)/float64(n)
	again := partition.NewFromSnapshot(s.state.Base())
	f.CallSnapReplay = cpuSeconds(func() { s.replay(again, int(s.state.Base())) }) / float64(n)
	if !again.Ready() {
		return errors.New("the snapshot of calls is incomplete")
	}
	return nil
}
