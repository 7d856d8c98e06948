package peers

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

const (
	// announceRetryDelay is the pause after the entries could not be read or the
	// instance's entry could not be published.
	announceRetryDelay = 500 * time.Millisecond
	// listInterval is the interval at which all entries are listed anew, in case a change of
	// them was missed, and minListInterval the interval if one is known to be.
	listInterval    = time.Minute
	minListInterval = 5 * time.Second
	// entriesReadPause is the pause after a read that returned entries. Many instances
	// publish theirs within a short time when they are restarted together.
	entriesReadPause = 500 * time.Millisecond
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
		address, err := netip.ParseAddrPort(e.Value.Address)
		if err != nil {
			klog.InfoS("instance entry ignored", "peer", e.Key, "err", err)
			continue
		}
		p := g.getOrCreatePeer(e.Key, now)
		if p.Instance.Incarnation != e.Value.Incarnation && !p.live(now) {
			p.discoveredAt = now // it was restarted
		}
		if !p.live(now) || p.Address == "" {
			p.setAddress(address)
			p.Incarnation = e.Value.Incarnation
		}
		if p.Cores != e.Value.Cores {
			p.Cores, g.order = e.Value.Cores, nil
		}
		p.DataCentre = e.Value.DataCentre
		p.protocol = e.Value.Protocol
	}
}

// Announce publishes the instance's entry in the store and follows the entries of the
// others until ctx is done. The store may delay its response to a read by up to wait. On a
// hub, Announce also removes the entries of instances that have not been heard of for
// peerTTL.
func (g *Group) Announce(ctx context.Context, wait time.Duration) {
	next, published := int64(-1), false
	listedAt := time.Time{}
	for ctx.Err() == nil {
		if age := time.Since(listedAt); age > listInterval || age > minListInterval && g.missesEntries() {
			next = -1
		}
		if next < 0 {
			listedAt = time.Now()
		}
		changes, err := g.readEntries(ctx, next, wait)
		var expired *port.ExpiredError
		if errors.As(err, &expired) {
			next = -1
			continue
		}
		if err != nil {
			clock.Sleep(ctx, announceRetryDelay)
			continue
		}
		g.Apply(changes.Entries)
		g.removeExpiredPeers(ctx)
		published = g.isListed(changes.Entries, published && next >= 0)
		behind := changes.Next < changes.End && changes.Next > next
		next = changes.Next
		if !published {
			if err := g.announce(ctx); err != nil {
				klog.InfoS("publishing instance entry failed", "err", err)
				clock.Sleep(ctx, announceRetryDelay)
			}
		}
		if len(changes.Entries) > 0 && !behind {
			clock.Sleep(ctx, min(entriesReadPause, wait))
		}
	}
}

// missesEntries reports whether a roster named an instance whose entry is not known.
func (g *Group) missesEntries() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	missing := g.entriesMissing
	g.entriesMissing = false
	return missing
}

// readEntries reads the changes of the entries from an offset on, or all entries if the
// offset is negative.
func (g *Group) readEntries(ctx context.Context, from int64, wait time.Duration) (port.Changes[Instance], error) {
	if from < 0 {
		entries, next, err := g.opt.Feed.Newest(ctx)
		return port.Changes[Instance]{Entries: entries, Next: next, End: next}, err
	}
	return g.opt.Feed.Changes(ctx, from, wait)
}

func (g *Group) announce(ctx context.Context) error {
	entry := &Instance{Address: g.opt.Listen, DataCentre: g.opt.DataCentre, Cores: g.opt.Cores, Incarnation: g.opt.Incarnation, Protocol: currentProtocol}
	return g.opt.Feed.Put(ctx, g.opt.Name, entry)
}

// isListed reports whether the newest entry of this instance is the current one; before is
// whether it was before these entries.
func (g *Group) isListed(entries []port.Entry[Instance], before bool) bool {
	for _, e := range entries {
		if e.Key == g.opt.Name {
			before = e.Value != nil && e.Value.Incarnation == g.opt.Incarnation
		}
	}
	return before
}

func (g *Group) removeExpiredPeers(ctx context.Context) {
	now := time.Now()
	var expired []string
	g.mu.Lock()
	if !g.hub.active {
		g.mu.Unlock()
		return
	}
	for name, p := range g.peers {
		if now.Sub(p.discoveredAt) > peerTTL && now.Sub(p.heardAt) > peerTTL && now.Sub(p.listedAt) > peerTTL {
			expired = append(expired, name)
			delete(g.peers, name)
			delete(g.peersByHash, hash(name))
			g.order = nil
		}
	}
	g.mu.Unlock()
	for _, name := range expired {
		if err := g.opt.Feed.Put(ctx, name, nil); err != nil {
			klog.InfoS("removing entry of lost instance failed", "peer", name, "err", err)
		}
	}
}
