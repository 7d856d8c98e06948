package peers

import "time"

const (
	// preemptionMemory is how long orders for a request are remembered.
	preemptionMemory = 2 * time.Second
	// surplusOrderGap is the minimum time between a preemption on a server and one that is
	// ordered for a surplus there, which the first one may have ended.
	surplusOrderGap = 200 * time.Millisecond
)

// preemptionCause identifies the online request for which a hub orders a preemption.
type preemptionCause struct {
	requester uint32
	sequence  uint64
}

// preemptionLog remembers the preemptions of an instance's own batch requests, so that
// one cause ends one of them only: a request that two hubs heard of, or whose datagram
// arrived twice, and a surplus that two hubs see before the reports show that it is gone.
type preemptionLog struct {
	byCause  map[preemptionCause]time.Time
	byServer map[uint32]time.Time
}

func newPreemptionLog() preemptionLog {
	return preemptionLog{byCause: map[preemptionCause]time.Time{}, byServer: map[uint32]time.Time{}}
}

func (o *preemption) cause() preemptionCause { return preemptionCause{o.Requester, o.Sequence} }

// isForRequest reports whether the order is for a certain request, rather than for a
// surplus of requests on the server.
func (o *preemption) isForRequest() bool { return o.cause() != preemptionCause{} }

// isRepeated reports whether an order must not be carried out again.
func (l *preemptionLog) isRepeated(now time.Time, o *preemption) bool {
	if o.isForRequest() {
		_, known := l.byCause[o.cause()]
		return known
	}
	at, known := l.byServer[o.Server]
	return known && now.Sub(at) < surplusOrderGap
}

// record records an order that was carried out.
func (l *preemptionLog) record(now time.Time, o *preemption) {
	l.byServer[o.Server] = now
	if o.isForRequest() {
		l.byCause[o.cause()] = now
	}
}

// expire forgets the orders that are too old to be repeated.
func (l *preemptionLog) expire(now time.Time) {
	for cause, at := range l.byCause {
		if now.Sub(at) > preemptionMemory {
			delete(l.byCause, cause)
		}
	}
	for server, at := range l.byServer {
		if now.Sub(at) > preemptionMemory {
			delete(l.byServer, server)
		}
	}
}
