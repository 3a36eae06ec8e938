// Package authority is a certificate authority for tests of TLS. It is not for
// production: keys are stored unencrypted, and certificates can't be revoked.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

// File names and modes.
const (
	// CertificateFile is the file name of the authority's certificate.
	CertificateFile = "ca.pem"
	certificateMode = 0o644
	keyMode         = 0o600
	folderMode      = 0o700
)

const (
	serialBits = 126
	// clockSkew is the tolerated difference between the clocks of machines.
	clockSkew = 5 * time.Minute
)

// Authority signs certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	encoded     []byte
	lifetime    time.Duration
}

// New creates an authority. Its certificate is valid for the given lifetime from
// now, and each certificate that it signs for the same lifetime from its issue.
func New(name string, lifetime time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	template, err := newTemplate(name, lifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "sign CA certificate")
	}
	certificate, err := x509.ParseCertificate(encoded)
	if err != nil {
		return nil, errors.Wrap(err, "parse CA certificate")
	}
	return &Authority{certificate: certificate, key: key, encoded: encodePEM("CERTIFICATE", encoded), lifetime: lifetime}, nil
}

func newTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}

// Certificate returns the authority's certificate in PEM format.
func (a *Authority) Certificate() []byte {
	return a.encoded
}

// Issue creates a server and client certificate for the given IP addresses and
// returns it and its private key in PEM format.
func (a *Authority) Issue(name string, addresses ...netip.Addr) (certificate, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "generate key")
	}
	template, err := newTemplate(name, a.lifetime)
	if err != nil {
		return nil, nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, address.AsSlice())
	}
	signed, err := x509.CreateCertificate(rand.Reader, template, a.certificate, private.Public(), a.key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "sign certificate")
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encode private key")
	}
	return encodePEM("CERTIFICATE", signed), encodePEM("PRIVATE KEY", encodedKey), nil
}

// Write issues a certificate and writes it to NAME.pem, its key to NAME.key and the
// authority's certificate to CertificateFile.
func (a *Authority) Write(folder, name string, addresses ...netip.Addr) error {
	certificate, key, err := a.Issue(name, addresses...)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "create folder")
	}
	for _, file := range []struct {
		name    string
		content []byte
		mode    os.FileMode
	}{
		{CertificateFile, a.encoded, certificateMode},
		{name + ".pem", certificate, certificateMode},
		{name + ".key", key, keyMode},
	} {
		if err := os.WriteFile(filepath.Join(folder, file.name), file.content, file.mode); err != nil {
			return errors.Wrap(err, "write certificate files")
		}
	}
	return nil
}

func encodePEM(kind string, content []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content})
}
