package relay

import (
	"context"
	"fmt"
	"time"

	"storj.io/drpc"

	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// Register registers the RPC service that makes calls of peers on this instance's own path.
func (s *Store) Register(mux drpc.Mux) error {
	return peerpb.DRPCRegisterStore(mux, &server{store: s})
}

// server makes the calls of peers on the instance's own path only, so that no call is
// relayed twice. Its timeout is that of the instance's own calls, so that the peer has
// time to try another instance.
type server struct {
	peerpb.DRPCStoreUnimplementedServer
	store *Store
}

// errNoPath is the error of a relayed call if the relaying instance's own path is down.
var errNoPath = fmt.Errorf("%w: the peer does not reach the store itself", port.ErrUnavailable)

// serveCall makes a peer's call on the own path, with the timeout of the instance's own calls.
func serveCall[T any](ctx context.Context, s *Store, wait time.Duration, own func(context.Context) (T, error)) (T, error) {
	s.counts.Add("for_peer", 1)
	if !s.OwnPathUp() {
		var zero T
		return zero, errNoPath
	}
	timeout := s.attemptTimeout()
	callCtx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	value, err := callOwnPath(callCtx, s, wait, own)
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		s.recordTimeout(timeout)
		s.requestProbe()
	}
	return value, err
}

// Append implements peerpb.DRPCStoreServer.
func (s *server) Append(ctx context.Context, in *peerpb.StoreAppend) (*peerpb.StoreAppended, error) {
	first, err := serveCall(ctx, s.store, 0, func(ctx context.Context) (int64, error) {
		return s.store.ownPath.Append(ctx, decodePartition(in.GetPartition()), in.GetRecords())
	})
	return &peerpb.StoreAppended{First: first, Failure: encodeFailure(err)}, nil
}

// AppendAt implements peerpb.DRPCStoreServer.
func (s *server) AppendAt(ctx context.Context, in *peerpb.StoreAppendAt) (*peerpb.StoreAppended, error) {
	_, err := serveCall(ctx, s.store, 0, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.store.ownPath.AppendAt(ctx, decodePartition(in.GetPartition()), in.GetOffset(), in.GetRecords())
	})
	return &peerpb.StoreAppended{First: in.GetOffset(), Failure: encodeFailure(err)}, nil
}

// Read implements peerpb.DRPCStoreServer.
func (s *server) Read(ctx context.Context, in *peerpb.StoreRead) (*peerpb.StorePage, error) {
	return encodePage(readAgainIfLost(ctx, s.store, milliseconds(in.GetWaitMs()), func(ctx context.Context, wait time.Duration) (port.Page, error) {
		return serveCall(ctx, s.store, wait, func(ctx context.Context) (port.Page, error) {
			return s.store.ownPath.Read(ctx, decodePartition(in.GetPartition()), in.GetFrom(), int(in.GetMaxBytes()), wait)
		})
	})), nil
}

// Newest implements peerpb.DRPCStoreServer.
func (s *server) Newest(ctx context.Context, in *peerpb.StoreNewest) (*peerpb.StoreNewestPage, error) {
	return encodeNewest(readAgainIfLost(ctx, s.store, 0, func(ctx context.Context, _ time.Duration) (port.NewestPage, error) {
		return serveCall(ctx, s.store, 0, func(ctx context.Context) (port.NewestPage, error) {
			return s.store.ownPath.Newest(ctx, in.GetTopic(), in.GetAfter())
		})
	})), nil
}
