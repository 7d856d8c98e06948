package web

import (
	"net"
	"sync"
	"time"
)

// writeChunkBytes is the part of a long write that gets a write timeout of its
// own, so that a caller that reads slowly is not disconnected.
const writeChunkBytes = 64 << 10

// Listener wraps each accepted connection in a *Conn.
type Listener struct {
	net.Listener
	// WriteTimeout bounds the time in which a caller reads 64 KiB of a response.
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

// Conn is a connection on which a handler can detect that the caller has
// disconnected. fasthttp does not read from a connection while a handler runs, so
// that without this it notices a closed connection only on the next write.
type Conn struct {
	net.Conn
	writeTimeout time.Duration

	mu sync.Mutex
	// unread holds what WatchDisconnect has read of the next request.
	unread []byte
}

// Read returns the bytes that WatchDisconnect has read, then those of the connection.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.unread) > 0 && len(p) > 0 {
		n := copy(p, c.unread)
		c.unread = c.unread[n:]
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(p)
}

// Write sends p in chunks, each with a new write deadline.
func (c *Conn) Write(p []byte) (int, error) {
	sent := 0
	for {
		chunk := p[sent:min(sent+writeChunkBytes, len(p))]
		if c.writeTimeout > 0 {
			if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
				return sent, err
			}
		}
		n, err := c.Conn.Write(chunk)
		sent += n
		if err != nil || sent == len(p) {
			return sent, err
		}
	}
}

// WatchDisconnect calls onDisconnect if the caller closes the connection before
// stop is called. Nothing else may read from the connection in between. stop waits
// until the watch has ended; it may be called more than once. The watch also ends
// when the caller sends its next request before it has the response to this one.
func (c *Conn) WatchDisconnect(onDisconnect func()) (stop func()) {
	done := make(chan struct{})
	// The deadline is cleared before the read starts, because stop sets one.
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		onDisconnect()
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
			c.unread = append(c.unread, buf[:n]...)
			c.mu.Unlock()
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if err != nil && !stopped {
			onDisconnect()
		}
	}()
	var once sync.Once
	return func() {
		once.Do(func() {
			mu.Lock()
			stopped = true
			mu.Unlock()
			// An error means that the connection is closed; fasthttp gets the same
			// error from its next call.
			_ = c.SetReadDeadline(time.Unix(1, 0))
			<-done
			_ = c.SetReadDeadline(time.Time{})
		})
	}
}
