package relay

import (
	"context"
	"fmt"
	"time"

	"storj.io/drpc"

	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// Register offers the instance's own path to its peers.
func (s *Store) Register(mux drpc.Mux) error {
	return peerpb.DRPCRegisterStore(mux, &server{store: s})
}

// server makes the calls of peers on the instance's own path only, so that no call
// goes round through several instances. It waits no longer than for calls of its own, so
// that the peer can ask another instance.
type server struct {
	peerpb.DRPCStoreUnimplementedServer
	store *Store
}

// errNoPath is the answer of an instance whose own path fails.
var errNoPath = fmt.Errorf("%w: the peer does not reach the store itself", port.ErrUnavailable)

// serve makes a peer's call on the own path within the time of a call of its own.
func serve[T any](ctx context.Context, s *Store, wait time.Duration, own func(context.Context) (T, error)) (T, error) {
	s.counts.Add("for_peer", 1)
	if !s.OwnPathUp() {
		var none T
		return none, errNoPath
	}
	limited, cancel := context.WithTimeout(ctx, wait+s.patience())
	defer cancel()
	value, err := direct(limited, s, wait, own)
	if err != nil && limited.Err() != nil && ctx.Err() == nil {
		s.doubt()
	}
	return value, err
}

// Append implements peerpb.DRPCStoreServer.
func (s *server) Append(ctx context.Context, in *peerpb.StoreAppend) (*peerpb.StoreAppended, error) {
	first, err := serve(ctx, s.store, 0, func(ctx context.Context) (int64, error) {
		return s.store.own.Append(ctx, decodePartition(in.GetPartition()), in.GetRecords())
	})
	return &peerpb.StoreAppended{First: first, Failure: encodeFailure(err)}, nil
}

// Read implements peerpb.DRPCStoreServer.
func (s *server) Read(ctx context.Context, in *peerpb.StoreRead) (*peerpb.StorePage, error) {
	wait := milliseconds(in.GetWaitMs())
	return encodePage(serve(ctx, s.store, wait, func(ctx context.Context) (port.Page, error) {
		return s.store.own.Read(ctx, decodePartition(in.GetPartition()), in.GetFrom(), int(in.GetMaxBytes()), wait)
	})), nil
}

// Newest implements peerpb.DRPCStoreServer.
func (s *server) Newest(ctx context.Context, in *peerpb.StoreNewest) (*peerpb.StoreNewestPage, error) {
	return encodeNewest(serve(ctx, s.store, 0, func(ctx context.Context) (port.NewestPage, error) {
		return s.store.own.Newest(ctx, in.GetTopic(), in.GetAfter())
	})), nil
}
