package fill

import (
	"slices"
	"time"
)

const (
	// maxChanges bounds the changes kept between two load reports.
	maxChanges = 512
	// maxTransitTime is a bound for the network round trip to a server in another
	// data centre.
	maxTransitTime = 5 * time.Millisecond
)

// Occupancy estimates the number of online streams on a server from delayed load
// reports and from the notices that instances send when they dispatch an online
// request to the server and when it ends.
type Occupancy struct {
	reportedOnline int
	reportedAt     time.Time
	changes        []streamChange // that the report may not include
}

// streamChange is a change of the number of streams on the server.
type streamChange struct {
	at      time.Time
	streams int
	batch   bool
}

// OnlineStarted records that an instance is sending an online request to the
// server.
func (o *Occupancy) OnlineStarted(now time.Time) { o.add(streamChange{now, 1, false}) }

// OnlineEnded records the end of an online request.
func (o *Occupancy) OnlineEnded(now time.Time) { o.add(streamChange{now, -1, false}) }

// BatchChanged records that batch streams were started (streams > 0) or have
// ended (streams < 0).
func (o *Occupancy) BatchChanged(now time.Time, streams int) { o.add(streamChange{now, streams, true}) }

// LoadReported records a load report: streams is the number of all streams that
// ran or waited on the server at the time at, batch the current number of batch
// streams. A report older than the last is ignored.
func (o *Occupancy) LoadReported(at time.Time, streams, batch int) {
	if at.Before(o.reportedAt) {
		return
	}
	o.reportedAt = at
	o.changes = slices.DeleteFunc(o.changes, func(c streamChange) bool { return !c.at.After(at.Add(-maxTransitTime)) })
	for _, c := range o.changes {
		if c.batch && o.isAfterReport(c, c.streams < 0) {
			batch -= c.streams
		}
	}
	o.reportedOnline = max(0, streams-batch)
}

// isAfterReport reports whether a change happened after the load report and is
// not included in it. Within maxTransitTime of the report that is uncertain,
// because requests and answers are in transit; the result is then true unless
// certain is set.
func (o *Occupancy) isAfterReport(c streamChange, certain bool) bool {
	if certain {
		return c.at.After(o.reportedAt.Add(maxTransitTime))
	}
	return c.at.After(o.reportedAt.Add(-maxTransitTime))
}

// Online returns the estimated number of online streams, waiting ones included.
// When it is uncertain whether the report includes a change, it returns the
// higher number, because with a lower one an online request may find no free
// slot.
func (o *Occupancy) Online() int {
	n := o.reportedOnline
	for _, c := range o.changes {
		if !c.batch && o.isAfterReport(c, c.streams < 0) {
			n += c.streams
		}
	}
	return max(0, n)
}

// add appends a change. When there are too many, the oldest one is discarded.
func (o *Occupancy) add(c streamChange) {
	if len(o.changes) >= maxChanges {
		o.changes = slices.Delete(o.changes, 0, 1)
	}
	o.changes = append(o.changes, c)
}
