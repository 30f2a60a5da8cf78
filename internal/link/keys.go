package link

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	caLifetime   = 10 * 365 * 24 * time.Hour
	certLifetime = 365 * 24 * time.Hour
	// clockSkew is the maximum time by which a peer's clock may lag behind the
	// issuer's.
	clockSkew  = time.Hour
	serialBits = 127
)

// Authority signs the certificates of link peers.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// GenerateCA returns a new certificate authority, valid from now.
func GenerateCA(now time.Time) (*Authority, error) {
	template, err := newTemplate("kumquatyard CA", now, caLifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, der, err := sign(template, nil)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse CA certificate: %w", err)
	}
	return &Authority{cert: cert, key: key}, nil
}

// CertPEM returns the authority's certificate as PEM.
func (a *Authority) CertPEM() []byte { return certPEM(a.cert.Raw) }

// GenerateCert returns the certificate and key of the peer with the given
// common name as PEM, valid from now.
func (a *Authority) GenerateCert(name string, now time.Time) (cert, key []byte, err error) {
	template, err := newTemplate(name, now, certLifetime)
	if err != nil {
		return nil, nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	private, der, err := sign(template, a)
	if err != nil {
		return nil, nil, err
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, fmt.Errorf("encode key: %w", err)
	}
	return certPEM(der), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}), nil
}

// WriteDevelopmentKeys writes ca.pem and, for each name, NAME.pem and
// NAME-key.pem to dir. The authority's key is discarded.
func WriteDevelopmentKeys(dir string, names []string, now time.Time) error {
	ca, err := GenerateCA(now)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create key directory: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "ca.pem"), ca.CertPEM(), 0o644); err != nil {
		return fmt.Errorf("write CA certificate: %w", err)
	}
	for _, name := range names {
		if err := writePair(ca, dir, name, now); err != nil {
			return err
		}
	}
	return nil
}

// writePair writes the certificate and key of one peer to dir.
func writePair(ca *Authority, dir, name string, now time.Time) error {
	cert, key, err := ca.GenerateCert(name, now)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, name+"-key.pem"), key, 0o600); err != nil {
		return fmt.Errorf("write private key: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, name+".pem"), cert, 0o644); err != nil {
		return fmt.Errorf("write certificate: %w", err)
	}
	return nil
}

func newTemplate(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}

// sign generates a key for template and returns it with the DER certificate,
// which is signed by issuer, or self-signed if issuer is nil.
func sign(template *x509.Certificate, issuer *Authority) (*ecdsa.PrivateKey, []byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("generate key: %w", err)
	}
	if issuer == nil {
		issuer = &Authority{cert: template, key: key}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, issuer.cert, &key.PublicKey, issuer.key)
	if err != nil {
		return nil, nil, fmt.Errorf("sign certificate: %w", err)
	}
	return key, der, nil
}

func certPEM(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}
