package peers

import (
	"net/netip"
	"time"
)

const (
	// lateDatagramTTL is the time after the start of a peer's new process for which datagrams of the one
	// before may still arrive.
	lateDatagramTTL = time.Second
	// maxEndedProcesses is the number of ended processes of a peer that are remembered.
	maxEndedProcesses = 4
)

// processHistory tells the datagrams of a peer's current process from late ones of processes that it has
// replaced. Incarnations are random, so that they do not show which of two processes is the newer one.
type processHistory struct {
	current uint32
	ended   [maxEndedProcesses]endedProcess
	next    int
}

// endedProcess is a process that another one has replaced at a time.
type endedProcess struct {
	incarnation uint32
	replacedAt  time.Time
}

// observe records a datagram of the process with an incarnation, which is zero if the datagram does not
// state it. It returns false if the process was replaced by another one lately.
func (h *processHistory) observe(now time.Time, incarnation uint32) bool {
	if incarnation == 0 || incarnation == h.current {
		return true
	}
	for _, e := range h.ended {
		if e.incarnation == incarnation && now.Sub(e.replacedAt) < lateDatagramTTL {
			return false
		}
	}
	if h.current != 0 {
		h.ended[h.next] = endedProcess{h.current, now}
		h.next = (h.next + 1) % maxEndedProcesses
	}
	h.current = incarnation
	return true
}

// firstSequence returns the number before the first sequence number of a process that starts now. Numbers
// grow by less than one in a millisecond, so that a hub takes those of a new process for later ones than those
// of the process before, unless the clock was set back.
func firstSequence(now time.Time) uint64 { return uint64(max(0, now.UnixMilli())) }

// recordProcess records a datagram in which a peer states the incarnation of its process; zero if it does not.
// It returns nil if the datagram is a late one of a process that has ended. The lock must be held.
func (g *Group) recordProcess(name string, incarnation uint32, from netip.AddrPort) *peer {
	if p := g.peers[name]; p != nil && !p.process.observe(time.Now(), incarnation) {
		return nil
	}
	p := g.recordHeard(name, from)
	p.process.observe(time.Now(), incarnation)
	return p
}
