// Package log is a stand-in for the platform's append-only log service.
//
// It keeps all records in memory. docs/platform-protocols.md describes its HTTP interface.
package log

import (
	"context"
	"encoding/binary"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/jacinthnotch/jacinthnotch/standin/kit"
)

// HTTP headers of the log's protocol.
const (
	// ClientHeader is the name of the client, see Faults.OutageClients.
	ClientHeader = "Log-Client"
	// FirstHeader is the first retained offset, and EndHeader the offset of the next append.
	FirstHeader = "Log-First"
	EndHeader   = "Log-End"
)

// Limits of the log.
const (
	// MaxRecord is the size limit of a record, in bytes.
	MaxRecord = 1 << 20
	// maxPage is the size limit of a page of records, in bytes.
	maxPage = 8 << 20
	// maxWait is the maximum duration of a long poll.
	maxWait = time.Minute
	// frameHeaderSize is the size of the offset and length before each record of a page.
	frameHeaderSize = 12
)

// Options configures a Log.
type Options struct {
	// Rate and Burst limit the total append rate of all clients.
	Rate  float64 `help:"Appends per second of all clients together; 0 for no limit." default:"400"`
	Burst float64 `help:"Appends that may come at once." default:"100"`
	// MaxAge and MaxCount limit the age and number of the retained records; zero means no
	// limit.
	MaxAge   kit.Duration `help:"Age at which records expire; 0 for never." default:"0s"`
	MaxCount int          `help:"Records kept on each stream; 0 for all." default:"0"`
	// Clock is the time source; nil means the system clock.
	Clock kit.Clock `kong:"-"`
}

// Faults are the faults to inject. They can be changed while the log runs.
type Faults struct {
	Latency kit.Duration `json:"latency" help:"Delay of each request." default:"0s"`
	Outage  bool         `json:"outage" help:"Refuse all requests with status 503."`
	// Cut makes an outage close connections instead of responding with status 503.
	Cut bool `json:"cut" help:"Close connections during an outage instead of answering."`
	// OutageClients limits the outage to the clients with these names or IP addresses.
	OutageClients []string `json:"outage_clients" help:"Limit the outage to these client names or IP addresses."`
	LoseNext      int      `json:"lose_next" help:"Lose the answers of the next N appends after their effect."`
	LoseEvery     int      `json:"lose_every" help:"Lose the answer of every Nth append after its effect."`
	LateNext      int      `json:"late_next" help:"Lose the answers of the next N appends and let them take effect late."`
	LateEvery     int      `json:"late_every" help:"Let every Nth append take effect late."`
	// LateDelay is the delay of late appends; zero delays them until ReleaseLate.
	LateDelay kit.Duration `json:"late_delay" help:"Delay of late appends; 0 holds them until POST /admin/release." default:"0s"`
}

type record struct {
	at      time.Time
	payload []byte
}

type stream struct {
	first    int64 // offset of the first retained record
	records  []record
	appended chan struct{} // closed and replaced by each append
}

// end returns the offset of the next append.
func (s *stream) end() int64 { return s.first + int64(len(s.records)) }

// lateAppend is an append that takes effect when ReleaseLate is called.
type lateAppend struct {
	stream  string
	payload []byte
}

// Log is the stand-in. It is safe for concurrent use.
type Log struct {
	*kit.Server
	opts    Options
	limiter kit.TokenBucket

	mu          sync.Mutex
	faults      Faults
	streams     map[string]*stream
	lateAppends []lateAppend
	appendCount uint64
}

// New returns a log. Start starts it.
func New(opts Options, faults Faults) *Log {
	if opts.Clock == nil {
		opts.Clock = kit.RealClock{}
	}
	l := &Log{opts: opts, faults: faults, streams: make(map[string]*stream)}
	app := kit.NewFiber()
	app.Use(l.delayRequest)
	app.Post("/v1/streams/:stream/records", l.handleAppend)
	app.Get("/v1/streams/:stream/records", l.handleRead)
	kit.RegisterFiberFaults(app, l.Faults, l.SetFaults)
	app.Post("/admin/release", func(c fiber.Ctx) error {
		return c.JSON(map[string]int{"released": l.ReleaseLate()})
	})
	app.Post("/admin/silence", func(c fiber.Ctx) error {
		defer l.SilenceConnections()
		return c.SendStatus(fiber.StatusNoContent)
	})
	l.Server = kit.NewServer(kit.ServeFiber(app))
	return l
}

// Faults returns the injected faults.
func (l *Log) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.faults
	f.OutageClients = slices.Clone(f.OutageClients)
	return f
}

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// ReleaseLate makes the late appends take effect and returns their number.
func (l *Log) ReleaseLate() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.lateAppends)
	for _, a := range l.lateAppends {
		l.put(a.stream, a.payload)
	}
	l.lateAppends = nil
	return n
}

// Put appends a record without limits or faults and returns its offset.
func (l *Log) Put(name string, payload []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.put(name, payload)
}

