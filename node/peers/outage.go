package peers

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
)

// askedPerRound is the number of instances that are asked at a time whether the store was away.
const askedPerRound = 4

// askDelays are the delays before the rounds of questions: datagrams get lost, and the others may be
// out of reach, or have been, for the same reason as the store.
var askDelays = []time.Duration{0, 150 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond}

// outageCheck finds out whether an outage was one of the store, or of this instance's path to it.
// It is safe for concurrent use.
type outageCheck struct {
	// begins receives the begin of an outage that has ended.
	begins chan time.Time

	mu sync.Mutex
	// since is the begin of the outage about which instances are asked; zero if there is none.
	since time.Time
	// asked counts the questions of this instance, and refuted the outages that were not the
	// store's.
	asked, refuted expvar.Int
}

func newOutageCheck() outageCheck { return outageCheck{begins: make(chan time.Time, 1)} }

// add requests a check of an outage that began at since and has ended. If a check is requested
// already, that one suffices.
func (o *outageCheck) add(since time.Time) {
	select {
	case o.begins <- since:
	default:
	}
}

func (o *outageCheck) set(since time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.since = since
}

func (o *outageCheck) done() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.since.IsZero()
}

// refute reports whether an instance that has reached the store for a time shows that the outage
// in question was not the store's. It does so once an outage.
func (o *outageCheck) refute(now time.Time, up time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() || now.Add(-up).After(o.since) {
		return false
	}
	o.since = time.Time{}
	o.refuted.Add(1)
	return true
}

// OutageMetrics returns the number of questions about outages, and of outages in which other
// instances reached the store.
func (g *Group) OutageMetrics() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("asked", &g.outages.asked)
	m.Set("refuted", &g.outages.refuted)
	return m
}

// CheckOutages asks other instances after each outage whether they reached the store all the time,
// and tells the view if one did. It returns when ctx is done.
func (g *Group) CheckOutages(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case since := <-g.outages.begins:
			g.outages.set(since)
		}
		for _, delay := range askDelays {
			clock.Sleep(ctx, delay)
			if ctx.Err() != nil || g.outages.done() {
				break
			}
			to := g.randomPeers(askedPerRound)
			g.outages.asked.Add(int64(len(to)))
			g.send(kindStoreQuestion, &storeQuestion{Name: g.opt.Name}, to...)
		}
	}
}

// randomPeers returns the addresses of up to n instances, live or not.
func (g *Group) randomPeers(n int) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []netip.AddrPort
	for _, p := range g.peers {
		if p.addrPort.IsValid() {
			addresses = append(addresses, p.addrPort)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}

func (g *Group) onStoreQuestion(_ *storeQuestion, from netip.AddrPort) {
	up := time.Duration(0)
	if g.opt.StoreUpFor != nil {
		up = g.opt.StoreUpFor()
	}
	g.send(kindStoreReply, &storeReply{Name: g.opt.Name, UpMs: uint64(up.Milliseconds())}, from)
}

func (g *Group) onStoreReply(reply *storeReply, _ netip.AddrPort) {
	up := time.Duration(min(reply.UpMs, uint64(maxStoreUp.Milliseconds()))) * time.Millisecond
	if g.outages.refute(time.Now(), up) {
		klog.InfoS("the store was there in the outage", "peer", reply.Name, "reachesStoreFor", up)
		g.opt.View.RecordStoreWasUp()
	}
}

// maxStoreUp limits the time that an instance states, so that it fits into a time.Duration.
const maxStoreUp = 365 * 24 * time.Hour
