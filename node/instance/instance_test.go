package instance

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/jacinthnotch/jacinthnotch/node/peer"
	"github.com/jacinthnotch/jacinthnotch/node/settings"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// newTestCA creates a certificate authority, and a certificate signed by it, in files.
func newTestCA(t *testing.T, name string) settings.PeerTLS {
	t.Helper()
	dir := t.TempDir()
	write := func(file, kind string, data []byte) string {
		path := filepath.Join(dir, file)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	sign := func(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) []byte {
		der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
		if err != nil {
			t.Fatal(err)
		}
		return der
	}
	caKey, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ca := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	leaf := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "instance"}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	text, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return settings.PeerTLS{CAFile: write("ca.pem", "CERTIFICATE", sign(ca, ca, caKey, caKey)),
		CertFile: write("cert.pem", "CERTIFICATE", sign(leaf, ca, key, caKey)), KeyFile: write("key.pem", "EC PRIVATE KEY", text)}
}

type memberServer struct {
	peerpb.DRPCMembersUnimplementedServer
}

func (memberServer) Probe(context.Context, *peerpb.Ping) (*peerpb.Ack, error) {
	return &peerpb.Ack{From: "server"}, nil
}

// Guards against RPCs between peers of which one has no certificate, a certificate of
// another authority, or no TLS.
func TestPeerTLSIsMutual(t *testing.T) {
	ours, theirs := settings.Default(), settings.Default()
	ours.PeerTLS, theirs.PeerTLS = newTestCA(t, "ours"), newTestCA(t, "theirs")
	server, trusted, err := peerTLS(ours)
	if err != nil {
		t.Fatal(err)
	}
	_, otherCA, err := peerTLS(theirs)
	if err != nil {
		t.Fatal(err)
	}
	noCertificate := trusted.Clone()
	noCertificate.GetClientCertificate = nil
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterMembers(mux, &memberServer{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- peer.NewServer(ln, mux, server).Serve(ctx) }()
	defer func() { cancel(); <-ended }()
	ask := func(p *peer.Pool) error {
		defer p.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		conn := p.Conn(ctx, ln.Addr().String())
		defer conn.Close()
		_, err := peerpb.NewDRPCMembersClient(conn).Probe(ctx, &peerpb.Ping{From: "client"})
		return err
	}
	if err := ask(peer.NewPool(trusted)); err != nil {
		t.Errorf("a peer of the same authority was refused: %v", err)
	}
	if ask(peer.NewPool(otherCA)) == nil || ask(peer.NewPool(noCertificate)) == nil || ask(peer.NewPool(nil)) == nil {
		t.Error("a client without a trusted certificate got an answer")
	}
}

func localSettings() *settings.Settings {
	s := settings.Default()
	s.Instance, s.DataCentre = "a", "dc-1"
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Operator: "127.0.0.1:0", Peer: "127.0.0.1:0"}
	s.Platform = settings.Platform{Log: "http://127.0.0.1:1", List: "http://127.0.0.1:1", Weights: "http://127.0.0.1:1", Timeout: s.Platform.Timeout}
	s.DrainLag = 0
	return s
}

// Guards against an instance that continues without one of its components, and against a
// lost cause of a panic.
func TestComponentFailureEndsInstance(t *testing.T) {
	for name, component := range map[string]func(context.Context) error{
		"an error": func(context.Context) error { return errors.New("some cause") },
		"a panic":  func(context.Context) error { panic("some cause") },
	} {
		i, err := New(Options{Settings: localSettings()})
		if err != nil {
			t.Fatal(err)
		}
		i.startComponent("broken", component)
		if err := i.Run(); err == nil || !strings.Contains(err.Error(), "broken") || !strings.Contains(err.Error(), "some cause") {
			t.Errorf("%s: the instance ended with %v", name, err)
		}
	}
}

// Guards against an instance that cannot be drained while the platform's log and list are
// unreachable.
func TestDrainWithoutPlatform(t *testing.T) {
	i, err := New(Options{Settings: localSettings()})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- i.Run() }()
	if ready, reason := i.Ready(); ready || reason == "" {
		t.Errorf("ready %v, reason %q", ready, reason)
	}
	i.Drain()
	if err := <-ended; err != nil {
		t.Errorf("the drain ended with %v", err)
	}
}
