package origins

import (
	"context"
	"errors"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/domain/origin"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// Resolve returns the service and the version at which a stream began whose first event came
// with a caller's attempt. service is the service of the stream's route, or "" if it has
// several.
func (x *Index) Resolve(ctx context.Context, service, requestID string) (origin.Origin, origin.Status) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	id := streamID(requestID)
	found, status, ambiguous := x.find(id)
	if status != origin.Known && !ambiguous && !x.Hubs.ActsAsFirstHub() {
		askCtx, cancelAsk := context.WithTimeout(ctx, askTimeout)
		o, status, ok := x.Hubs.AskOrigin(askCtx, service, id)
		cancelAsk()
		if ok && status != origin.Unreadable {
			return o, status
		}
	}
	if status == origin.Known {
		return x.confirmed(ctx, found)
	}
	return x.ResolveHere(ctx, service, id)
}

// ResolveHere is Resolve without a question to another instance.
func (x *Index) ResolveHere(ctx context.Context, service string, id uint64) (origin.Origin, origin.Status) {
	found, status, ambiguous := x.find(id)
	var err error
	if status != origin.Known && !ambiguous {
		err = x.reads.Do(ctx, readTimeout, x.readTopic)
		found, status, ambiguous = x.find(id)
	}
	switch {
	case status == origin.Known:
		return x.confirmed(ctx, found)
	case ambiguous:
		return origin.Origin{}, origin.Unknown
	case err != nil && !x.knowsAllStreams():
		klog.InfoS("origins of streams not readable", "err", err)
		return origin.Origin{}, origin.Unreadable
	}
	return x.onlyVersion(ctx, service)
}

// knowsAllStreams reports whether this instance was told of all streams that callers may
// still take up.
func (x *Index) knowsAllStreams() bool {
	since := x.Hubs.HubSince()
	return !since.IsZero() && time.Since(since) >= memoryTime
}

func (x *Index) find(id uint64) (r origin.Record, status origin.Status, ambiguous bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Find(id)
}

// onlyVersion returns the version of a service if no other one was among its servers, or among
// the streams, for as long as callers may take streams up. It reads the entries of the servers:
// this instance may have been out of step while servers of another version joined.
func (x *Index) onlyVersion(ctx context.Context, service string) (origin.Origin, origin.Status) {
	if err := x.RefreshServers(ctx); err != nil {
		klog.InfoS("versions of servers not readable", "service", service, "err", err)
		return origin.Origin{}, origin.Unreadable
	}
	versions := x.View.RecentVersions(service, origin.Retention)
	x.mu.Lock()
	versions = append(versions, x.table.Versions(time.Now(), service)...)
	x.mu.Unlock()
	slices.Sort(versions)
	versions = slices.Compact(versions)
	if len(versions) != 1 {
		return origin.Origin{}, origin.Unknown
	}
	return origin.Origin{Service: service, Version: versions[0]}, origin.Known
}

// confirmed returns the origin of a record unless Confirm contradicts it.
func (x *Index) confirmed(ctx context.Context, r origin.Record) (origin.Origin, origin.Status) {
	if !x.Confirm(ctx, r.Origin, r.SentAt) {
		return origin.Origin{}, origin.Unknown
	}
	return r.Origin, origin.Known
}

// Confirm reports whether a stream that was sent to a server ran at the version that the
// server's entry stated then. The server may have been started again under its ID, with
// another version, before its new entry was read.
func (x *Index) Confirm(ctx context.Context, o origin.Origin, sentAt time.Time) bool {
	_ = x.RefreshServers(ctx) // without it, the entries that were read last count
	server := x.View.Server(o.Server)
	return server == nil || server.Version == o.Version || server.Started > sentAt.Add(clockMargin).UnixMilli()
}

// readTopic reads the records that were written since the last read, at most the newest
// tailRecords.
func (x *Index) readTopic(ctx context.Context) error {
	if x.readAt.IsZero() || time.Since(x.readAt) > rereadAfter {
		if err := x.seekTail(ctx); err != nil {
			return err
		}
	}
	for {
		began := time.Now()
		page, err := x.Store.Read(ctx, partition, x.next, maxReadBytes, 0)
		var expired *port.ExpiredError
		if errors.As(err, &expired) {
			x.next = expired.First
			continue
		}
		if err != nil {
			return err
		}
		x.apply(page.Records)
		x.next += int64(len(page.Records))
		if x.next >= page.End || len(page.Records) == 0 {
			x.readAt = began
			return nil
		}
	}
}

// seekTail sets the offset of the next read to that of the newest records.
func (x *Index) seekTail(ctx context.Context) error {
	page, err := x.Store.Read(ctx, partition, x.next, probeBytes, 0)
	var expired *port.ExpiredError
	if errors.As(err, &expired) {
		x.next = expired.First
		page, err = x.Store.Read(ctx, partition, x.next, probeBytes, 0)
	}
	if err != nil {
		return err
	}
	x.next = max(x.next, page.First, page.End-tailRecords)
	return nil
}

func (x *Index) apply(records []port.Record) {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range records {
		list, err := decode(r.Payload)
		if err != nil {
			klog.InfoS("record of origins ignored", "offset", r.Offset, "err", err)
			continue
		}
		for _, o := range list {
			x.table.Add(now, o)
		}
	}
}
