// Package origins records at which version of the server software streams began, so that any
// instance can tell where a stream may go on, also after all instances were killed.
//
// An instance reports each resumable stream to the hubs when it sends it to a server, before
// there is an event. The first hub appends the records of all instances to a topic of the
// store, many in one record. An instance that does not know a stream asks the first hub,
// which reads the topic if it does not know the stream either.
package origins

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/origin"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/node/internal/clock"
	"github.com/jacinthnotch/jacinthnotch/node/internal/coalesce"
	"github.com/jacinthnotch/jacinthnotch/node/internal/guard"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

const (
	// Topic is the topic of the records, with one partition.
	Topic = "origins"
	// sendInterval is the interval at which an instance sends new records to the hub, and
	// writeInterval that at which the hub appends them. A server takes longer until the first
	// event of a stream.
	sendInterval  = 5 * time.Millisecond
	writeInterval = 40 * time.Millisecond
	// repeatDelay is the time after which an instance sends a record a second time. Hubs other
	// than the first one keep it for standbyTime, in case that one is lost.
	repeatDelay = 100 * time.Millisecond
	standbyTime = 2 * time.Second
	// writeRetryDelay is the delay after a failed append, and writeTimeout limits an append.
	writeRetryDelay = 100 * time.Millisecond
	writeTimeout    = 2 * time.Second
	// maxPending limits the records that wait to be sent or written.
	maxPending = 1 << 14
	// maxEncodedStreams limits the streams of one datagram and of one record of the topic.
	maxEncodedStreams = 1000
	// askTimeout limits a question to the hub, and resolveTimeout the whole search for an
	// origin.
	askTimeout     = 150 * time.Millisecond
	resolveTimeout = 400 * time.Millisecond
	// readTimeout limits a read of the topic up to its end.
	readTimeout = time.Second
	// tailRecords is the number of the newest records of the topic that are read: those of
	// some 30 s at writeInterval.
	tailRecords = 800
	// maxReadBytes limits one read of the topic. A read of probeBytes finds its end.
	maxReadBytes = 512 << 10
	probeBytes   = 1 << 10
	// rereadAfter is the age of the last read of the topic after which only its tail is read.
	rereadAfter = 30 * time.Second
	// memoryTime is the time after which a hub has been told of all streams that callers may
	// still take up.
	memoryTime = 20 * time.Second
	// clockMargin allows for the difference between the clocks of instances and servers.
	clockMargin = time.Second
)

var partition = port.Partition{Topic: Topic}

// Hubs passes records and questions on to the hubs.
type Hubs interface {
	// HubSince returns since when all instances report to this one; zero if they do not.
	HubSince() time.Time
	// ActsAsFirstHub reports whether this instance is the first hub, or has to act as one
	// because it reaches none.
	ActsAsFirstHub() bool
	// SendOrigins sends encoded records to the hubs.
	SendOrigins(payload []byte)
	// AskOrigin asks the first hub for the origin of a stream. It returns false without a
	// reply.
	AskOrigin(ctx context.Context, service string, id uint64) (origin.Origin, origin.Status, bool)
}

// Index knows the origins of recent streams. It is safe for concurrent use.
type Index struct {
	Store port.Store
	View  *fleet.View
	Hubs  Hubs
	// RefreshServers reads the entries of the servers that were written until now.
	RefreshServers func(context.Context) error

	// wakeups receives a value when there are new records.
	wakeups chan struct{}

	mu      sync.Mutex
	table   *origin.Table
	pending []pendingRecord

	// reads shares reads of the topic, one at a time. next is the offset of the next one, and
	// readAt the time of the last one that reached the end.
	reads  coalesce.Group
	next   int64
	readAt time.Time
}

// pendingRecord is a record that waits to be sent or written.
type pendingRecord struct {
	origin.Record
	since time.Time
	// own is set for a record of this instance, and sent once it was sent to the hubs.
	own, sent bool
}

