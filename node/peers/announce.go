package peers

import (
	"context"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// Apply applies entries of the instances' feed.
func (g *Group) Apply(entries []port.Entry[Instance]) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range entries {
		if e.Key == g.opt.Name || e.Value == nil {
			continue
		}
		if _, err := netip.ParseAddrPort(e.Value.Address); err != nil {
			klog.InfoS("instance entry ignored", "peer", e.Key, "err", err)
			continue
		}
		p := g.getOrCreatePeer(e.Key, now)
		if p.Instance.Incarnation != e.Value.Incarnation && !p.live(now) {
			p.discoveredAt = now // it was restarted
		}
		if !p.live(now) || p.Address == "" {
			p.Address, p.Incarnation = e.Value.Address, e.Value.Incarnation
		}
		p.Cores, p.DataCentre = e.Value.Cores, e.Value.DataCentre
	}
}

// Announce publishes the instance's entry in the store, reads the entries of the others,
// and removes the entries of instances that have not been heard of for peerTTL. It
// repeats this at the interval until ctx is done.
func (g *Group) Announce(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		entries, _, err := g.opt.Feed.Newest(ctx)
		pause := announceRetryDelay
		if err == nil {
			g.Apply(entries)
			g.removeExpiredPeers(ctx)
			if g.isListed(entries) {
				pause = interval
			} else if err := g.announce(ctx); err != nil {
				klog.InfoS("publishing instance entry failed", "err", err)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (g *Group) announce(ctx context.Context) error {
	entry := &Instance{Address: g.opt.Listen, DataCentre: g.opt.DataCentre, Cores: g.opt.Cores, Incarnation: g.opt.Incarnation}
	return g.opt.Feed.Put(ctx, g.opt.Name, entry)
}

// isListed reports whether the entries include the current one of this instance.
func (g *Group) isListed(entries []port.Entry[Instance]) bool {
	for _, e := range entries {
		if e.Key == g.opt.Name && e.Value != nil && e.Value.Incarnation == g.opt.Incarnation {
			return true
		}
	}
	return false
}

func (g *Group) removeExpiredPeers(ctx context.Context) {
	now := time.Now()
	var expired []string
	g.mu.Lock()
	for name, p := range g.peers {
		if now.Sub(p.discoveredAt) > peerTTL && now.Sub(p.heardAt) > peerTTL && now.Sub(p.listedAt) > peerTTL {
			expired = append(expired, name)
			delete(g.peers, name)
			delete(g.peersByHash, hash(name))
		}
	}
	g.mu.Unlock()
	for _, name := range expired {
		if err := g.opt.Feed.Put(ctx, name, nil); err != nil {
			klog.InfoS("removing entry of lost instance failed", "peer", name, "err", err)
		}
	}
}
