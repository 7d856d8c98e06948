package web

import (
	"crypto/tls"
	"fmt"
	"os"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Certificates serves the certificate of a listener from two PEM files and
// reloads them when they change.
type Certificates struct {
	certFile, keyFile string
	interval          time.Duration
	now               func() time.Time

	mu   sync.Mutex
	cert *tls.Certificate
	// stamps are those of the two files when cert was loaded.
	stamps    [2]fileStamp
	lastCheck time.Time
}

// fileStamp identifies a version of a file.
type fileStamp struct {
	modified time.Time
	size     int64
}

// LoadCertificates reads the files. They are checked for changes when a
// connection arrives at least interval after the last check.
func LoadCertificates(certFile, keyFile string, interval time.Duration, now func() time.Time) (*Certificates, error) {
	c := &Certificates{certFile: certFile, keyFile: keyFile, interval: interval, now: now, lastCheck: now()}
	stamps, err := c.statFiles()
	if err != nil {
		return nil, fmt.Errorf("web: certificate files: %w", err)
	}
	if err := c.load(stamps); err != nil {
		return nil, fmt.Errorf("web: certificate files: %w", err)
	}
	return c, nil
}

// TLSConfig returns the TLS configuration of the listener.
func (c *Certificates) TLSConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}, GetCertificate: c.GetCertificate}
}

// GetCertificate returns the most recently loaded certificate, for use as
// tls.Config.GetCertificate.
func (c *Certificates) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.now(); now.Sub(c.lastCheck) >= c.interval {
		c.lastCheck = now
		c.reload()
	}
	return c.cert, nil
}

// reload loads the files if they have changed. It keeps the old certificate when a
// file is missing or the key does not match, as between the two writes of a
// renewal; the next check tries again.
func (c *Certificates) reload() {
	stamps, err := c.statFiles()
	if err == nil && stamps == c.stamps {
		return
	}
	if err == nil {
		err = c.load(stamps)
	}
	if err != nil {
		certificateErrors.Add(1)
		klog.ErrorS(err, "certificate reload failed; keeping the previous one", "file", c.certFile)
		return
	}
	klog.InfoS("certificate reloaded", "file", c.certFile)
}

func (c *Certificates) load(stamps [2]fileStamp) error {
	cert, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return err
	}
	c.cert, c.stamps = &cert, stamps
	return nil
}

func (c *Certificates) statFiles() (out [2]fileStamp, err error) {
	for i, name := range []string{c.certFile, c.keyFile} {
		info, err := os.Stat(name)
		if err != nil {
			return out, err
		}
		out[i] = fileStamp{info.ModTime(), info.Size()}
	}
	return out, nil
}
