// Package log is a stand-in for the platform's append-only log service.
//
// It keeps everything in memory. docs/platform-protocols.md describes its HTTP
// interface.
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

// Headers of the log's protocol.
const (
	// ClientHeader names the client, for outages of some clients only.
	ClientHeader = "Log-Client"
	// FirstHeader and EndHeader carry the first retained and the next offset.
	FirstHeader = "Log-First"
	EndHeader   = "Log-End"
)

// Limits of the log.
const (
	// MaxRecord is the size limit of one record, in bytes.
	MaxRecord = 1 << 20
	// maxPage bounds the payload of one answer, in bytes.
	maxPage = 8 << 20
	// maxWait bounds a long poll.
	maxWait = time.Minute
	// frameHeader is the size of the offset and length before each record of a page.
	frameHeader = 12
)

// Options are the properties of the log that do not change while it runs.
type Options struct {
	// Rate and Burst limit the appends of all clients together.
	Rate  float64 `help:"Appends per second of all clients together; 0 for no limit." default:"400"`
	Burst float64 `help:"Appends that may come at once." default:"100"`
	// MaxAge and MaxCount limit how long records are kept; zero for no limit.
	MaxAge   kit.Duration `help:"Age at which records expire; 0 for never." default:"0s"`
	MaxCount int          `help:"Records kept on each stream; 0 for all." default:"0"`
	// Clock is the time source; the system's clock when nil.
	Clock kit.Clock `kong:"-"`
}

// Faults can be changed at any time.
type Faults struct {
	Latency kit.Duration `json:"latency" help:"Delay of each request." default:"0s"`
	Outage  bool         `json:"outage" help:"Refuse all requests with status 503."`
	// Cut makes an outage close connections instead of answering with 503.
	Cut bool `json:"cut" help:"Close connections during an outage instead of answering."`
	// OutageClients limits the outage to clients with these names or IP addresses.
	OutageClients []string `json:"outage_clients" help:"Limit the outage to these client names or IP addresses."`
	LoseNext      int      `json:"lose_next" help:"Lose the answers of the next N appends after their effect."`
	LoseEvery     int      `json:"lose_every" help:"Lose the answer of every Nth append after its effect."`
	LateNext      int      `json:"late_next" help:"Lose the answers of the next N appends and let them take effect late."`
	LateEvery     int      `json:"late_every" help:"Let every Nth append take effect late."`
	// LateDelay is the delay of late appends; zero holds them until ReleaseLate.
	LateDelay kit.Duration `json:"late_delay" help:"Delay of late appends; 0 holds them until POST /admin/release." default:"0s"`
}

type record struct {
	at      time.Time
	payload []byte
}

type stream struct {
	first   int64
	records []record
	grown   chan struct{} // closed and replaced at each append
}

func (s *stream) end() int64 { return s.first + int64(len(s.records)) }

// lateAppend is held until ReleaseLate.
type lateAppend struct {
	stream  string
	payload []byte
}

// Log is the stand-in. All methods are safe for concurrent use.
type Log struct {
	*kit.Server
	opts   Options
	bucket kit.TokenBucket

	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	late    []lateAppend
	appends uint64
}

// New returns a log that is not started.
func New(opts Options, faults Faults) *Log {
	if opts.Clock == nil {
		opts.Clock = kit.RealClock{}
	}
	l := &Log{opts: opts, faults: faults, streams: make(map[string]*stream)}
	app := kit.NewFiber()
	app.Use(l.delay)
	app.Post("/v1/streams/:stream/records", l.append)
	app.Get("/v1/streams/:stream/records", l.read)
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

// Faults returns the current faults.
func (l *Log) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.faults
	f.OutageClients = slices.Clone(f.OutageClients)
	return f
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// ReleaseLate lets all held appends take effect and returns their number.
func (l *Log) ReleaseLate() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.late)
	for _, a := range l.late {
		l.put(a.stream, a.payload)
	}
	l.late = nil
	return n
}

// Put appends a record directly, without limits and faults.
func (l *Log) Put(name string, payload []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.put(name, payload)
}

