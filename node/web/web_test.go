package web

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/api"
)

// Guards against a listener that accepts callers from other hosts without a key,
// and against a key that gives access to another workspace.
func TestAuthenticate(t *testing.T) {
	hash := func(key string) api.KeyHash { return sha256.Sum256([]byte(key)) }
	keyed := &api.View{Workspaces: map[string]api.Workspace{"a": {KeyHashes: []api.KeyHash{hash("k1"), hash("k2")}},
		"b": {KeyHashes: []api.KeyHash{hash("k3")}}, "none": {}}}
	open := &api.View{Workspaces: map[string]api.Workspace{"none": {}}}
	for _, tc := range []struct {
		view      *api.View
		header    string
		loopback  bool
		workspace string
	}{
		{keyed, "Bearer k2", false, "a"}, {keyed, "bearer k3", false, "b"}, {keyed, "Bearer k4", true, ""},
		{keyed, "", true, ""}, {keyed, "Bearer ", true, ""}, {keyed, "Basic k1", false, ""}, {keyed, "k1", false, ""},
		{open, "", true, DefaultWorkspace}, {open, "Bearer any", true, DefaultWorkspace}, {open, "", false, ""}, {nil, "Bearer k1", true, ""},
	} {
		got, _, err := Authenticate(tc.view, tc.header, tc.loopback)
		if got != tc.workspace || (err == nil) != (tc.workspace != "") {
			t.Errorf("%q, loopback %t: %q, %v", tc.header, tc.loopback, got, err)
		}
	}
}

type chunkReader struct {
	data []byte
	step int
	err  error
}

func (c *chunkReader) Read(p []byte) (int, error) {
	if len(c.data) == 0 {
		return 0, c.err
	}
	n := copy(p, c.data[:min(c.step, len(c.data))])
	c.data = c.data[n:]
	return n, nil
}

// Guards against a caller that holds a connection open by sending single bytes,
// and against a body of known length that ends early and is taken for complete.
func TestBodyReader(t *testing.T) {
	start := time.Unix(1000, 0)
	var deadlines []time.Duration
	newReader := func(src io.Reader, length int64) *bodyReader {
		deadlines = nil
		return &bodyReader{stream: src, length: length, start: start, limits: BodyLimits{Bytes: 10, Timeout: 5 * time.Second, MinRate: 2},
			setDeadline: func(at time.Time) error {
				deadlines = append(deadlines, at.Sub(start))
				return nil
			}}
	}
	data, err := io.ReadAll(newReader(&chunkReader{data: []byte("abcdefgh"), step: 4, err: io.EOF}, 8))
	if string(data) != "abcdefgh" || err != nil || deadlines[0] != 5*time.Second || deadlines[2] != 9*time.Second {
		t.Errorf("%q, %v, deadlines %v", data, err, deadlines)
	}
	_, err = io.ReadAll(newReader(&chunkReader{data: []byte("abc"), step: 9, err: io.EOF}, 8))
	if r := api.AsRefusal(BodyError(err)); r.Status != 400 {
		t.Errorf("early end: %v", r)
	}
	_, err = io.ReadAll(newReader(&chunkReader{data: []byte("abcdefghijk"), step: 9, err: io.EOF}, -1))
	if r := api.AsRefusal(BodyError(err)); r.Status != 413 {
		t.Errorf("too long: %v", r)
	}
	_, err = io.ReadAll(newReader(&chunkReader{err: os.ErrDeadlineExceeded}, 8))
	if r := api.AsRefusal(BodyError(&net.OpError{Err: err})); r.Status != 408 {
		t.Errorf("too slow: %v", r)
	}
}

