package fill

import (
	"slices"
	"time"
)

const (
	// maxNotices bounds the notices kept between two reports.
	maxNotices = 512
	// settle covers the way to a server in another data centre and back.
	settle = 5 * time.Millisecond
)

// Occupancy is what a director knows of the online streams on a server, from
// lagging load reports and from the notices that instances send when an online
// request is sent there or ends.
type Occupancy struct {
	reported int
	at       time.Time
	notices  []notice
}

type notice struct {
	at    time.Time
	by    int
	batch bool
}

// OnlineStarted records an online request that an instance is sending to the server.
func (o *Occupancy) OnlineStarted(now time.Time) { o.add(notice{now, 1, false}) }

// OnlineEnded records the end of an online request.
func (o *Occupancy) OnlineEnded(now time.Time) { o.add(notice{now, -1, false}) }

// BatchChanged records that batch streams were started (by > 0) or have ended.
func (o *Occupancy) BatchChanged(now time.Time, by int) { o.add(notice{now, by, true}) }

// LoadReported takes in a load report: streams is all that runs or waits on the
// server at the time at, batch the present number of batch streams.
func (o *Occupancy) LoadReported(at time.Time, streams, batch int) {
	if at.Before(o.at) {
		return
	}
	o.at = at
	o.notices = slices.DeleteFunc(o.notices, func(n notice) bool { return !n.at.After(at.Add(-settle)) })
	for _, n := range o.notices {
		if n.batch && o.counts(n, n.by < 0) {
			batch -= n.by
		}
	}
	o.reported = max(0, streams-batch)
}

// counts tells whether a change came after the report. Near the report's time
// that is not certain, since a request takes a moment to reach the server and
// an answer to come back; late is what is then assumed to be so.
func (o *Occupancy) counts(n notice, late bool) bool {
	if late {
		return n.at.After(o.at.Add(settle))
	}
	return n.at.After(o.at.Add(-settle))
}

// Online returns the estimated number of online streams, waiting ones included.
// Where changes near the time of the report are uncertain, it is the higher
// number, since with a lower one an online request would find no slot.
func (o *Occupancy) Online() int {
	n := o.reported
	for _, x := range o.notices {
		if !x.batch && o.counts(x, x.by < 0) {
			n += x.by
		}
	}
	return max(0, n)
}

func (o *Occupancy) add(n notice) {
	if len(o.notices) >= maxNotices {
		o.notices = slices.Delete(o.notices, 0, 1)
	}
	o.notices = append(o.notices, n)
}
