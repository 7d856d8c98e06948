package balance

import (
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/pace"
)

// costPerSlowdown is the cost of a server on which a request takes twice the usual time.
const costPerSlowdown = 0.4

// PaceChange says what a statement of a server has changed.
type PaceChange struct {
	// Report is set if the statement is to be reported to the hub.
	Report bool
	// Began and Ended are set if the server has begun or ceased to be slow, as stated.
	Began, Ended bool
}

// RecordPace records what a server states of itself to this instance.
func (t *Table) RecordPace(server string, statement pace.Statement) PaceChange {
	s := t.servers[server]
	if s == nil {
		return PaceChange{}
	}
	wasUsual := s.pace.Last().Usual()
	if !s.pace.Record(statement, s.inFlight()) {
		return PaceChange{}
	}
	usual := statement.Usual()
	change := PaceChange{
		Report: !usual || statement.Waiting > 0 || statement.At.Sub(s.unusualReportedAt) < pace.TTL,
		Began:  wasUsual && !usual, Ended: !wasUsual && usual,
	}
	if change.Report {
		t.unreportedPaces[server] = s
	}
	return change
}

// HasUnreportedPaces reports whether there are statements for TakePaces.
func (t *Table) HasUnreportedPaces() bool { return len(t.unreportedPaces) > 0 }

// TakePaces returns the statements of servers to this instance that it has not reported yet and
// that other instances cannot assume.
func (t *Table) TakePaces(now time.Time) map[string]pace.Statement {
	if len(t.unreportedPaces) == 0 {
		return nil
	}
	list := make(map[string]pace.Statement, len(t.unreportedPaces))
	for id, s := range t.unreportedPaces {
		last := s.pace.Last()
		if now.Sub(last.At) < pace.TTL {
			list[id] = last
		}
		if last.Usual() {
			s.unusualReportedAt = time.Time{}
		} else {
			s.unusualReportedAt = last.At
		}
	}
	clear(t.unreportedPaces)
	return list
}

// UpdatePeerPaces records the statements of servers that a peer reports.
func (t *Table) UpdatePeerPaces(list map[string]pace.Statement) {
	for id, statement := range list {
		if s := t.servers[id]; s != nil {
			s.pace.Record(statement, s.inFlight())
		}
	}
}

// SlowServers returns the number of servers that are slow at the moment, as they state.
func (t *Table) SlowServers(now time.Time) int {
	n := 0
	for _, s := range t.servers {
		if last := s.pace.Last(); !last.Usual() && now.Sub(last.At) < pace.TTL {
			n++
		}
	}
	return n
}

// load returns the known number of requests on the server, with those that only the server knows
// of as of the last evaluation.
func (s *serverState) load() int { return s.inFlight() + s.unknown }

// updateUnknown sets the number of requests that only the server knows of. Without a complete
// view most requests of other instances are unknown, so that it says nothing.
func (s *serverState) updateUnknown(now time.Time, q *Query) {
	s.unknown = 0
	if q.CompleteView {
		s.unknown = s.pace.Unknown(now)
	}
}

// slowdown returns how much longer a request takes on the server because of what else its machine
// does at the moment. Batch requests last much longer than the server stays slow.
func (s *serverState) slowdown(now time.Time, class Class) float64 {
	if class == Batch {
		return 1
	}
	return s.pace.Slowdown(now)
}

// slowdownCost returns the cost of a slowdown. A free slot of a server that is slow at the moment is
// worth less than that of another server as long as that one has slots left to spare.
func slowdownCost(slowdown float64) float64 { return costPerSlowdown * (slowdown - 1) }

// RecordStep records the time of one step of an answer that has just ended, as it would have been at
// the server's usual pace. Of a server that states its pace, only steps count that began shortly
// after a statement, so that the mean tells servers apart that differ for good.
func (t *Table) RecordStep(now time.Time, server string, step time.Duration) {
	if s := t.servers[server]; s != nil {
		if usual, ok := s.pace.UsualTime(now, step); ok {
			s.recordStepTime(usual)
		}
	}
}
