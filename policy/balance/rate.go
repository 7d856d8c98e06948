package balance

import (
	"slices"
	"time"

	"github.com/jacinthnotch/jacinthnotch/policy/ratelimit"
)

const (
	// endedLimitReportTime is the time for which an instance reports that a server no longer
	// states a limit.
	endedLimitReportTime = 2 * time.Second
	// maxRateGrants limits the grants of a peer that its reports do not include yet.
	maxRateGrants = 256
)

// RateReport is what an instance reports about one server with a rate limit.
type RateReport struct {
	ratelimit.Statement
	// Starts counts the requests that the instance sent to the server.
	Starts uint32
}

// peerStarts is what one peer has reported of its requests to servers with a rate limit.
type peerStarts struct {
	// starts holds the last number by server, and grants those that it does not include.
	starts map[string]uint32
	grants []Grant
	// included is the sequence number that the last report included, which came at receivedAt.
	included   uint64
	receivedAt time.Time
}

// RecordRateLimit records the rate limit that a server states to this instance, in requests a
// second over all instances; zero means none. It reports whether the limit has changed.
func (t *Table) RecordRateLimit(now time.Time, server string, limit float64) bool {
	s := t.servers[server]
	if s == nil || limit <= 0 && !s.rate.Limited() && s.stated.Limit <= 0 {
		return false
	}
	s.stated = ratelimit.Statement{Limit: limit, At: now}
	return s.rate.Record(now, s.stated)
}

// RateLimited reports whether a server of a service states a rate limit.
func (t *Table) RateLimited(service string) bool {
	group := t.services[service]
	return group != nil && slices.ContainsFunc(group.servers, func(s *serverState) bool { return s.rate.Limited() && s.server.Usable() })
}

// HasUnlimited reports whether there is a server without a rate limit for a request.
func (t *Table) HasUnlimited(now time.Time, q Query) bool {
	group := t.services[q.Service]
	return group != nil && slices.ContainsFunc(group.servers, func(s *serverState) bool {
		return !s.rate.Limited() && s.eligible(&q) && !s.unreachableFor(now, q)
	})
}

// rateAllows reports whether the rate limit of a server allows a request.
func (t *Table) rateAllows(now time.Time, s *serverState, q Query) bool {
	switch {
	case !s.rate.Limited():
		return true
	case q.CompleteView:
		return s.rate.Allows(now, q.Class == Batch)
	}
	return s.rate.AllowsAlone(now, q.Instances, t.random.Float64())
}

// takeRate counts a request that a hub places towards the rate limit of the server. Requests of
// other instances are counted by their reports.
func (s *serverState) takeRate(now time.Time, q Query) {
	if q.CompleteView {
		s.rate.Adjust(now, -1)
	}
}

// OwnRates returns what this instance reports about servers with a rate limit, and those
// whose limit has just ended.
func (t *Table) OwnRates(now time.Time) map[string]RateReport {
	var reports map[string]RateReport
	for id, s := range t.servers {
		if s.stated.At.IsZero() || s.stated.Limit <= 0 && now.Sub(s.stated.At) >= endedLimitReportTime {
			continue
		}
		if reports == nil {
			reports = map[string]RateReport{}
		}
		reports[id] = RateReport{s.stated, s.starts}
	}
	return reports
}

// recordRateGrant records a grant of a request to a server with a rate limit.
func (t *Table) recordRateGrant(peer string, g Grant) {
	s := t.servers[g.Server]
	if s == nil || !s.rate.Limited() {
		return
	}
	p := t.getOrCreatePeerStarts(peer)
	p.grants = append(p.grants, g)
	if len(p.grants) > maxRateGrants {
		p.grants = slices.Delete(p.grants, 0, 1)
	}
}

func (t *Table) getOrCreatePeerStarts(peer string) *peerStarts {
	p := t.peerStarts[peer]
	if p == nil {
		p = &peerStarts{starts: map[string]uint32{}}
		t.peerStarts[peer] = p
	}
	return p
}

// UpdatePeerRates records what a peer reports about servers with a rate limit. The numbers of
// requests include the grants up to a sequence number. Requests that the peer sent without a
// grant of this instance use up the limit, and grants that it did not use are returned. A report that
// another one has overtaken, perhaps one of another process, is ignored.
func (t *Table) UpdatePeerRates(now time.Time, peer string, reports map[string]RateReport, included uint64) {
	p := t.getOrCreatePeerStarts(peer)
	if included < p.included && now.Sub(p.receivedAt) < grantTTL {
		return
	}
	p.included, p.receivedAt = included, now
	granted := map[string]uint32{}
	p.grants = slices.DeleteFunc(p.grants, func(g Grant) bool {
		if g.Sequence <= included {
			granted[g.Server]++
			return true
		}
		return false
	})
	for id, r := range reports {
		s := t.servers[id]
		if s == nil {
			continue
		}
		s.rate.Record(now, r.Statement)
		last, known := p.starts[id]
		p.starts[id] = r.Starts
		if known && r.Starts >= last {
			s.rate.Adjust(now, float64(granted[id])-float64(r.Starts-last))
		}
	}
	for id := range p.starts {
		if _, reported := reports[id]; !reported {
			delete(p.starts, id)
		}
	}
}
