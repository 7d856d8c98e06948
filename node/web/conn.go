package web

import (
	"net"
	"sync"
	"time"
)

// writeStep is the part of a long write that gets a write timeout of its own,
// so that a slow but reading caller is not cut off.
const writeStep = 64 << 10

// Listener wraps the connections of a listener in *Conn.
type Listener struct {
	net.Listener
	// WriteTimeout bounds the time in which a caller takes 64 KiB of an answer.
	WriteTimeout time.Duration
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, writeTimeout: l.WriteTimeout}, nil
}

// Conn is a connection on which a handler can watch for the caller going away.
// fasthttp does not read from a connection while a handler runs, so that it
// notices a closed connection only with the next write.
type Conn struct {
	net.Conn
	writeTimeout time.Duration

	mu sync.Mutex
	// held is a byte of the next request that a watch has read.
	held []byte
}

// Read returns bytes that a watch has read, then those of the connection.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.held) > 0 && len(p) > 0 {
		n := copy(p, c.held)
		c.held = c.held[n:]
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(p)
}

// Write sends p with a new write deadline for each step.
func (c *Conn) Write(p []byte) (int, error) {
	sent := 0
	for {
		step := p[sent:min(sent+writeStep, len(p))]
		if c.writeTimeout > 0 {
			if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
				return sent, err
			}
		}
		n, err := c.Conn.Write(step)
		sent += n
		if err != nil || sent == len(p) {
			return sent, err
		}
	}
}

// WatchDisconnect calls gone when the caller closes the connection before stop is
// called. Nothing else may read from the connection in between. stop waits
// until the watch has ended; it may be called more than once. A caller that
// sends its next request early is not watched any longer.
func (c *Conn) WatchDisconnect(gone func()) (stop func()) {
	done := make(chan struct{})
	// The deadline is cleared before the read starts, because stop sets one.
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		gone()
		return func() {}
	}
	var mu sync.Mutex
	stopped := false
	go func() {
		defer close(done)
		var buf [1]byte
		n, err := c.Conn.Read(buf[:])
		if n > 0 {
			c.mu.Lock()
			c.held = append(c.held, buf[:n]...)
			c.mu.Unlock()
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if err != nil && !stopped {
			gone()
		}
	}()
	var once sync.Once
	return func() {
		once.Do(func() {
			mu.Lock()
			stopped = true
			mu.Unlock()
			// The errors are those of a closed connection, which fasthttp meets next.
			_ = c.SetReadDeadline(time.Unix(1, 0))
			<-done
			_ = c.SetReadDeadline(time.Time{})
		})
	}
}
