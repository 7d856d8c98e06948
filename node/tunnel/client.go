package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/exchange"
	"github.com/jacinthnotch/jacinthnotch/policy/pathselect"
)

const (
	// peerTimeout limits the time for one peer, which includes its own dial.
	peerTimeout = serverTimeout + 100*time.Millisecond
	// maxFailures limits the peers that fail for one dial, and maxRefusals those that refuse at once.
	maxFailures = 3
	maxRefusals = 8
	// peerCooldown is how long a peer is not asked after it refused or did not respond.
	peerCooldown = time.Second
	// provenFor is how long a peer that opened a tunnel is preferred.
	provenFor = 3 * time.Second
	// minProven is the number of peers that share the tunnels of one instance, where so many help. Until they
	// are found, exploreShare of the dials ask another peer first.
	minProven    = 4
	exploreShare = 0.5
)

var (
	// ErrServer reports that peers were asked and did not reach the server either.
	ErrServer = errors.New("tunnel: other instances do not reach the server")
	// ErrNoPeer reports that no peer could be asked. It is no fault of the server.
	ErrNoPeer = fmt.Errorf("%w: no other instance opens a tunnel", exchange.ErrPath)
	// errRefused reports that a peer opens no tunnel.
	errRefused = errors.New("tunnel: refused")
)

// Peers lists the other instances.
type Peers interface {
	// LivePeers returns the other live instances that are not leaving.
	LivePeers() []pathselect.Peer
}

// client opens tunnels. It is safe for concurrent use.
type client struct {
	peers Peers
	dial  func(ctx context.Context, network, address string) (net.Conn, error)

	mu sync.Mutex
	// cooldownUntil holds when peers may be asked again, and provenUntil those that opened a tunnel.
	cooldownUntil, provenUntil map[string]time.Time
}

func newClient(peers Peers, dial func(ctx context.Context, network, address string) (net.Conn, error)) *client {
	return &client{peers: peers, dial: dial, cooldownUntil: map[string]time.Time{}, provenUntil: map[string]time.Time{}}
}

// Open opens a tunnel to a server through one of the peers. The error wraps ErrServer if peers did not
// reach the server, and ErrNoPeer if none could be asked. Nothing was sent to the server then.
func (c *client) Open(ctx context.Context, server string) (net.Conn, error) {
	failures, refusals, unreached := 0, 0, 0
	var last error
	for _, p := range c.rank(time.Now()) {
		if ctx.Err() != nil || failures >= maxFailures || refusals >= maxRefusals {
			break
		}
		opened, err := c.openThrough(ctx, p, server)
		if err == nil {
			c.record(p.Name, true)
			return opened, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		last = err
		switch {
		case errors.Is(err, ErrServer):
			failures++
			unreached++
			continue
		case errors.Is(err, errRefused):
			refusals++
		default:
			failures++
		}
		c.record(p.Name, false)
	}
	switch {
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case unreached > 0:
		return nil, ErrServer
	case last != nil:
		return nil, fmt.Errorf("%w: %w", ErrNoPeer, last)
	}
	return nil, ErrNoPeer
}

// record records whether a peer opened a tunnel.
func (c *client) record(peer string, opened bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if opened {
		c.provenUntil[peer] = now.Add(provenFor)
		return
	}
	delete(c.provenUntil, peer)
	c.cooldownUntil[peer] = now.Add(peerCooldown)
}

// rank returns the peers to ask in turn: first those that opened a tunnel lately, then the others, each in
// an order that alternates between data centres. While few are known to help, one of the others may come first.
func (c *client) rank(now time.Time) []pathselect.Peer {
	list := c.peers.LivePeers()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	var proven, others []pathselect.Peer
	c.mu.Lock()
	for _, p := range list {
		switch {
		case now.Before(c.cooldownUntil[p.Name]):
		case now.Before(c.provenUntil[p.Name]):
			proven = append(proven, p)
		default:
			others = append(others, p)
		}
	}
	for _, m := range [...]map[string]time.Time{c.cooldownUntil, c.provenUntil} {
		for name, until := range m {
			if now.After(until) {
				delete(m, name)
			}
		}
	}
	c.mu.Unlock()
	proven, others = alternate(proven), alternate(others)
	if len(proven) < minProven && len(others) > 0 && rand.Float64() < exploreShare {
		proven, others = append([]pathselect.Peer{others[0]}, proven...), others[1:]
	}
	return append(proven, others...)
}

// alternate orders peers so that those in the same data centre and others alternate: all of one data centre
// may have lost their links.
func alternate(list []pathselect.Peer) []pathselect.Peer {
	var local, remote, ranked []pathselect.Peer
	for _, p := range list {
		if p.SameDataCentre {
			local = append(local, p)
		} else {
			remote = append(remote, p)
		}
	}
	for len(local) > 0 && len(remote) > 0 {
		ranked = append(ranked, local[0], remote[0])
		local, remote = local[1:], remote[1:]
	}
	return append(append(ranked, local...), remote...)
}

// openThrough opens a tunnel through one peer.
func (c *client) openThrough(ctx context.Context, p pathselect.Peer, server string) (net.Conn, error) {
	address, err := listenAddress(p.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	raw, err := c.dial(ctx, "tcp", address)
	if err != nil {
		if ctx.Err() == nil {
			err = fmt.Errorf("%w: %w", errRefused, err) // it does not listen
		}
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	reader := bufio.NewReaderSize(raw, bufferBytes)
	if err := handshake(raw, reader, server); err != nil {
		_ = raw.Close()
		if ctx.Err() == nil && !errors.Is(err, ErrServer) {
			err = fmt.Errorf("%w: %w", errRefused, err)
		}
		return nil, err
	}
	if !stop() {
		return nil, ctx.Err()
	}
	return newConn(raw, reader), nil
}

// handshake asks for a tunnel to a server.
func handshake(raw net.Conn, reader *bufio.Reader, server string) error {
	if _, err := fmt.Fprintf(raw, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n\r\n", server, server); err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusBadGateway:
		return ErrServer
	}
	return fmt.Errorf("tunnel: status %d", response.StatusCode)
}

// listenAddress returns the address at which a peer accepts tunnels: the port after that of its other
// protocols.
func listenAddress(peer string) (string, error) {
	address, err := netip.ParseAddrPort(peer)
	if err != nil {
		return "", err
	}
	return netip.AddrPortFrom(address.Addr(), address.Port()+1).String(), nil
}
