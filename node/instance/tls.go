package instance

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/url"
	"os"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/settings"
	"github.com/jacinthnotch/jacinthnotch/node/web"
)

// peerTLS returns the TLS configurations of the peer listener and of the connections to
// peers, or nil for both if the settings do not enable TLS.
func peerTLS(s *settings.Settings) (server, client *tls.Config, err error) {
	files := s.PeerTLS
	if files.CertFile == "" {
		return nil, nil, nil
	}
	certificates, err := web.LoadCertificates(files.CertFile, files.KeyFile, s.TLS.ReloadInterval.Std(), time.Now)
	if err != nil {
		return nil, nil, err
	}
	caPEM, err := os.ReadFile(files.CAFile)
	if err != nil {
		return nil, nil, fmt.Errorf("instance: peer_tls.ca_file: %w", err)
	}
	caPool := x509.NewCertPool()
	if !caPool.AppendCertsFromPEM(caPEM) {
		return nil, nil, fmt.Errorf("instance: peer_tls.ca_file: no certificate in %s", files.CAFile)
	}
	server = &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: certificates.GetCertificate,
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: caPool}
	client = &tls.Config{MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return certificates.GetCertificate(nil) },
		// Instances can be replaced at any time and are reached by IP address, so their
		// certificates name no address. Every certificate that a CA in caPool has signed
		// is accepted as that of an instance. VerifyConnection verifies the chain
		// instead of the default verification, which would check the host name.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return verifyChain(state, caPool) },
	}
	return server, client, nil
}

func verifyChain(state tls.ConnectionState, caPool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("instance: the peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: caPool, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}})
	return err
}

// hostOf returns the IP address and port in a URL of the settings.
func hostOf(text string) string {
	u, err := url.Parse(text)
	if err != nil {
		return text
	}
	return u.Host
}
