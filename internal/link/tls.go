package link

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// credentials holds a process's certificate and the CA that must have issued its
// peers' certificates. Changed files are reloaded at the next handshake.
type credentials struct {
	settings Settings

	mu     sync.Mutex
	stamps [3]fileStamp
	cert   *tls.Certificate
	roots  *x509.CertPool
}

type fileStamp struct {
	modified time.Time
	size     int64
}

func newCredentials(s Settings) (*credentials, error) {
	c := &credentials{settings: s}
	_, _, err := c.current()
	return c, err
}

// current returns the certificate and CA in force, after reloading changed files.
// If the changed files are unusable, the last valid ones stay in force.
func (c *credentials) current() (*tls.Certificate, *x509.CertPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stamps, err := c.stat()
	if err == nil && (c.cert == nil || stamps != c.stamps) {
		err = c.load(stamps)
	}
	if c.cert == nil {
		return nil, nil, err
	}
	return c.cert, c.roots, nil
}

func (c *credentials) stat() (stamps [3]fileStamp, err error) {
	for i, name := range []string{c.settings.CertFile, c.settings.KeyFile, c.settings.CAFile} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, fmt.Errorf("check link certificate files: %w", err)
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func (c *credentials) load(stamps [3]fileStamp) error {
	cert, err := tls.LoadX509KeyPair(c.settings.CertFile, c.settings.KeyFile)
	if err != nil {
		return fmt.Errorf("load link certificate and key: %w", err)
	}
	pem, err := os.ReadFile(c.settings.CAFile)
	if err != nil {
		return fmt.Errorf("read link CA certificate: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fmt.Errorf("link CA file %s contains no PEM certificate", c.settings.CAFile)
	}
	c.cert, c.roots, c.stamps = &cert, roots, stamps
	return nil
}

// tlsConfig returns a configuration that verifies the peer's chain against the CA
// but not the server name: processes are addressed by IP address and identified
// by the common name of their certificate.
func (c *credentials) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		InsecureSkipVerify:     true, // VerifyConnection verifies the peer instead.
		ClientAuth:             tls.RequireAnyClientCert,
		VerifyConnection:       c.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _, err := c.current()
			return cert, err
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _, err := c.current()
			return cert, err
		},
	}
}

// verify checks the peer's certificate chain against the CA in force.
func (c *credentials) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("link peer sent no certificate")
	}
	_, roots, err := c.current()
	if err != nil {
		return err
	}
	opts := x509.VerifyOptions{
		Roots:         roots,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, cert := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	_, err = state.PeerCertificates[0].Verify(opts)
	return err
}

// peerName returns the common name of the peer's certificate.
func peerName(conn *tls.Conn) string {
	return conn.ConnectionState().PeerCertificates[0].Subject.CommonName
}
