// Package certs loads the certificates by which daemons know each other. Both
// ends of a link show a certificate of the fleet's own authority that holds
// the DNS name FleetName; the names of single daemons and their addresses
// change too often to stand in certificates.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/ansel1/merry/v2"
)

// FleetName is the DNS name that every daemon's certificate holds.
const FleetName = "savorystall-fleet"

// Files names the PEM files of one daemon.
type Files struct {
	// Cert is the daemon's certificate chain and Key its private key.
	Cert, Key string
	// CA holds the authorities that are trusted for peers.
	CA string
}

// Identity is what a daemon shows and whom it trusts.
type Identity struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Load reads the files.
func Load(files Files) (*Identity, error) {
	certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, merry.Prepend(err, "fleet certificate")
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, merry.Prepend(err, "fleet authority")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, merry.Errorf("fleet authority: %s holds no certificate", files.CA)
	}
	return &Identity{certificate: certificate, authorities: authorities}, nil
}

// Server returns the settings of the listening end: a peer without a
// certificate of the fleet is refused in the handshake.
func (i *Identity) Server() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{i.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    i.authorities,
		// An authority may sign more than this fleet: the name is checked too.
		VerifyConnection: func(s tls.ConnectionState) error {
			return s.PeerCertificates[0].VerifyHostname(FleetName)
		},
	}
}

// Client returns the settings of the dialling end.
func (i *Identity) Client() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{i.certificate},
		RootCAs:      i.authorities,
		ServerName:   FleetName,
	}
}
