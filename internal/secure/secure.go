// Package secure loads and reloads the TLS certificates of a daemon's listeners and
// of its calls to other daemons. The certificate files are read again at a fixed
// interval and on SIGHUP. Changed certificates apply to new connections; if the
// files are unusable, the previous certificates stay in use and the error is logged
// once. If a certificate authority is configured, both sides of a connection must
// present a certificate that it signed.
package secure

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// ReloadInterval is the interval between checks for changed files.
const ReloadInterval = 5 * time.Second

// Use is the purpose of certificates, as named in messages and metrics.
type Use string

// The uses of certificates.
const (
	// Callers is for the listener of callers and batch clients.
	Callers Use = "callers"
	// Internal is for connections between rockwind's own processes, with mutual TLS.
	Internal Use = "internal"
)

// CertificateSource holds the current certificates for one use. It is safe for
// concurrent use.
type CertificateSource struct {
	use      Use
	settings *rockwindpb.TlsSettings
	log      log.Interface
	current  atomic.Pointer[credentials]
	failures atomic.Int64

	mutex sync.Mutex
	// lastRead is the content of the files when last read, whether usable or not.
	lastRead fileContents
	// lastError is the reason why lastRead is unusable, or nil.
	lastError  error
	transports []*http.Transport
}

// fileContents is the content of the three files; the authority's may be nil.
type fileContents struct {
	certificate, key, authority []byte
}

func (c fileContents) equal(other fileContents) bool {
	return bytes.Equal(c.certificate, other.certificate) && bytes.Equal(c.key, other.key) &&
		bytes.Equal(c.authority, other.authority)
}

// credentials are the parsed contents of the files.
type credentials struct {
	certificate tls.Certificate
	// authorities is nil if the peer's certificate is not verified.
	authorities *x509.CertPool
}

// Enabled reports whether the settings turn TLS on.
func Enabled(settings *rockwindpb.TlsSettings) bool {
	return settings.GetCertificateFile() != "" || settings.GetKeyFile() != "" || settings.GetCaFile() != ""
}

// Open loads the files of the settings. It returns nil if the settings do not turn
// TLS on, and fails with fault.InvalidArgument if the files are unusable.
func Open(use Use, settings *rockwindpb.TlsSettings, logger log.Interface) (*CertificateSource, error) {
	if !Enabled(settings) {
		return nil, nil
	}
	source := &CertificateSource{use: use, settings: settings, log: logger}
	read, err := source.read()
	if err != nil {
		return nil, err
	}
	parsed, err := source.parse(read, time.Now())
	if err != nil {
		return nil, err
	}
	source.lastRead = read
	source.current.Store(parsed)
	return source, nil
}

// Reload reads the files again and switches to their certificates if they changed.
// If the files are unusable, it fails with fault.InvalidArgument and the previous
// certificates stay in use.
func (s *CertificateSource) Reload() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	read, err := s.read()
	if err != nil {
		return err
	}
	if read.equal(s.lastRead) {
		return s.lastError
	}
	parsed, err := s.parse(read, time.Now())
	s.lastRead, s.lastError = read, err
	if err != nil {
		s.failures.Add(1)
		return err
	}
	s.current.Store(parsed)
	for _, transport := range s.transports {
		transport.CloseIdleConnections()
	}
	s.log.WithField("use", s.use).WithField("valid_until", parsed.certificate.Leaf.NotAfter).Info("certificates reloaded")
	return nil
}

// Run reloads every ReloadInterval and on SIGHUP until the context ends.
func (s *CertificateSource) Run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(ReloadInterval)
	defer ticker.Stop()
	s.reloadAt(ctx, ticker.C, hangups)
}

// reloadAt reloads on each tick and signal. An error is logged once, until the
// reload succeeds or fails with another error.
func (s *CertificateSource) reloadAt(ctx context.Context, ticks <-chan time.Time, hangups <-chan os.Signal) {
	reported := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		case <-hangups:
		}
		err := s.Reload()
		if err == nil {
			reported = ""
			continue
		}
		if err.Error() != reported {
			reported = err.Error()
			s.log.WithField("use", s.use).WithError(err).Error("certificates not reloaded; the old ones stay in force")
		}
	}
}

func (s *CertificateSource) read() (fileContents, error) {
	var read fileContents
	for _, file := range []struct {
		name    string
		content *[]byte
	}{
		{s.settings.GetCertificateFile(), &read.certificate},
		{s.settings.GetKeyFile(), &read.key},
		{s.settings.GetCaFile(), &read.authority},
	} {
		if file.name == "" {
			continue
		}
		content, err := os.ReadFile(file.name)
		if err != nil {
			return fileContents{}, s.unusableError("check the path and its permissions", "a file cannot be read: %v", err)
		}
		*file.content = content
	}
	return read, nil
}

// parse parses the files and checks that the certificate is usable now.
func (s *CertificateSource) parse(read fileContents, now time.Time) (*credentials, error) {
	pair, err := tls.X509KeyPair(read.certificate, read.key)
	if err != nil {
		return nil, s.unusableError("give a certificate and its key in PEM form", "certificate and key do not fit: %v", err)
	}
	parsed := &credentials{certificate: pair}
	if now.After(pair.Leaf.NotAfter) || now.Before(pair.Leaf.NotBefore) {
		return nil, s.unusableError("renew the certificate and check the machine's clock",
			"the certificate is valid from %v to %v", pair.Leaf.NotBefore, pair.Leaf.NotAfter)
	}
	if read.authority == nil {
		if s.use == Internal {
			return nil, s.unusableError("set ca_file, too", "no authority is given for the other processes")
		}
		return parsed, nil
	}
	parsed.authorities = x509.NewCertPool()
	if !parsed.authorities.AppendCertsFromPEM(read.authority) {
		return nil, s.unusableError("give a file in PEM form", "the file of the authority holds no certificate")
	}
	if s.use == Internal {
		return parsed, s.checkSigned(parsed)
	}
	return parsed, nil
}

// checkSigned verifies the certificate against the authorities, as the other
// processes do.
func (s *CertificateSource) checkSigned(parsed *credentials) error {
	intermediates := x509.NewCertPool()
	for _, encoded := range parsed.certificate.Certificate[1:] {
		if certificate, err := x509.ParseCertificate(encoded); err == nil {
			intermediates.AddCert(certificate)
		}
	}
	_, err := parsed.certificate.Leaf.Verify(x509.VerifyOptions{
		Roots: parsed.authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return s.unusableError("have the certificate signed by an authority in ca_file",
			"the other processes would refuse the certificate: %v", err)
	}
	return nil
}

func (s *CertificateSource) unusableError(remedy, format string, arguments ...any) error {
	return fault.Newf(fault.InvalidArgument, remedy, "TLS for "+string(s.use)+": "+format, arguments...)
}

// closeIdleOnReload registers a transport whose idle connections are closed on each
// reload, so that its next call uses the new certificates.
func (s *CertificateSource) closeIdleOnReload(transport *http.Transport) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.transports = append(slices.Clip(s.transports), transport)
}