// NewIndex returns an index without records, whose fields have to be set.
func NewIndex() *Index {
	return &Index{wakeups: make(chan struct{}, 1), table: origin.NewTable()}
}

// Record records that a stream is sent to a server. attempt counts the servers that got it. A
// stream without an ID cannot be told from others.
func (x *Index) Record(requestID string, attempt int, server *serving.Server) {
	if requestID == "" {
		return
	}
	now := time.Now()
	x.add(now, []origin.Record{{
		ID: streamID(requestID), Attempt: uint8(min(attempt, 255)), SentAt: now,
		Origin: origin.Origin{Service: server.Service, Version: server.Version, Server: server.ID},
	}}, true)
}

// ReceiveOrigins adds the records of another instance.
func (x *Index) ReceiveOrigins(payload []byte) error {
	records, err := decode(payload)
	if err == nil {
		x.add(time.Now(), records, false)
	}
	return err
}

func (x *Index) add(now time.Time, records []origin.Record, own bool) {
	x.mu.Lock()
	for _, r := range records {
		if x.table.Add(now, r) {
			x.pending = append(x.pending, pendingRecord{Record: r, since: now, own: own})
		}
	}
	if surplus := len(x.pending) - maxPending; surplus > 0 {
		x.pending = slices.Delete(x.pending, 0, surplus)
	}
	x.mu.Unlock()
	select {
	case x.wakeups <- struct{}{}:
	default:
	}
}

// Run sends records to the hubs or, on the first hub, writes them, until ctx is done.
func (x *Index) Run(ctx context.Context) {
	for ctx.Err() == nil {
		x.mu.Lock()
		idle := len(x.pending) == 0
		x.mu.Unlock()
		if idle {
			select {
			case <-ctx.Done():
				return
			case <-x.wakeups:
			}
		}
		if x.Hubs.ActsAsFirstHub() {
			clock.Sleep(ctx, writeInterval)
			guard.Run("write of origins", func() { x.write(ctx) })
			continue
		}
		clock.Sleep(ctx, sendInterval)
		guard.Run("report of origins", func() { x.report(time.Now()) })
	}
}

// write appends all pending records to the topic.
func (x *Index) write(ctx context.Context) {
	x.mu.Lock()
	batch := x.pending
	x.pending = nil
	x.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	list := make([]origin.Record, len(batch))
	for i, p := range batch {
		list[i] = p.Record
	}
	writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := x.Store.Append(writeCtx, partition, encodeChunks(list))
	if err == nil {
		return
	}
	klog.V(1).InfoS("writing the origins of streams failed", "streams", len(list), "err", err)
	x.mu.Lock()
	x.pending = append(batch, x.pending...)
	x.mu.Unlock()
	clock.Sleep(ctx, writeRetryDelay)
}

// report sends the pending records that are due to the hubs.
func (x *Index) report(now time.Time) {
	var due []origin.Record
	x.mu.Lock()
	kept := x.pending[:0]
	for _, p := range x.pending {
		switch age := now.Sub(p.since); {
		case !p.own:
			if age > standbyTime {
				continue
			}
		case !p.sent:
			p.sent = true
			due = append(due, p.Record)
		case age >= repeatDelay:
			due = append(due, p.Record)
			continue
		}
		kept = append(kept, p)
	}
	clear(x.pending[len(kept):])
	x.pending = kept
	x.mu.Unlock()
	for _, raw := range encodeChunks(due) {
		x.Hubs.SendOrigins(raw)
	}
}

// encodeChunks encodes records, maxEncodedStreams at a time.
func encodeChunks(records []origin.Record) [][]byte {
	var chunks [][]byte
	for chunk := range slices.Chunk(records, maxEncodedStreams) {
		raw, err := encode(chunk)
		if err != nil {
			klog.ErrorS(err, "encoding origins failed")
			continue
		}
		chunks = append(chunks, raw)
	}
	return chunks
}
