package peers

import (
	"context"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// Apply takes the entries of the instances' feed.
func (g *Group) Apply(entries []port.Entry[Instance]) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range entries {
		if e.Key == g.opt.Name || e.Value == nil {
			continue
		}
		if _, err := netip.ParseAddrPort(e.Value.Address); err != nil {
			klog.InfoS("entry of an instance ignored", "peer", e.Key, "err", err)
			continue
		}
		p := g.peer(e.Key, now)
		if p.Instance.Incarnation != e.Value.Incarnation && !p.present(now) {
			p.known = now // it has started again
		}
		if !p.present(now) || p.Address == "" {
			p.Address, p.Incarnation = e.Value.Address, e.Value.Incarnation
		}
		p.Cores, p.DataCentre = e.Value.Cores, e.Value.DataCentre
	}
}

// Announce keeps the instance's entry in the store, lists those of the others, and
// drops the entries of instances that have been silent for long.
func (g *Group) Announce(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		entries, _, err := g.opt.Feed.Newest(ctx)
		pause := announceRetry
		if err == nil {
			g.Apply(entries)
			g.forget(ctx)
			if g.listed(entries) {
				pause = interval
			} else if err := g.announce(ctx); err != nil {
				klog.InfoS("instance not announced", "err", err)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (g *Group) announce(ctx context.Context) error {
	self := &Instance{Address: g.opt.Listen, DataCentre: g.opt.DataCentre, Cores: g.opt.Cores, Incarnation: g.opt.Incarnation}
	return g.opt.Feed.Put(ctx, g.opt.Name, self)
}

// listed reports whether the instance's own entry stands in the store.
func (g *Group) listed(entries []port.Entry[Instance]) bool {
	for _, e := range entries {
		if e.Key == g.opt.Name && e.Value != nil && e.Value.Incarnation == g.opt.Incarnation {
			return true
		}
	}
	return false
}

func (g *Group) forget(ctx context.Context) {
	now := time.Now()
	var gone []string
	g.mu.Lock()
	for name, p := range g.peers {
		if now.Sub(p.known) > forgetAfter && now.Sub(p.heard) > forgetAfter && now.Sub(p.listed) > forgetAfter {
			gone = append(gone, name)
			delete(g.peers, name)
			delete(g.hashes, hash(name))
		}
	}
	g.mu.Unlock()
	for _, name := range gone {
		if err := g.opt.Feed.Put(ctx, name, nil); err != nil {
			klog.InfoS("entry of a lost instance not dropped", "peer", name, "err", err)
		}
	}
}
