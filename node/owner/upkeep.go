package owner

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/partition"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/stream"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	// upkeepPeriod is the period of snapshots, expiry and lost leases.
	upkeepPeriod = time.Second
	// expirePeriod is the period of the search for aggregates to expire.
	expirePeriod = time.Minute
	// moveShare of the log's retention is the period of the search for entries
	// that are about to expire. Those older than half of the retention move.
	moveShare = 64
	// moveBatch and moveBytes bound the entries moved with one commit.
	moveBatch = 64
	moveBytes = 1 << 20
	// movePause lets other entries through between two commits of moved ones.
	movePause = 50 * time.Millisecond
	// ratePeriod is the period of the rate of a job, rateWeight the share of the
	// newest period in its average.
	ratePeriod = 5 * time.Second
	rateWeight = 0.3
	// strangerGrace is how long an instance that was never seen alive may take
	// to appear among the members before it counts as lost.
	strangerGrace = 10 * time.Second
	// maxClients bounds the instances whose loss is watched.
	maxClients = 4096
)

// upkeep is when the duty last did its periodic work.
type upkeep struct {
	last, expired, moved, rated time.Time
	asked                       bool // a snapshot was asked for and has not begun
	expiring, moving            bool
}

// client is an instance that runs calls or items of this partition.
type client struct {
	met   time.Time
	alive bool // was seen alive
}

// progress is the recent rate of a job.
type progress struct {
	finished uint32
	rate     float64
	atRisk   bool
}

// meet remembers an instance, so that its loss ends its calls and leases.
func (d *duty) meet(instance string) {
	if instance != "" && d.clients[instance] == nil && len(d.clients) < maxClients {
		d.clients[instance] = &client{met: time.Now()}
	}
}

// noteClients remembers the instances that earlier owners have let run something.
func (d *duty) noteClients(a *partition.Applied) {
	for _, e := range a.Events {
		switch e := e.(type) {
		case *partition.CallStarted:
			d.meet(e.Instance)
		case *partition.ItemsStarted:
			d.meet(e.Director)
		}
	}
}

func (d *duty) tick(now time.Time) {
	d.nextTick = now.Add(tickIdle)
	if d.waiters > 0 || d.joins > 0 || d.appender.running || d.getPhase() == waiting {
		d.nextTick = now.Add(tickBusy)
	}
	d.tryClaim(now)
	if d.over || d.writer.Role() != partition.RoleOwner {
		return
	}
	if d.appender.running && now.Sub(d.appender.started) >= slowAppend {
		d.enterOutage(now)
	}
	d.expire(now, d.appender.down)
	if d.appender.down && len(d.queue) == 0 && !d.writer.InFlight() {
		// Everything was withdrawn. Without an append the end of the outage would
		// not be noticed, and what needs the log would be refused for ever.
		d.addOwn([]*recordpb.Entry{emptyEntry(now)})
	}
	d.expireWaits(now)
	if d.releasing {
		d.queueRelease()
		return
	}
	if now.Sub(d.upkeep.last) >= upkeepPeriod {
		d.upkeep.last = now
		d.maintain(now)
	}
}

func (d *duty) maintain(now time.Time) {
	ms, u := now.UnixMilli(), &d.upkeep
	d.watchClients(now)
	if d.queueSize < holdBytes {
		d.returnUnsent(ms)
		d.addOwn(d.leases.EndExpired(ms))
		refs, entries := d.calls.EndOverdue(d.state, ms, overdueGrace.Milliseconds())
		d.endCalls(refs, entries)
	}
	if !u.asked && d.state.SnapshotDue(ms, d.opts.LogRetention.Milliseconds()) {
		u.asked = true
		d.writer.BeginSnapshot()
	}
	if !u.expiring && !d.appender.down && now.Sub(u.expired) >= expirePeriod {
		u.expired = now
		d.removeOld(ms)
	}
	if !u.moving && now.Sub(u.moved) >= d.opts.LogRetention/moveShare {
		u.moved, u.moving = now, true
		d.workers.Go(func() {
			d.move(now.Add(-d.opts.LogRetention / 2))
			_ = d.events.Put(d.ctx, func() { d.upkeep.moving = false })
		})
	}
	if now.Sub(u.rated) >= ratePeriod {
		d.rate(now, now.Sub(u.rated))
		u.rated = now
	}
	d.publish()
}

func (d *duty) endCalls(refs []partition.Ref, entries []*recordpb.Entry) {
	d.addOwn(entries)
	for _, r := range refs {
		d.askAgain(r)
	}
}

// watchClients ends the calls and leases of instances that are gone.
func (d *duty) watchClients(now time.Time) {
	if d.queueSize >= holdBytes {
		return // the entries that end them may not fit
	}
	for name, c := range d.clients {
		alive := name == d.opts.Instance || d.opts.Preference.Alive(name)
		c.alive = c.alive || alive
		if alive || !c.alive && now.Sub(c.met) < strangerGrace {
			continue
		}
		delete(d.clients, name)
		ms := now.UnixMilli()
		for _, l := range d.confirmed[name] {
			d.leases.Return(name, l.JobID, l.Item, partition.ReturnNotDispatched, ms)
		}
		delete(d.confirmed, name)
		d.addOwn(d.leases.EndByDirector(name, ms))
		refs, entries := d.calls.EndByInstance(d.state, name, ms)
		d.endCalls(refs, entries)
	}
}

