package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

type membersServer struct {
	peerpb.DRPCMembersUnimplementedServer
}

func (*membersServer) Probe(_ context.Context, in *peerpb.Ping) (*peerpb.Ack, error) {
	return &peerpb.Ack{From: "b", Seq: in.GetSeq()}, nil
}

func startServer(t *testing.T) string {
	t.Helper()
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterMembers(mux, &membersServer{}); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	server := NewServer(listener, mux, nil)
	go func() { done <- server.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return listener.Addr().String()
}

func probe(ctx context.Context, p *Pool, address string) (*peerpb.Ack, error) {
	c := p.Conn(ctx, address)
	defer c.Close()
	return peerpb.NewDRPCMembersClient(c).Probe(ctx, &peerpb.Ping{From: "a", Seq: 7})
}

// Guards against calls without a deadline, which would hang forever on a
// connection that no longer delivers data.
func TestCallNeedsDeadline(t *testing.T) {
	pool := NewPool(nil)
	defer pool.Close()
	address := startServer(t)
	if _, err := probe(context.Background(), pool, address); !errors.Is(err, ErrNoDeadline) {
		t.Fatalf("call without a deadline: %v, want %v", err, ErrNoDeadline)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	ack, err := probe(ctx, pool, address)
	if err != nil || ack.GetSeq() != 7 {
		t.Fatalf("Probe = %v, %v", ack, err)
	}
}

// Guards against a connection that no longer delivers data but stays in the pool
// after a timeout, so that the next call would use it and time out too.
func TestTimeoutDiscardsIdleConnections(t *testing.T) {
	pool := NewPool(nil)
	defer pool.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	address := listener.Addr().String()
	idle, err := pool.dial(context.Background(), address)
	if err != nil {
		t.Fatal(err)
	}
	pool.pool.Put(address, idle)
	other, err := pool.dial(context.Background(), address)
	if err != nil {
		t.Fatal(err)
	}
	pool.pool.Put(address, other)

	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	if _, err := probe(ctx, pool, address); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("call past its deadline: %v", err)
	}
	if _, ok := pool.pool.Take(address); ok {
		t.Fatal("an idle connection stayed in the pool after a timeout")
	}
}
