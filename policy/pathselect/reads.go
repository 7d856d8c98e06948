package pathselect

import "time"

// Read is a read that waits for its response.
type Read struct {
	// SentAt is when the read was sent, and DueAt when its response is overdue.
	SentAt, DueAt time.Time
	// Abandon ends the wait for the response.
	Abandon func()
}

// Reads finds the reads whose responses are lost: a store that was silent answers none of the
// calls that it got meanwhile, and a connection on which a response was lost stays silent. The
// zero value is ready to use. Reads is not safe for concurrent use.
type Reads struct{ waiting map[*Read]struct{} }

// Begin adds a read that was sent.
func (rs *Reads) Begin(r *Read) {
	if rs.waiting == nil {
		rs.waiting = map[*Read]struct{}{}
	}
	rs.waiting[r] = struct{}{}
}

// End removes a read that ended.
func (rs *Reads) End(r *Read) { delete(rs.waiting, r) }

// TakeLost removes and returns the reads whose responses are lost if a call that was sent at
// answered got its response: those that were overdue by then, and, if the path was regained by
// the response, all that were sent before the call.
func (rs *Reads) TakeLost(answered time.Time, regained bool) []*Read {
	var lost []*Read
	for r := range rs.waiting {
		if !r.DueAt.After(answered) || regained && r.SentAt.Before(answered) {
			lost = append(lost, r)
			delete(rs.waiting, r)
		}
	}
	return lost
}

// Overdue reports whether a read was overdue when a call was sent that got its response.
func (rs *Reads) Overdue(answered time.Time) bool {
	for r := range rs.waiting {
		if !r.DueAt.After(answered) {
			return true
		}
	}
	return false
}
