package edge

import (
	"expvar"
	"net"
	"runtime"
	"runtime/metrics"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// minStall is added to the time without progress by which connections are compared, so that
	// size alone decides among those that progress.
	minStall = 100 * time.Millisecond
	// blockedWriteTime is the time after which a response that is not read makes its connection
	// one that may be ended.
	blockedWriteTime = time.Second
	// hardLimitFactor times the limit is what the account never exceeds, with the connections
	// that are ending.
	hardLimitFactor = 2
	// largeGrowth is the growth in bytes from which a reader waits for a collection of garbage.
	largeGrowth = 16 << 10
	// logInterval is the time between two log lines about limits that struck.
	logInterval = time.Second
)

// Account limits the memory and the number of a group of connections. It is safe for concurrent
// use.
type Account struct {
	name string
	// limit is in bytes.
	limit, maxConns int
	counts          expvar.Map

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// used is the sum of what the connections hold, in bytes, and ending the part of it of those
	// that are being ended.
	used, ending int
	loggedAt     time.Time
	// churn is the growth in bytes since the garbage collection number cycle.
	churn int
	cycle uint64

	collecting sync.Mutex
}

// NewAccount returns an account of limit bytes and maxConns connections. The name is for the log.
func NewAccount(name string, limit, maxConns int) *Account {
	return &Account{name: name, limit: limit, maxConns: maxConns, conns: map[*Conn]struct{}{}}
}

// Metrics returns the counters of the account: bytes and conns that are held, and how often each
// limit struck.
func (a *Account) Metrics() expvar.Var {
	all := new(expvar.Map)
	all.Set("struck", &a.counts)
	all.Set("bytes", expvar.Func(func() any { used, _ := a.state(); return used }))
	all.Set("conns", expvar.Func(func() any { _, conns := a.state(); return conns }))
	return all
}

// state returns the bytes that are held and the number of connections.
func (a *Account) state() (used, conns int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used, len(a.conns)
}

// strike counts that a limit struck, and logs it at most once in logInterval.
func (a *Account) strike(limit string, c *Conn) {
	a.counts.Add(limit, 1)
	if now := time.Now(); now.Sub(a.loggedAt) >= logInterval {
		a.loggedAt = now
		klog.InfoS("limit on connections struck", "port", a.name, "limit", limit, "from", c.RemoteAddr().String(), "held", c.held, "used", a.used, "connections", len(a.conns))
	}
}

// strikeHead counts a head above the limit.
func (a *Account) strikeHead(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.strike("head", c)
}

// add adds a connection. If there are too many it ends the one that progresses least of those that
// carry no complete request; it returns false if there is none.
func (a *Account) add(c *Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.conns) >= a.maxConns {
		var victim *Conn
		for other := range a.conns {
			if other.mayEnd(c.progressAt) && (victim == nil || other.before(victim)) {
				victim = other
			}
		}
		a.strike("connections", c)
		if victim == nil {
			return false
		}
		a.end(victim)
		// Its descriptor is free at once; its goroutine ends with its next read.
		_ = victim.TCPConn.Close()
		delete(a.conns, victim)
	}
	a.conns[c] = struct{}{}
	return true
}

// remove removes a connection and what it holds.
func (a *Account) remove(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.removed {
		return
	}
	c.removed = true
	delete(a.conns, c)
	a.used -= c.held
	if c.ending {
		a.ending -= c.held
	}
}

// resize records that a connection holds a number of bytes. If the account is full, it ends the
// connections that hold most and progress least; it returns false if the connection itself is to
// end.
func (a *Account) resize(c *Conn, to int, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.resizeLocked(c, to, now)
}

// resizeLocked is resize for a caller that holds the lock.
func (a *Account) resizeLocked(c *Conn, to int, now time.Time) bool {
	if c.removed {
		return false
	}
	grow := to - c.held
	for grow > 0 && !c.ending && a.used-a.ending+grow > a.limit {
		victim, most := c, float64(to)*minStall.Seconds()
		for other := range a.conns {
			if other == c || !other.mayEnd(now) {
				continue
			}
			if weight := float64(other.held) * (now.Sub(other.progressAt) + minStall).Seconds(); weight > most {
				victim, most = other, weight
			}
		}
		a.strike("memory", victim)
		a.end(victim)
	}
	if grow > 0 && (c.ending || a.used+grow > hardLimitFactor*a.limit) {
		return false
	}
	if a.used += grow; c.ending {
		a.ending += grow
	}
	c.held = to
	a.churn += max(0, grow)
	return true
}

// collect collects the garbage of ended requests if as much as the account's limit was granted
// since the last collection. The runtime alone may fall behind: it lets the heap grow past its
// limit rather than spend over half of the processor's time. Readers of much wait meanwhile.
func (a *Account) collect(grow int) {
	if grow < largeGrowth || !a.isCollectionDue() {
		return
	}
	a.collecting.Lock()
	defer a.collecting.Unlock()
	if a.isCollectionDue() {
		a.counts.Add("collections", 1)
		runtime.GC()
	}
}

// isCollectionDue reports whether there was no collection since the churn exceeded the limit.
func (a *Account) isCollectionDue() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.churn <= a.limit {
		return false
	}
	cycles := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(cycles)
	if now := cycles[0].Value.Uint64(); now != a.cycle {
		a.churn, a.cycle = 0, now
		return false
	}
	return true
}

// end makes a connection end. Its reader wakes up and tells its client.
func (a *Account) end(c *Conn) {
	if c.ending {
		return
	}
	c.ending = true
	a.ending += c.held
	if !c.blockedSince.IsZero() {
		_ = c.TCPConn.SetLinger(0)
		_ = c.TCPConn.Close()
		return
	}
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
}

// Listener accepts connections that count in an account.
type Listener struct {
	*net.TCPListener
	account *Account
	limits  func() Limits
	http    bool
}

// NewListener returns a listener whose connections count in the account. If http is set they
// carry requests that limits applies to, and the server's ConnState function has to be RecordState;
// otherwise each message counts until it is answered.
func NewListener(l *net.TCPListener, account *Account, http bool, limits func() Limits) *Listener {
	return &Listener{TCPListener: l, account: account, http: http, limits: limits}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if c := l.account.Open(tcp, l.http, l.limits); c != nil {
			return c, nil
		}
	}
}
