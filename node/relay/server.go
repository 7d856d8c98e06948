package relay

import (
	"context"
	"fmt"

	"storj.io/drpc"

	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// Register offers the instance's own path to its peers.
func (s *Store) Register(mux drpc.Mux) error {
	return peerpb.DRPCRegisterStore(mux, &server{store: s})
}

// server makes the calls of peers on the instance's own path only, so that no call
// goes round through several instances.
type server struct {
	peerpb.DRPCStoreUnimplementedServer
	store *Store
}

// errNoPath is the answer of an instance whose own path fails.
var errNoPath = fmt.Errorf("%w: the peer does not reach the store itself", port.ErrUnavailable)

// Append implements peerpb.DRPCStoreServer.
func (s *server) Append(ctx context.Context, in *peerpb.StoreAppend) (*peerpb.StoreAppended, error) {
	if !s.store.Reaches() {
		return &peerpb.StoreAppended{Failure: encodeFailure(errNoPath)}, nil
	}
	first, err := direct(ctx, s.store, 0, func(ctx context.Context) (int64, error) {
		return s.store.own.Append(ctx, decodePartition(in.GetPartition()), in.GetRecords())
	})
	return &peerpb.StoreAppended{First: first, Failure: encodeFailure(err)}, nil
}

// Read implements peerpb.DRPCStoreServer.
func (s *server) Read(ctx context.Context, in *peerpb.StoreRead) (*peerpb.StorePage, error) {
	if !s.store.Reaches() {
		return &peerpb.StorePage{Failure: encodeFailure(errNoPath)}, nil
	}
	wait := milliseconds(in.GetWaitMs())
	return encodePage(direct(ctx, s.store, wait, func(ctx context.Context) (port.Page, error) {
		return s.store.own.Read(ctx, decodePartition(in.GetPartition()), in.GetFrom(), int(in.GetMaxBytes()), wait)
	})), nil
}

// Newest implements peerpb.DRPCStoreServer.
func (s *server) Newest(ctx context.Context, in *peerpb.StoreNewest) (*peerpb.StoreNewestPage, error) {
	if !s.store.Reaches() {
		return &peerpb.StoreNewestPage{Failure: encodeFailure(errNoPath)}, nil
	}
	return encodeNewest(direct(ctx, s.store, 0, func(ctx context.Context) (port.NewestPage, error) {
		return s.store.own.Newest(ctx, in.GetTopic(), in.GetAfter())
	})), nil
}
