// Package certs generates a short-lived certificate authority and host key for tests
// and experiments.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/mimosalock/mimosalock/internal/conf/setup"
)

const lifetime = 24 * time.Hour

// Write generates an authority and one key pair, which all hosts share, writes them to
// the folder and returns their paths.
func Write(dir string) (setup.TLS, error) {
	authority, authorityKey, err := generatePair(dir, "ca", nil, nil)
	if err != nil {
		return setup.TLS{}, err
	}
	if _, _, err := generatePair(dir, "host", authority, authorityKey); err != nil {
		return setup.TLS{}, err
	}
	return setup.TLS{CA: filepath.Join(dir, "ca.pem"), Cert: filepath.Join(dir, "host.pem"), Key: filepath.Join(dir, "host.key")}, nil
}

// generatePair generates a key and its certificate and writes both. The certificate is
// signed by the parent, or by its own key if the parent is nil.
func generatePair(dir, name string, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("certs: generate key: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(lifetime),
		BasicConstraintsValid: true, IsCA: parent == nil, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return nil, nil, fmt.Errorf("certs: sign certificate: %w", err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, nil, fmt.Errorf("certs: encode key: %w", err)
	}
	if err := writePEM(dir, name+".pem", "CERTIFICATE", der); err != nil {
		return nil, nil, err
	}
	if err := writePEM(dir, name+".key", "EC PRIVATE KEY", keyDER); err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return cert, key, err
}

func writePEM(dir, name, kind string, der []byte) error {
	raw := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(filepath.Join(dir, name), raw, 0o600); err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	return nil
}
