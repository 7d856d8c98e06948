package tunnel

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/exchange"
	"github.com/jacinthnotch/jacinthnotch/policy/linkstate"
)

const (
	// DialTimeout limits the time for a connection to a server on all paths.
	DialTimeout = time.Second
	// directTimeout limits a direct dial. It is well above the usual connect time of 1 ms and below the
	// TCP retransmission timeout of a lost SYN.
	directTimeout = 300 * time.Millisecond
	// relayDelay is the time without a connection after which peers are asked beside the direct dial.
	relayDelay = 100 * time.Millisecond
	// relayGrace is the time that peers have after the direct dial has failed. The servers may be down,
	// and the request better sent to another one.
	relayGrace = 200 * time.Millisecond
)

// Options are the options of a Dialer.
type Options struct {
	Peers Peers
	// Servers returns the addresses of the servers.
	Servers func() []string
	// Direct opens a connection directly; nil means exchange.Dial.
	Direct func(ctx context.Context, network, address string) (net.Conn, error)
	// ToPeer opens a connection to another instance; nil means exchange.Dial.
	ToPeer func(ctx context.Context, network, address string) (net.Conn, error)
	// OnChange, if not nil, is called after each change of the path.
	OnChange func()
}

// Dialer opens connections to servers, directly or through another instance. It is safe for concurrent
// use.
type Dialer struct {
	opt     Options
	client  *client
	metrics *metrics
	// suspects receives the address of a server that should be probed.
	suspects chan string

	mu    sync.Mutex
	links *linkstate.Links
}

// NewDialer returns a dialer whose links are up.
func NewDialer(opt Options) *Dialer {
	if opt.Direct == nil {
		opt.Direct = exchange.Dial
	}
	if opt.ToPeer == nil {
		opt.ToPeer = exchange.Dial
	}
	d := &Dialer{opt: opt, client: newClient(opt.Peers, opt.ToPeer), suspects: make(chan string, 1), links: linkstate.New(), metrics: newMetrics()}
	d.metrics.path = func() string { return d.path().String() }
	return d
}

// NewServer returns a server of tunnels that shares the state of the links.
func (d *Dialer) NewServer(maxTunnels int, isServer func(address string) bool) *Server {
	s := &Server{MaxTunnels: maxTunnels, IsServer: isServer, Helps: d.helps, Dial: d.dialDirect, metrics: d.metrics}
	d.metrics.open = s.Open
	return s
}

// LinksUp reports whether the instance's own links to servers are up, as far as it knows.
func (d *Dialer) LinksUp() bool { return d.path() == linkstate.Direct }

// helps reports whether the instance's own links are sound enough to open tunnels for others.
func (d *Dialer) helps() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.links.Path() == linkstate.Direct && !d.links.Doubtful(time.Now())
}

func (d *Dialer) path() linkstate.Path {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.links.Path()
}

// Suspect requests a probe of the direct path to a server, after a request there broke off.
func (d *Dialer) Suspect(address string) {
	select {
	case d.suspects <- address:
	default: // the probe that is due shows the same
	}
}

// attempt is the outcome of a dial on one path.
type attempt struct {
	conn net.Conn
	err  error
}

// Dial opens a connection to a server. It is the Dial function of exchange.Options.
func (d *Dialer) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	if !d.LinksUp() {
		c, err := d.dialThroughPeer(ctx, time.Now(), address)
		// The links may have come back meanwhile.
		if err == nil || !errors.Is(err, ErrNoPeer) && !errors.Is(err, errNotAsked) {
			return c, err
		}
	}
	began := time.Now()
	direct := make(chan attempt, 1)
	go func() {
		// The dial goes on without ctx, as its outcome tells the state of the link.
		c, err := d.dialDirect(context.WithoutCancel(ctx), "tcp", address)
		direct <- attempt{c, err}
	}()
	timer := time.NewTimer(relayDelay)
	defer timer.Stop()
	select {
	case a := <-direct:
		if a.err == nil {
			return a.conn, nil
		}
		direct <- a
	case <-timer.C:
	case <-ctx.Done():
		go discard(direct)
		return nil, ctx.Err()
	}
	return d.race(ctx, began, address, direct)
}

