package partition

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// advanceJob takes the next step of a random job: upload, creation or cancellation.
func (m *sim) advanceJob() {
	o := m.randomOwner()
	if o == nil {
		return
	}
	c := proto.Clone(m.jobs[m.rng.IntN(len(m.jobs))]).(*recordpb.JobCreated)
	lines := m.lines[c.FileId]
	if m.chance(6) {
		if e, err := CancelJob(o.state, c.JobId, "caller", m.now); err == nil && e != nil {
			o.add(m, func(recorded bool) {
				if j, ok := o.state.Job(c.JobId); recorded && ok && j.Cancelled && m.cancelOutcomes[c.JobId] == nil {
					m.cancelOutcomes[c.JobId] = outcomes(j)
					m.counts["cancels acknowledged"]++
				}
			}, e)
		}
		return
	}
	e, err := CreateJob(o.state, c, m.now)
	if err != nil {
		var chunks []*recordpb.FileChunk
		for i, l := range lines {
			chunks = append(chunks, &recordpb.FileChunk{FileId: c.FileId, Index: uint32(i), FirstLine: uint32(i), Lines: [][]byte{l}})
		}
		seal := &recordpb.FileSealed{FileId: c.FileId, Chunks: uint32(len(chunks)), Lines: uint32(len(lines))}
		entries := StoreFile(o.state, seal, chunks, m.now)
		o.add(m, nil, entries[:1+m.rng.IntN(len(entries))]...)
		return
	}
	if e == nil {
		m.created[c.JobId] = true
		return
	}
	o.add(m, func(recorded bool) {
		if _, ok := o.state.Job(c.JobId); recorded && ok {
			m.created[c.JobId] = true
		}
	}, e)
}

func (m *sim) leaseItems() {
	o := m.randomOwner()
	if o == nil {
		return
	}
	if m.chance(20) {
		d := fmt.Sprint("d", m.rng.IntN(3))
		o.add(m, nil, o.leases.EndByDirector(d, m.now)...)
	}
	o.add(m, nil, o.leases.EndExpired(m.now)...)
	_, entries := o.calls.EndOverdue(o.state, m.now, 500) // waiting requests are repeated anyway
	o.add(m, nil, entries...)
	leases, entries := o.leases.Lease(o.state, LeaseRequest{Director: fmt.Sprint("d", m.rng.IntN(3)),
		Max: 1 + m.rng.IntN(8), DurationMs: int64(50 + m.rng.IntN(800))}, m.now)
	o.add(m, nil, entries...)
	m.dispatchItems(leases)
}

func (m *sim) dispatchItems(leases []Lease) {
	for _, l := range leases {
		if m.chance(10) {
			continue // the response or the director is lost
		}
		m.schedule(m.rng.IntN(20), func() { m.runItem(l) })
	}
}

func (m *sim) runItem(l Lease) {
	id := fmt.Sprint(l.JobID, "/", l.Item)
	nonIdempotent := l.JobID == m.jobs[1].JobId
	returnItem := func(reason ReturnReason) {
		if o := m.randomOwner(); o != nil {
			if e := o.leases.Return(l.Director, l.JobID, l.Item, reason, m.now); e != nil {
				o.add(m, nil, e)
			}
		}
	}
	if m.chance(10) {
		returnItem(ReturnNotDispatched)
		return
	}
	m.counts["item runs"]++
	if m.itemRuns[id]++; nonIdempotent && m.itemRuns[id] > 1 {
		m.fail("non-idempotent item %s dispatched twice", id)
	}
	m.schedule(m.rng.IntN(60), func() {
		if m.chance(20) {
			returnItem(ReturnReason(1 + m.rng.IntN(2)))
			return
		}
		m.serial++
		r := &recordpb.ItemResult{Item: l.Item, Outcome: recordpb.Outcome_OUTCOME_DONE, Body: []byte(fmt.Sprint("r", m.serial))}
		if o := m.randomOwner(); o != nil {
			for _, e := range o.leases.RecordResults(o.state, l.JobID, []*recordpb.ItemResult{r}, m.now) {
				o.add(m, func(recorded bool) {
					j, ok := o.state.Job(l.JobID)
					if recorded && ok && j.Outcome(l.Item) != 0 {
						m.itemAcked[id] = ""
					}
				}, e)
			}
		}
	})
}

// copyStale appends copies of stale entries.
func (m *sim) copyStale() {
	o := m.randomOwner()
	if o == nil {
		return
	}
	for _, stale := range o.state.StaleBefore(int64(m.rng.IntN(len(m.log)+1)), 3) {
		b, err := record.Decode(m.log[stale.Range.Offset])
		if err != nil {
			m.fail("decode the record of stale %v: %v", stale, err)
		}
		e := stale.Copy(b.Entries[stale.Range.Entry], m.now)
		if e == nil {
			m.fail("the entry at stale %v is not the expected one", stale)
		}
		o.add(m, nil, e)
		m.counts["copies"]++
	}
}
