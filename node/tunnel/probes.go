package tunnel

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
	"github.com/jacinthnotch/jacinthnotch/policy/linkstate"
)

// RunProbes probes servers directly after a suspicion, and repeatedly while the links are down or
// suspected. It returns when ctx is done.
func (d *Dialer) RunProbes(ctx context.Context) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for {
		var address string
		select {
		case <-ctx.Done():
			return
		case address = <-d.suspects:
		}
		for again := true; again && ctx.Err() == nil; address = "" {
			d.probe(ctx, address)
			var delay time.Duration
			again, delay = d.nextProbe(random)
			if again {
				clock.Sleep(ctx, delay)
			}
		}
	}
}

// nextProbe reports whether another probe is due, and after which delay.
func (d *Dialer) nextProbe(random *rand.Rand) (again bool, delay time.Duration) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.links.Path() == linkstate.ThroughPeer || d.links.Suspect(now), d.links.ProbeDelay(now, random)
}

// probe dials a server directly and, if that fails while the links count as up, through a peer. An empty
// address means a random server.
func (d *Dialer) probe(ctx context.Context, address string) {
	if address == "" {
		address = d.chooseProbe()
	}
	if address == "" {
		return // no server is known
	}
	d.metrics.count("probes")
	began := time.Now()
	c, err := d.dialDirect(ctx, "tcp", address)
	if err != nil && d.LinksUp() {
		c, err = d.dialThroughPeer(ctx, began, address)
	}
	if err == nil {
		_ = c.Close()
	}
}

// chooseProbe returns the address of a random server, preferably one that adds to what is known.
func (d *Dialer) chooseProbe() string {
	list := d.opt.Servers()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, address := range list {
		if d.links.WorthProbing(now, address) {
			return address
		}
	}
	if len(list) == 0 {
		return ""
	}
	return list[0]
}