// writeCertificate writes a self-signed certificate with a serial number.
func writeCertificate(t *testing.T, certFile, keyFile string, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	pkcs, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for name, block := range map[string]*pem.Block{certFile: {Type: "CERTIFICATE", Bytes: der}, keyFile: {Type: "PRIVATE KEY", Bytes: pkcs}} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
		// The modification time differs even on a file system with coarse times.
		stamp := time.Unix(serial, 0)
		if err := os.Chtimes(name, stamp, stamp); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a renewed certificate that needs a restart, and against a
// half-written renewal that leaves the listener without a certificate.
func TestCertificateReload(t *testing.T) {
	cert, key := filepath.Join(t.TempDir(), "c.pem"), filepath.Join(t.TempDir(), "k.pem")
	writeCertificate(t, cert, key, 1)
	now := time.Unix(0, 0)
	c, err := LoadCertificates(cert, key, time.Second, func() time.Time { return now })
	if err != nil {
		t.Fatal(err)
	}
	serial := func() int64 {
		got, err := c.GetCertificate(nil)
		if err != nil {
			t.Fatal(err)
		}
		leaf, err := x509.ParseCertificate(got.Certificate[0])
		if err != nil {
			t.Fatal(err)
		}
		return leaf.SerialNumber.Int64()
	}
	writeCertificate(t, cert, key, 2)
	if serial() != 1 {
		t.Error("reloaded before the interval was over")
	}
	now = now.Add(time.Second)
	if serial() != 2 {
		t.Error("not reloaded")
	}
	other := filepath.Join(t.TempDir(), "k.pem")
	writeCertificate(t, cert, other, 3)
	now = now.Add(time.Second)
	if serial() != 2 {
		t.Error("a certificate without its key is in use")
	}
	if _, err := LoadCertificates(cert, filepath.Join(t.TempDir(), "none"), time.Second, time.Now); err == nil {
		t.Error("missing files were accepted")
	}
}

// connect returns both ends of a connection, with TLS if config is set.
func connect(t *testing.T, config *tls.Config) (server *Conn, client net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dial := net.Dial
	if config != nil {
		ln = tls.NewListener(ln, config)
		dial = func(network, address string) (net.Conn, error) {
			return tls.Dial(network, address, &tls.Config{InsecureSkipVerify: true})
		}
	}
	dialled := make(chan net.Conn, 1)
	go func() {
		c, err := dial("tcp", ln.Addr().String())
		if err != nil {
			t.Error(err)
		}
		dialled <- c
	}()
	accepted, err := (&Listener{Listener: ln, WriteTimeout: time.Minute}).Accept()
	if err != nil {
		t.Fatal(err)
	}
	server = accepted.(*Conn)
	if config != nil {
		if err := server.Conn.(*tls.Conn).Handshake(); err != nil {
			t.Fatal(err)
		}
	}
	client = <-dialled
	t.Cleanup(func() {
		server.Close()
		client.Close()
	})
	return server, client
}

// Guards against a watch that loses bytes of the next request, leaves the
// connection unusable, or misses a caller that disconnects.
func TestWatchDisconnect(t *testing.T) {
	cert, key := filepath.Join(t.TempDir(), "c.pem"), filepath.Join(t.TempDir(), "k.pem")
	writeCertificate(t, cert, key, 1)
	certs, err := LoadCertificates(cert, key, time.Hour, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	for _, config := range []*tls.Config{nil, certs.TLSConfig()} {
		server, client := connect(t, config)
		stop := server.WatchDisconnect(func() { t.Error("onDisconnect was called on an open connection") })
		stop()
		stop()
		stop = server.WatchDisconnect(func() { t.Error("onDisconnect was called on an open connection") })
		text := strings.Repeat("0123456789", 20000)
		sent := make(chan error, 1)
		go func() {
			_, err := client.Write([]byte(text))
			sent <- err
		}()
		var got [7]byte
		stop()
		if _, err := io.ReadFull(server, got[:]); string(got[:]) != "0123456" || err != nil {
			t.Errorf("read %q, %v", got, err)
		}
		if _, err := io.ReadFull(server, make([]byte, len(text)-len(got))); err != nil {
			t.Error(err)
		}
		if err := <-sent; err != nil {
			t.Error(err)
		}
		gone := make(chan struct{})
		stop = server.WatchDisconnect(func() { close(gone) })
		client.Close()
		<-gone
		stop()
	}
}

// Guards against a caller that stops reading and blocks a writer forever.
func TestWriteDeadlineOfEachChunk(t *testing.T) {
	inner := &deadlineConn{}
	c := &Conn{Conn: inner, writeTimeout: time.Minute}
	if n, err := c.Write(make([]byte, 3*writeChunkBytes)); n != 3*writeChunkBytes || err != nil || inner.deadlines != 3 {
		t.Errorf("%d, %v, %d deadlines", n, err, inner.deadlines)
	}
	inner.err = errors.New("closed")
	if n, err := c.Write(make([]byte, 10)); n != 0 || err == nil {
		t.Errorf("%d, %v", n, err)
	}
}

type deadlineConn struct {
	net.Conn
	deadlines int
	err       error
}

func (c *deadlineConn) SetWriteDeadline(time.Time) error {
	c.deadlines++
	return nil
}

func (c *deadlineConn) Write(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	return len(p), nil
}
