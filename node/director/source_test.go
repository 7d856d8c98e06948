package director

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/peer"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// localOwner accepts every push.
type localOwner struct{ pushes int }

func (o *localOwner) PullItems(context.Context, *peerpb.PullItemsRequest) (*peerpb.PullItemsResponse, error) {
	return &peerpb.PullItemsResponse{}, nil
}

func (o *localOwner) PushResults(context.Context, *peerpb.PushResultsRequest) (*peerpb.PushResultsResponse, error) {
	o.pushes++
	return &peerpb.PushResultsResponse{}, nil
}

// Guards against results that are pushed again and again to an owner that has
// left: a drain then waits until its time limit, and the results are lost.
func TestPushReachesNewOwner(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	previousOwner := Owner{Instance: "gone", Address: l.Addr().String()}
	l.Close()
	peers := peer.NewPool(nil)
	defer peers.Close()
	local := &localOwner{}
	s := &Source{Instance: "here", Local: local, Peers: peers, OwnerOf: func(string) (Owner, bool) { return Owner{Instance: "here"}, true }}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, owner, err := s.Push(ctx, previousOwner, &peerpb.PushResultsRequest{JobId: "job"})
	if err != nil || owner.Instance != "here" || local.pushes != 1 {
		t.Fatalf("pushed to %+v: %v, %d pushes here", owner, err, local.pushes)
	}
}
