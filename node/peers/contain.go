package peers

import (
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/policy/contain"
)

// Blocked reports whether a request is held back because it crashes servers.
func (g *Group) Blocked(f contain.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Blocked(time.Now(), f)
}

// RecordFailure records that a run of a request broke off on a server, here and at the hubs.
func (g *Group) RecordFailure(f contain.Fingerprint, server string) {
	b := &breakage{Request: f, Server: hash(server)}
	g.takeBreakage(b)
	g.tellHubs(b)
}

// RecordSuccess records that a request was answered.
func (g *Group) RecordSuccess(f contain.Fingerprint) {
	g.mu.Lock()
	known := !g.ledger.Empty() && g.ledger.RecordSuccess(f)
	g.mu.Unlock()
	if known {
		g.tellHubs(&breakage{Request: f, Answered: true})
	}
}

func (g *Group) takeBreakage(b *breakage) {
	g.mu.Lock()
	held := false
	if b.Answered {
		g.ledger.RecordSuccess(b.Request)
	} else {
		held = g.ledger.RecordFailure(time.Now(), b.Request, b.Server)
	}
	g.mu.Unlock()
	if held {
		klog.InfoS("request held back", "fingerprint", b.Request, "cause", "its runs broke on several servers", "lastServer", b.Server)
	}
}

// tellHubs sends a breakage to the other hubs.
func (g *Group) tellHubs(b *breakage) {
	var to []netip.AddrPort
	now := time.Now()
	g.mu.Lock()
	for _, name := range first(g.ranking(now, false), hubs) {
		if p := g.peers[name]; p != nil {
			if address, ok := p.to(); ok {
				to = append(to, address)
			}
		}
	}
	g.mu.Unlock()
	g.send(kindBreak, b, to)
}
