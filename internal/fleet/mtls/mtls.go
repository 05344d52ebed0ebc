// Package mtls builds the mutual TLS configuration for connections between
// processes.
package mtls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"github.com/mimosalock/mimosalock/internal/conf/setup"
)

// sessionCacheSize exceeds the number of peers of a process, so that sessions with
// all of them can be resumed.
const sessionCacheSize = 4096

// Configs holds the TLS configurations for both ends of a connection. nil fields mean
// plain TCP, which the settings allow on loopback only.
type Configs struct {
	Server *tls.Config
	Client *tls.Config
}

// Load reads the PEM files named in the settings. If none are set, it returns zero
// Configs.
func Load(s setup.TLS) (Configs, error) {
	if s == (setup.TLS{}) {
		return Configs{}, nil
	}
	cert, err := tls.LoadX509KeyPair(s.Cert, s.Key)
	if err != nil {
		return Configs{}, fmt.Errorf("tls: load key pair: %w", err)
	}
	pem, err := os.ReadFile(s.CA)
	if err != nil {
		return Configs{}, fmt.Errorf("tls: read CA certificate: %w", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return Configs{}, fmt.Errorf("tls: CA file %s contains no certificate", s.CA)
	}
	return New(cert, authority), nil
}

// New returns the configurations of a process with the given certificate. Peers are
// verified by the certificate authority of the deployment and not by name, since
// hosts change often. A peer without a certificate of that authority is rejected,
// whatever its address.
func New(cert tls.Certificate, authority *x509.CertPool) Configs {
	server := &tls.Config{
		Certificates: []tls.Certificate{cert},
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
	client := &tls.Config{
		Certificates:       []tls.Certificate{cert},
		MinVersion:         tls.VersionTLS13,
		ClientSessionCache: tls.NewLRUClientSessionCache(sessionCacheSize), // a resumed handshake costs a fifth of a full one
		InsecureSkipVerify: true,                                           // skips only the host name: VerifyConnection checks the chain
		VerifyConnection:   verifyChain(authority),
	}
	return Configs{Server: server, Client: client}
}

func verifyChain(authority *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("tls: peer sent no certificate")
		}
		pool := x509.NewCertPool()
		for _, c := range state.PeerCertificates[1:] {
			pool.AddCert(c)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots: authority, Intermediates: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		return err
	}
}