// Records returns the retained payloads of a stream and the offset of the first.
func (l *Log) Records(name string) (int64, [][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	payloads := make([][]byte, len(s.records))
	for i, r := range s.records {
		payloads[i] = r.payload
	}
	return s.first, payloads
}

func (l *Log) put(name string, payload []byte) int64 {
	s := l.stream(name)
	offset := s.end()
	s.records = append(s.records, record{at: l.opts.Clock.Now(), payload: payload})
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// stream returns a stream after late appends that are due have taken effect
// and expired records have gone.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	now := l.opts.Clock.Now()
	drop := 0
	if n := l.opts.MaxCount; n > 0 && len(s.records) > n {
		drop = len(s.records) - n
	}
	if age := l.opts.MaxAge.Std(); age > 0 {
		for drop < len(s.records) && now.Sub(s.records[drop].at) > age {
			drop++
		}
	}
	if drop > 0 {
		s.first += int64(drop)
		s.records = slices.Delete(s.records, 0, drop)
	}
	return s
}

func (l *Log) delay(c fiber.Ctx) error {
	if err := kit.Sleep(context.Background(), l.opts.Clock, l.Faults().Latency.Std()); err != nil {
		return err
	}
	return c.Next()
}

// refuse answers a request during an outage that concerns its client.
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
	return strings.Clone(name), nil // fiber reuses the memory of parameters
}

func (l *Log) append(c fiber.Ctx) error {
	if refused, err := l.refuse(c, l.Faults()); refused {
		return err
	}
	if len(c.Body()) > MaxRecord {
		return c.SendStatus(fiber.StatusRequestEntityTooLarge)
	}
	if ok, wait := l.bucket.Take(l.opts.Clock.Now(), l.opts.Rate, max(1, l.opts.Burst)); !ok {
		c.Set(fiber.HeaderRetryAfter, strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
		return c.SendStatus(fiber.StatusTooManyRequests)
	}
	name, err := streamName(c)
	if err != nil {
		return err
	}
	payload := slices.Clone(c.Body())
	l.mu.Lock()
	l.appends++
	if kit.FaultApplies(&l.faults.LateNext, l.faults.LateEvery, l.appends) {
		l.hold(name, payload)
		l.mu.Unlock()
		return kit.CloseWithoutResponse(c)
	}
	offset := l.put(name, payload)
	lose := kit.FaultApplies(&l.faults.LoseNext, l.faults.LoseEvery, l.appends)
	l.mu.Unlock()
	if lose {
		return kit.CloseWithoutResponse(c)
	}
	return c.JSON(map[string]int64{"offset": offset})
}

// hold keeps an append back until its delay has passed or ReleaseLate is called.
func (l *Log) hold(name string, payload []byte) {
	d := l.faults.LateDelay.Std()
	if d <= 0 {
		l.late = append(l.late, lateAppend{stream: name, payload: payload})
		return
	}
	fired, _ := l.opts.Clock.After(d)
	go func() {
		<-fired
		l.Put(name, payload)
	}()
}

func (l *Log) read(c fiber.Ctx) error {
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
	expired, stop := l.opts.Clock.After(min(time.Duration(waitMs)*time.Millisecond, maxWait))
	defer stop()
	for waiting := true; ; {
		body, first, end, grown := l.page(name, from, min(maxBytes, maxPage))
		if len(body) > 0 || from < first || !waiting {
			return l.answer(c, body, from, first, end)
		}
		select {
		case <-grown:
		case <-expired:
			waiting = false
		}
		// An outage that begins during the wait ends it.
		if refused, err := l.refuse(c, l.Faults()); refused {
			return err
		}
	}
}

func (l *Log) answer(c fiber.Ctx, body []byte, from, first, end int64) error {
	c.Set(FirstHeader, strconv.FormatInt(first, 10))
	c.Set(EndHeader, strconv.FormatInt(end, 10))
	if from < first {
		return c.SendStatus(fiber.StatusGone)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEOctetStream)
	return c.Send(body)
}

func (l *Log) page(name string, from int64, maxBytes int) (body []byte, first, end int64, grown <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for offset := max(from, s.first); offset < s.end() && from >= s.first; offset++ {
		payload := s.records[offset-s.first].payload
		if len(body) > 0 && len(body)+frameHeader+len(payload) > maxBytes {
			break
		}
		body = binary.BigEndian.AppendUint64(body, uint64(offset))
		body = binary.BigEndian.AppendUint32(body, uint32(len(payload)))
		body = append(body, payload...)
	}
	return body, s.first, s.end(), s.grown
}