func (d *duty) removeOld(ms int64) {
	e := partition.Expire(d.state, d.writer, d.opts.Retention, ms)
	if e == nil {
		return
	}
	r := d.add(request{done: func(*peerpb.Refusal) {
		d.upkeep.expiring = false
		d.upkeep.expired = time.Time{} // there may be more
	}, lazy: true}, e)
	d.upkeep.expiring = r == nil
}

// rate measures the jobs and finds those at risk of missing their due time.
func (d *duty) rate(now time.Time, over time.Duration) {
	seen := map[string]bool{}
	d.state.ForEachActiveJob(func(j *partition.Job) {
		id := j.Created.JobId
		seen[id] = true
		p := d.progress[id]
		if p == nil {
			d.progress[id] = &progress{finished: j.FinishedCount()}
			return
		}
		recent := float64(j.FinishedCount()-p.finished) / over.Seconds()
		if p.rate == 0 {
			p.rate = recent
		}
		p.rate += rateWeight * (recent - p.rate)
		p.finished = j.FinishedCount()
		left := float64(j.Created.DueMs-now.UnixMilli()) / 1000
		p.atRisk = float64(j.ItemCount()-j.FinishedCount()) > p.rate*left
	})
	for id := range d.progress {
		if !seen[id] {
			delete(d.progress, id)
		}
	}
}

// publish updates the backlog by model.
func (d *duty) publish() {
	models := map[string]*Backlog{}
	d.state.ForEachActiveJob(func(j *partition.Job) {
		b := models[j.Created.Model]
		if b == nil {
			b = &Backlog{Model: j.Created.Model, EarliestDueMs: j.Created.DueMs}
			models[j.Created.Model] = b
		}
		b.Items += int(j.ItemCount() - j.FinishedCount())
		b.EarliestDueMs = min(b.EarliestDueMs, j.Created.DueMs)
		if p := d.progress[j.Created.JobId]; p != nil {
			b.ItemsPerSecond += p.rate
			if p.atRisk {
				b.JobsAtRisk++
			}
		}
	})
	list := make([]Backlog, 0, len(models))
	for _, b := range models {
		list = append(list, *b)
	}
	d.summary.Store(&list)
}

// move appends entries again that are needed and older than cutoff.
func (d *duty) move(cutoff time.Time) {
	horizon, err := findOffset(d.ctx, d.opts.Log, d.stream, cutoff.UnixMilli())
	for err == nil {
		ctx, cancel := context.WithTimeout(d.ctx, maxWait)
		stale, r := look(ctx, d, func() ([]partition.StaleRange, *peerpb.Refusal) {
			return d.state.StaleBefore(horizon, moveBatch), nil
		})
		moved := 0
		if r == nil && len(stale) > 0 {
			moved = d.copyAll(ctx, stale)
		}
		cancel()
		if moved == 0 {
			if r == nil && len(stale) > 0 && d.ctx.Err() == nil {
				klog.InfoS("Entries about to expire were not moved, trying again", "partition", d.number, "entries", len(stale))
			}
			return
		}
		entriesMoved.Add(int64(moved))
		err = (stream.WallClock{}).Sleep(d.ctx, movePause+jitter(movePause))
	}
}

// copyAll returns the number of entries that stand at the end of the stream now.
func (d *duty) copyAll(ctx context.Context, stale []partition.StaleRange) int {
	var copies []*recordpb.Entry
	for size := 0; len(stale) > 0 && size < moveBytes; stale = stale[1:] {
		p := stale[0]
		b, err := d.m.reader.record(ctx, d.number, p.Range.Offset, true)
		if err != nil || int(p.Range.Entry) >= len(b.Entries) {
			continue
		}
		if e := p.Copy(b.Entries[p.Range.Entry], time.Now().UnixMilli()); e != nil {
			copies, size = append(copies, e), size+entrySize(e)
		}
	}
	if len(copies) == 0 {
		return 0
	}
	until := waitUntil(ctx, maxWait.Milliseconds())
	ok, _ := ask(ctx, d, func(reply func(bool, *peerpb.Refusal)) {
		if d.queueSize >= holdBytes {
			reply(false, nil)
			return
		}
		if r := d.add(request{deadline: until, lazy: true, done: func(r *peerpb.Refusal) { reply(r == nil, r) }}, copies...); r != nil {
			reply(false, r)
		}
	})
	if !ok {
		return 0
	}
	return len(copies)
}

// findOffset returns the first offset whose record is not older than atMs, by
// binary search over the times in the records.
func findOffset(ctx context.Context, log port.Log, name string, atMs int64) (int64, error) {
	page, err := readPage(ctx, log, name, 0, 1)
	if expired := (*port.ExpiredError)(nil); errors.As(err, &expired) {
		page, err = readPage(ctx, log, name, expired.First, 1)
	}
	if err != nil {
		return 0, err
	}
	low, high := page.First, page.End
	for low < high {
		mid := low + (high-low)/2
		at, next, err := timeOf(ctx, log, name, mid, high)
		if err != nil {
			return 0, err
		}
		if at >= 0 && at < atMs {
			low = next
		} else {
			high = mid
		}
	}
	return low, nil
}

// timeOf returns the time of the first record from offset on that carries one,
// and the offset after it; -1 if there is none below end.
func timeOf(ctx context.Context, log port.Log, name string, offset, end int64) (atMs, next int64, err error) {
	for offset < end {
		page, err := readPage(ctx, log, name, offset, 1)
		if err != nil || len(page.Records) == 0 {
			return -1, offset, err
		}
		for _, r := range page.Records {
			offset = r.Offset + 1
			if at := recordTime(r.Payload); at > 0 && r.Offset < end {
				return at, offset, nil
			}
		}
	}
	return -1, offset, nil
}
