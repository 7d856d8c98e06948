package director

import (
	"context"
	"fmt"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/peer"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// LocalOwner is the part of this instance's partition owner that a director
// uses; *owner.Manager implements it.
type LocalOwner interface {
	PullItems(ctx context.Context, in *peerpb.PullItemsRequest) (*peerpb.PullItemsResponse, error)
	PushResults(ctx context.Context, in *peerpb.PushResultsRequest) (*peerpb.PushResultsResponse, error)
}

// Source is an ItemSource that calls partition owners over drpc, or directly if
// the owner is this instance.
type Source struct {
	Instance string
	Local    LocalOwner
	Peers    peer.Connector
	// Backlog returns the owners with a backlog of the model.
	Backlog func(model string) []Owner
	// Address returns the address of an instance's peer listener.
	Address func(instance string) (string, bool)
	// OwnerOf returns the preferred owner of a job's partition, or false if none is
	// known. It may be nil.
	OwnerOf func(job string) (Owner, bool)
}

// RefusedError is returned when an owner refuses a request.
type RefusedError struct{ Refusal *peerpb.Refusal }

func (e *RefusedError) Error() string {
	return fmt.Sprintf("director: the owner refused the request: %s: %s", e.Refusal.Code, e.Refusal.Message)
}

// Owners implements ItemSource.
func (s *Source) Owners(model string) []Owner { return s.Backlog(model) }

func (s *Source) call(ctx context.Context, to Owner, local func(LocalOwner) error, remote func(peerpb.DRPCBatchClient) error) error {
	if to.Address == "" || to.Instance == s.Instance {
		if s.Local == nil {
			return fmt.Errorf("director: address of owner %q is not known", to.Instance)
		}
		return local(s.Local)
	}
	conn := s.Peers.Conn(ctx, to.Address)
	defer conn.Close()
	return remote(peerpb.NewDRPCBatchClient(conn))
}

// Pull implements ItemSource.
func (s *Source) Pull(ctx context.Context, from Owner, model, server string, maxItems int) ([]*peerpb.Item, error) {
	in := &peerpb.PullItemsRequest{Director: s.Instance, Model: model, Server: server, MaxItems: uint32(maxItems)}
	var out *peerpb.PullItemsResponse
	err := s.call(ctx, from, func(o LocalOwner) (err error) {
		out, err = o.PullItems(ctx, in)
		return err
	}, func(c peerpb.DRPCBatchClient) (err error) {
		out, err = c.PullItems(ctx, in)
		return err
	})
	if err != nil {
		return nil, err
	}
	if out.Refusal != nil {
		return nil, &RefusedError{out.Refusal}
	}
	return out.Items, nil
}

// Push implements ItemSource. If the owner cannot be reached, it tries the instance
// that should have taken over the partition. Delivering a push twice is safe,
// because owners keep the first result of an item. Push follows an owner hint once.
// A job that the owner does not know counts as cancelled.
func (s *Source) Push(ctx context.Context, to Owner, req *peerpb.PushResultsRequest) (*peerpb.PushResultsResponse, Owner, error) {
	out, err := s.push(ctx, to, req)
	if err != nil {
		next, ok := s.successor(to, req.JobId)
		if !ok {
			return nil, to, err
		}
		to = next
		if out, err = s.push(ctx, to, req); err != nil {
			return nil, to, err
		}
	}
	if hint := out.GetRefusal().GetOwnerHint(); hint != "" && hint != to.Instance && s.Address != nil {
		if address, ok := s.Address(hint); ok || hint == s.Instance {
			to = Owner{Instance: hint, Address: address, Due: time.Time{}}
			if out, err = s.push(ctx, to, req); err != nil {
				return nil, to, err
			}
		}
	}
	switch {
	case out.Refusal == nil:
		return out, to, nil
	case api.Code(out.Refusal.Code) == api.CodeNotFound:
		return &peerpb.PushResultsResponse{Cancelled: true}, to, nil
	default:
		return nil, to, &RefusedError{out.Refusal}
	}
}

// successor returns the preferred owner of a job unless it is previous, which could
// not be reached.
func (s *Source) successor(previous Owner, job string) (Owner, bool) {
	if s.OwnerOf == nil {
		return Owner{}, false
	}
	next, ok := s.OwnerOf(job)
	return next, ok && next.Instance != previous.Instance
}

func (s *Source) push(ctx context.Context, to Owner, req *peerpb.PushResultsRequest) (out *peerpb.PushResultsResponse, err error) {
	err = s.call(ctx, to, func(o LocalOwner) (err error) {
		out, err = o.PushResults(ctx, req)
		return err
	}, func(c peerpb.DRPCBatchClient) (err error) {
		out, err = c.PushResults(ctx, req)
		return err
	})
	return out, err
}
