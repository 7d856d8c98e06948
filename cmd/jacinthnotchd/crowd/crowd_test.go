package crowd_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// crowdSize is the number of the connections of a crowd.
const crowdSize = 200

// sendTime limits how long a client of a crowd sends.
const sendTime = 2 * time.Second

// crowd is a number of equal clients.
type crowd struct {
	name string
	// size is the number of connections; crowdSize if it is zero.
	size int
	// prefix is sent first, then part again and again, count times.
	prefix string
	part   func(n int) string
	count  int
	suffix string
	// address returns the address that the clients connect to; the callers' one if it is nil.
	address func(i *instance) string
}

const (
	head = "POST /u/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: c\r\nContent-Length: 8\r\n"
	job  = "POST /b/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: "
)

func same(part string) func(int) string { return func(int) string { return part } }

// fill returns how often a part fits into the header limit beside an ordinary head.
func fill(part string) int { return (headerBytes - 1024) / len(part) }

func onReadiness(i *instance) string { return i.readiness }
func onPeer(i *instance) string      { return i.peer }

func crowds(t *testing.T) []crowd {
	get := strings.Replace(head, "Content-Length: 8\r\n", "\r\n", 1)
	megabyte := strings.Repeat("b", 64<<10)
	items := submission(t, 1<<20)
	return []crowd{
		{name: "lines of one name", prefix: head, part: same("a:\r\n"), count: fill("a:\r\n"), suffix: "\r\n"},
		{name: "lines of many names", prefix: head, part: func(n int) string { return fmt.Sprintf("%x:\r\n", n) }, count: fill("0000:\r\n"), suffix: "\r\n"},
		{name: "complete requests of many names", prefix: head, part: func(n int) string { return fmt.Sprintf("%x:\r\n", n) }, count: fill("0000:\r\n"), suffix: "\r\n12345678"},
		{name: "odd lines", prefix: head, part: func(n int) string { return fmt.Sprintf("!%x~|: \t\x80\r\n", n) }, count: fill("!0000~|: \t\x80\r\n"), suffix: "\r\n"},
		{name: "folded lines", prefix: head + "a: b\r\n", part: same(" \r\n"), count: fill(" \r\n"), suffix: "\r\n"},
		{name: "list in Connection", prefix: head + "Connection: ", part: func(n int) string { return fmt.Sprintf("%x,", n) }, count: fill("0000,"), suffix: "\r\n\r\n12345678"},
		{name: "list in X-Prompt-Prefix", prefix: head + "X-Prompt-Prefix: ", part: same(","), count: fill(","), suffix: "\r\n\r\n"},
		{name: "heads over the limit", prefix: head + "a: ", part: same(megabyte), count: 16, suffix: "\r\n\r\n"},
		{name: "heads without end", prefix: head, part: func(n int) string { return fmt.Sprintf("%x:\r\n", n) }, count: 1 << 20},
		{name: "lines without end", part: same(megabyte), count: 64},
		{name: "heads that stop", prefix: head, part: same("a: b\r\n"), count: fill("a: b\r\n")},
		{name: "empty lines", part: same(strings.Repeat("\r\n", 1024)), count: 4096},
		{name: "bodies that stop", prefix: strings.Replace(head, "8\r\n", "4000000\r\n\r\n", 1), part: same(megabyte), count: 16},
		{name: "bodies never sent", prefix: strings.Replace(head, "8\r\n", "4000000\r\nExpect: 100-continue\r\n\r\n", 1)},
		{name: "chunk extensions", prefix: strings.Replace(head, "Content-Length: 8", "Transfer-Encoding: chunked\r\n", 1), part: same("1;" + strings.Repeat("e", 3000) + "\r\nx\r\n"), count: 1000},
		{name: "trailers", prefix: strings.Replace(head, "Content-Length: 8", "Transfer-Encoding: chunked\r\n", 1) + "0\r\n", part: func(n int) string { return fmt.Sprintf("%x:\r\n", n) }, count: 1 << 18},
		{name: "pipelined requests", part: same(get), count: 20000},
		{name: "connections that send nothing", size: 2 * descriptors},
		{name: "responses that nobody reads", prefix: strings.Replace(get, "/u/x", "/u/long", 1)},
		{name: "batch jobs", prefix: job, part: func(n int) string { return fmt.Sprint(rand.Uint64()) }, count: 1,
			suffix: fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n%s", len(items), items)},
		{name: "batch jobs that stop", prefix: job, part: func(n int) string { return fmt.Sprint(rand.Uint64()) }, count: 1,
			suffix: fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n%s", len(items)+1, items)},
		{name: "readiness, lines of many names", address: onReadiness, prefix: "GET /metrics HTTP/1.1\r\nHost: h\r\n", part: func(n int) string { return fmt.Sprintf("%x:\r\n", n) }, count: 1 << 17},
		{name: "readiness, connections that send nothing", address: onReadiness, size: 2 * descriptors},
		{name: "instances, frames that stop", address: onPeer, prefix: frame(4 << 20), part: same(megabyte), count: 60},
		{name: "instances, frames without end of message", address: onPeer, part: same(frame(60<<10) + megabyte[:60<<10]), count: 60},
		{name: "instances, connections that send nothing", address: onPeer, size: 2 * descriptors},
	}
}

// frame returns the header of a frame of the protocol between instances (drpc: a control byte
// for a message, the ids of its stream and of itself, and its length).
func frame(length int) string {
	const message = 2 << 1 // kind 2, not the last frame of its packet
	header := []byte{message}
	header = binary.AppendUvarint(header, 1)
	header = binary.AppendUvarint(header, 1)
	return string(binary.AppendUvarint(header, uint64(length)))
}

// send opens the connections of a crowd and sends what its clients send, without reading. The
// connections stay open until the test ends.
func (c *crowd) send(t *testing.T, i *instance) {
	address := i.callers
	if c.address != nil {
		address = c.address(i)
	}
	size := c.size
	if size == 0 {
		size = crowdSize
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	for range size {
		wait.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTime)
			if err != nil {
				return // the instance may refuse connections
			}
			mu.Lock()
			t.Cleanup(func() { _ = conn.Close() })
			mu.Unlock()
			// A small buffer for what is received makes a client that does not read hold
			// responses up.
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			_ = conn.SetWriteDeadline(time.Now().Add(sendTime))
			// An error means that the instance has closed the connection or reads no more.
			if _, err = conn.Write([]byte(c.prefix)); err != nil {
				return
			}
			var buffer []byte
			for n := range c.count {
				if buffer = append(buffer, c.part(n)...); len(buffer) >= 16<<10 || n == c.count-1 {
					if _, err := conn.Write(buffer); err != nil {
						return
					}
					buffer = buffer[:0]
				}
			}
			_, _ = conn.Write([]byte(c.suffix))
		})
	}
	wait.Wait()
}

