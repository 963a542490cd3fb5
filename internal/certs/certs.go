// Package certs loads the certificates with which daemons authenticate each other. Both ends
// of a link present a certificate that was issued by the fleet's own certificate authority
// for the DNS name FleetName. The names and addresses of individual daemons change too often
// to be part of certificates.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/ansel1/merry/v2"
)

// FleetName is the DNS name in every daemon's certificate.
const FleetName = "savorystall-fleet"

// Files holds the paths of the PEM files of one daemon.
type Files struct {
	// Cert is the daemon's certificate chain, and Key its private key.
	Cert, Key string
	// CA holds the certificate authorities that are trusted for peers.
	CA string
}

// Identity holds a daemon's certificate and the authorities it trusts.
type Identity struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Load reads and parses the files.
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

// Server returns the TLS configuration of the listening end. It rejects a peer without a
// certificate of the fleet during the handshake.
func (i *Identity) Server() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{i.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    i.authorities,
		// The authority may issue certificates outside this fleet, so the name is checked too.
		VerifyConnection: func(s tls.ConnectionState) error {
			return s.PeerCertificates[0].VerifyHostname(FleetName)
		},
	}
}

// Client returns the TLS configuration of the dialing end.
func (i *Identity) Client() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{i.certificate},
		RootCAs:      i.authorities,
		ServerName:   FleetName,
	}
}
