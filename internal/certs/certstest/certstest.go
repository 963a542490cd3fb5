// Package certstest creates certificate authorities and certificates for tests.
package certstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/savorystall/savorystall/internal/certs"
)

// Authority is a certificate authority of one fleet.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

// NewAuthority returns a new authority that is valid for one hour.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	key := newKey(t)
	template := newTemplate("test authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &Authority{certificate: certificate, key: key, pem: encodePEM("CERTIFICATE", der)}
}

// Files writes the PEM files of a certificate for name to a temporary directory.
func (a *Authority) Files(t testing.TB, name string) certs.Files {
	t.Helper()
	key := newKey(t)
	template := newTemplate(name)
	template.DNSNames = []string{name}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	return certs.Files{
		Cert: writeFile(t, dir, "cert.pem", encodePEM("CERTIFICATE", der)),
		Key:  writeFile(t, dir, "key.pem", encodePEM("EC PRIVATE KEY", keyDER)),
		CA:   writeFile(t, dir, "ca.pem", a.pem),
	}
}

// Identity returns a loaded certificate for name.
func (a *Authority) Identity(t testing.TB, name string) *certs.Identity {
	t.Helper()
	identity, err := certs.Load(a.Files(t, name))
	if err != nil {
		t.Fatal(err)
	}
	return identity
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newTemplate(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, big.NewInt(1<<62))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Minute),
		NotAfter:     time.Now().Add(time.Hour),
	}
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

func writeFile(t testing.TB, dir, name string, content []byte) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
