package relay_test

import (
	"io"
	"net"
	"testing"
	"time"
)

// cutAfter starts a proxy to an instance that ends each connection after a number of bytes of its responses,
// and returns the proxy's address.
func cutAfter(t *testing.T, address string, n int64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer client.Close()
				server, err := net.Dial("tcp", address)
				if err != nil {
					return
				}
				defer server.Close()
				go func() { _, _ = io.Copy(server, client) }()
				_, _ = io.Copy(client, io.LimitReader(server, n))
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a relayed call whose response was cut and that counts as answered: by a page without its last
// records, or an append that was acknowledged.
func TestCutResponseOfAPeerIsAnError(t *testing.T) {
	const wholeAfter = 4096
	store := &fakeStore{}
	store.append([][]byte{[]byte("zero"), []byte("one"), []byte("two")})
	for n := int64(0); n < 200; n += 3 {
		a, b := startInstance(t, "a", store), startInstance(t, "b", store)
		a.setPeers(b)
		a.peers.list[0].Address = cutAfter(t, b.addr, n)
		a.path.set(refusesCalls)
		page, err := a.Read(testContext(t), partition, 1, 1000, time.Millisecond)
		if err == nil && (len(page.Records) != 2 || page.End != 3) {
			t.Errorf("read, %d bytes: %+v", n, page)
		}
		newest, err := a.Newest(testContext(t), "n", "k")
		if err == nil && (len(newest.Records) != 2 || newest.End != 7) {
			t.Errorf("newest, %d bytes: %+v", n, newest)
		}
	}
	a, b := startInstance(t, "a", store), startInstance(t, "b", store)
	a.setPeers(b)
	a.peers.list[0].Address = cutAfter(t, b.addr, wholeAfter)
	a.path.set(refusesCalls)
	if page, err := a.Read(testContext(t), partition, 1, 1000, time.Millisecond); err != nil || len(page.Records) != 2 {
		t.Fatalf("a response that is not cut: %+v, %v", page, err)
	}
}