// Records returns the offset of the first retained record of a stream and the payloads of
// all retained records.
func (l *Log) Records(name string) (int64, [][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.prunedStream(name)
	payloads := make([][]byte, len(s.records))
	for i, r := range s.records {
		payloads[i] = r.payload
	}
	return s.first, payloads
}

// put appends a record and returns its offset. The caller holds mu.
func (l *Log) put(name string, payload []byte) int64 {
	s := l.prunedStream(name)
	offset := s.end()
	s.records = append(s.records, record{at: l.opts.Clock.Now(), payload: payload})
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// prunedStream returns a stream after deleting its expired records. The stream is created if
// it does not exist. The caller holds mu.
func (l *Log) prunedStream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	now := l.opts.Clock.Now()
	expired := 0
	if n := l.opts.MaxCount; n > 0 && len(s.records) > n {
		expired = len(s.records) - n
	}
	if age := l.opts.MaxAge.Std(); age > 0 {
		for expired < len(s.records) && now.Sub(s.records[expired].at) > age {
			expired++
		}
	}
	if expired > 0 {
		s.first += int64(expired)
		s.records = slices.Delete(s.records, 0, expired)
	}
	return s
}

// delayRequest is the middleware that delays each request by Faults.Latency.
func (l *Log) delayRequest(c fiber.Ctx) error {
	if err := kit.Sleep(context.Background(), l.opts.Clock, l.Faults().Latency.Std()); err != nil {
		return err
	}
	return c.Next()
}

// refuse refuses the request and returns true if there is an outage for its client.
func (l *Log) refuse(c fiber.Ctx, f Faults) (bool, error) {
	if !f.Outage {
		return false, nil
	}
	host, _, _ := net.SplitHostPort(c.RequestCtx().RemoteAddr().String())
	name := c.Get(ClientHeader)
	if n := len(f.OutageClients); n > 0 && !slices.Contains(f.OutageClients, host) && !slices.Contains(f.OutageClients, name) {
		return false, nil
	}
	if f.Cut {
		return true, kit.CloseWithoutResponse(c)
	}
	return true, c.SendStatus(fiber.StatusServiceUnavailable)
}

func streamName(c fiber.Ctx) (string, error) {
	name, err := url.PathUnescape(c.Params("stream"))
	if err != nil {
		return "", fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	return strings.Clone(name), nil // fiber reuses the memory of path parameters
}

func (l *Log) handleAppend(c fiber.Ctx) error {
	if refused, err := l.refuse(c, l.Faults()); refused {
		return err
	}
	if len(c.Body()) > MaxRecord {
		return c.SendStatus(fiber.StatusRequestEntityTooLarge)
	}
	if ok, wait := l.limiter.Take(l.opts.Clock.Now(), l.opts.Rate, max(1, l.opts.Burst)); !ok {
		c.Set(fiber.HeaderRetryAfter, strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
		return c.SendStatus(fiber.StatusTooManyRequests)
	}
	name, err := streamName(c)
	if err != nil {
		return err
	}
	payload := slices.Clone(c.Body())
	l.mu.Lock()
	l.appendCount++
	if kit.FaultApplies(&l.faults.LateNext, l.faults.LateEvery, l.appendCount) {
		l.appendLate(name, payload)
		l.mu.Unlock()
		return kit.CloseWithoutResponse(c)
	}
	offset := l.put(name, payload)
	lose := kit.FaultApplies(&l.faults.LoseNext, l.faults.LoseEvery, l.appendCount)
	l.mu.Unlock()
	if lose {
		return kit.CloseWithoutResponse(c)
	}
	return c.JSON(map[string]int64{"offset": offset})
}

// appendLate appends a record after Faults.LateDelay or, if that is zero, at ReleaseLate. The
// caller holds mu.
func (l *Log) appendLate(name string, payload []byte) {
	d := l.faults.LateDelay.Std()
	if d <= 0 {
		l.lateAppends = append(l.lateAppends, lateAppend{stream: name, payload: payload})
		return
	}
	fired, _ := l.opts.Clock.After(d)
	go func() {
		<-fired
		l.Put(name, payload)
	}()
}

func (l *Log) handleRead(c fiber.Ctx) error {
	if refused, err := l.refuse(c, l.Faults()); refused {
		return err
	}
	from, err := strconv.ParseInt(c.Query("from", "0"), 10, 64)
	if err != nil || from < 0 {
		return fiber.NewError(fiber.StatusBadRequest, "from is not an offset")
	}
	maxBytes, err := strconv.Atoi(c.Query("max_bytes", strconv.Itoa(maxPage)))
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "max_bytes is not a number")
	}
	waitMs, err := strconv.ParseInt(c.Query("wait_ms", "0"), 10, 64)
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "wait_ms is not a number")
	}
	name, err := streamName(c)
	if err != nil {
		return err
	}
	timeout, stop := l.opts.Clock.After(min(time.Duration(waitMs)*time.Millisecond, maxWait))
	defer stop()
	for waiting := true; ; {
		body, first, end, appended := l.page(name, from, min(maxBytes, maxPage))
		if len(body) > 0 || from < first || !waiting {
			return l.sendPage(c, body, from, first, end)
		}
		select {
		case <-appended:
		case <-timeout:
			waiting = false
		}
		// An outage that starts during the wait refuses the request.
		if refused, err := l.refuse(c, l.Faults()); refused {
			return err
		}
	}
}

// sendPage sends the response to a read, status 410 if from is no longer retained.
func (l *Log) sendPage(c fiber.Ctx, body []byte, from, first, end int64) error {
	c.Set(FirstHeader, strconv.FormatInt(first, 10))
	c.Set(EndHeader, strconv.FormatInt(end, 10))
	if from < first {
		return c.SendStatus(fiber.StatusGone)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEOctetStream)
	return c.Send(body)
}

// page encodes the records at offset from and later, up to maxBytes but at least one record if
// there is one. It returns the first retained and the next offset of the stream, and a channel
// that is closed by the next append.
func (l *Log) page(name string, from int64, maxBytes int) (body []byte, first, end int64, appended <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.prunedStream(name)
	for offset := max(from, s.first); offset < s.end() && from >= s.first; offset++ {
		payload := s.records[offset-s.first].payload
		if len(body) > 0 && len(body)+frameHeaderSize+len(payload) > maxBytes {
			break
		}
		body = binary.BigEndian.AppendUint64(body, uint64(offset))
		body = binary.BigEndian.AppendUint32(body, uint32(len(payload)))
		body = append(body, payload...)
	}
	return body, s.first, s.end(), s.appended
}