// Guards against clients that end the process, as one that runs out of memory or of
// descriptors, or that keep it from answering others.
func TestCrowd(t *testing.T) {
	for _, c := range crowds(t) {
		t.Run(c.name, func(t *testing.T) {
			i := start(t)
			c.send(t, i)
			i.check(t)
		})
	}
}

// Guards against datagrams that take the memory of an instance: senders that nobody knows, and
// lists that state more entries than they have.
func TestDatagrams(t *testing.T) {
	const datagrams, kinds = 50000, 24
	i := start(t)
	conn, err := net.Dial("udp", i.peer)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	random := rand.New(rand.NewPCG(1, 2))
	for n := range datagrams {
		raw := []byte{byte(1 + n%kinds)}
		switch n % 3 {
		case 0: // an array of eight fields that begins with a name and holds a list of 2^31 entries
			raw = append(raw, 0x88, 0x68)
			raw = fmt.Appendf(raw, "%08x", random.Uint32())
			raw = append(raw, 1, 0xf4, 1, 0x9a, 0x7f, 0xff, 0xff, 0xff)
		case 1: // deep nesting
			raw = append(raw, strings.Repeat("\x81", 1000)...)
		default:
			for range 100 {
				raw = append(raw, byte(random.Uint32()))
			}
		}
		_, _ = conn.Write(raw) // a full queue is part of the test
	}
	i.check(t)
}

// Guards against a limit that refuses a single request inside the limits of the configuration
// in calm.
func TestSingleRequestInsideLimits(t *testing.T) {
	i := start(t)
	for _, c := range []crowd{
		{prefix: head, part: same("a:\r\n"), count: fill("a:\r\n"), suffix: "\r\n12345678"},
		{prefix: head, part: func(n int) string { return fmt.Sprintf("%x:\r\n", n) }, count: fill("0000:\r\n"), suffix: "\r\n12345678"},
		{prefix: strings.Replace(head, "8\r\n", fmt.Sprintf("%d\r\n\r\n", bodyBytes), 1), part: same(strings.Repeat("b", 1024)), count: bodyBytes / 1024},
	} {
		conn, err := net.Dial("tcp", i.callers)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		raw := c.prefix
		var parts strings.Builder
		for n := range c.count {
			parts.WriteString(c.part(n))
		}
		if _, err := conn.Write([]byte(raw + parts.String() + c.suffix)); err != nil {
			t.Fatal(err)
		}
		status := make([]byte, len("HTTP/1.1 200"))
		if _, err := conn.Read(status); err != nil || string(status) != "HTTP/1.1 200" {
			t.Errorf("%.60q: %q %v", raw, status, err)
		}
		_ = conn.Close()
	}
	i.check(t)
}