// race opens a connection through a peer while a direct dial goes on, and returns the one that is
// open first. Once the direct dial has failed, it waits for relayGrace.
func (d *Dialer) race(ctx context.Context, began time.Time, address string, direct <-chan attempt) (net.Conn, error) {
	relayed, cancel := d.startRelayed(ctx, began, address)
	var directErr, relayErr error
	var grace <-chan time.Time
	for {
		select {
		case a := <-direct:
			if a.err == nil {
				cancel()
				go discard(relayed)
				return a.conn, nil
			}
			if relayed == nil {
				return nil, d.causeOf(relayErr, a.err)
			}
			direct, directErr = nil, a.err
			timer := time.NewTimer(relayGrace)
			defer timer.Stop()
			grace = timer.C
		case b := <-relayed:
			if b.err == nil {
				go discard(direct)
				return b.conn, nil
			}
			if direct == nil {
				return nil, d.causeOf(b.err, directErr)
			}
			relayed, relayErr = nil, b.err
		case <-grace:
			go discard(relayed)
			return nil, directErr
		case <-ctx.Done():
			go discard(relayed)
			go discard(direct)
			return nil, ctx.Err()
		}
	}
}

// startRelayed dials through a peer. The dial goes on without ctx, as its outcome tells the state of the
// links.
func (d *Dialer) startRelayed(ctx context.Context, began time.Time, address string) (<-chan attempt, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), DialTimeout)
	relayed := make(chan attempt, 1)
	go func() {
		defer cancel()
		c, err := d.dialThroughPeer(ctx, began, address)
		relayed <- attempt{c, err}
	}()
	return relayed, cancel
}

// causeOf returns the error of a dial that failed with the given ones through peers and directly. While
// the links count as up, the server is at fault.
func (d *Dialer) causeOf(relayed, direct error) error {
	if relayed == nil || errors.Is(relayed, ErrNoPeer) && !d.LinksUp() {
		return relayed
	}
	return direct
}

// discard closes the connection of an attempt that is not needed; nil means that there is none.
func discard(attempts <-chan attempt) {
	if attempts == nil {
		return
	}
	if a := <-attempts; a.conn != nil {
		_ = a.conn.Close()
	}
}

// dialDirect opens a direct connection and records the outcome.
func (d *Dialer) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	c, err := d.opt.Direct(dialCtx, network, address)
	if err != nil && ctx.Err() != nil {
		return nil, err
	}
	now := time.Now()
	known := len(d.opt.Servers())
	d.mu.Lock()
	var lost, regained bool
	if err == nil {
		regained = d.links.DirectSucceeded(now, address, known)
	} else {
		lost = d.links.DirectFailed(now, address, known)
	}
	suspect := d.links.Suspect(now)
	d.mu.Unlock()
	d.notify(lost, regained, suspect)
	return c, err
}

// errNotAsked is the error of a dial for which no peer needs to be asked.
var errNotAsked = errors.New("tunnel: the direct path counts")

// dialThroughPeer opens a tunnel and records the outcome. A direct dial has not reached the server since
// it began at the given time.
func (d *Dialer) dialThroughPeer(ctx context.Context, began time.Time, address string) (net.Conn, error) {
	d.mu.Lock()
	may := d.links.MayAskPeers(time.Now(), began, address)
	down := d.links.Path() == linkstate.ThroughPeer
	d.mu.Unlock()
	if !may {
		if down {
			return nil, ErrServer
		}
		return nil, errNotAsked
	}
	c, err := d.client.Open(ctx, address)
	now := time.Now()
	switch {
	case err == nil:
		d.metrics.count("opened")
		known := len(d.opt.Servers())
		d.mu.Lock()
		lost := d.links.PeerSucceeded(now, address, known)
		suspect := d.links.Suspect(now)
		d.mu.Unlock()
		d.notify(lost, false, suspect)
	case errors.Is(err, ErrServer):
		d.metrics.count("unreached")
		d.mu.Lock()
		d.links.PeersFailed(now, address)
		d.mu.Unlock()
	case ctx.Err() == nil:
		d.metrics.count("no_peer")
	}
	return c, err
}

// notify logs and counts a change of the path, and requests the probes that are due after an event.
func (d *Dialer) notify(lost, regained, suspect bool) {
	if lost || suspect {
		d.Suspect("")
	}
	if !lost && !regained {
		return
	}
	event := "lost"
	if regained {
		event = "regained"
	}
	klog.InfoS("dependency "+event, "dependency", "servers", "path", "own")
	d.metrics.count(event)
	if d.opt.OnChange != nil {
		d.opt.OnChange()
	}
}
