// Package secure keeps the certificates of a daemon's listeners and of its calls
// to other daemons. The files of the settings are read again while the daemon
// runs: at a fixed interval and at SIGHUP. New files take force for connections
// made afterwards; files that cannot be used leave the old ones in force and are
// reported once. Where an authority is given, both sides of a connection must
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

// ReloadInterval is the time between looks for changed files.
const ReloadInterval = 5 * time.Second

// Use names what certificates are for, in messages and metrics.
type Use string

// The uses of certificates.
const (
	// Callers: the listener that callers and batch clients use.
	Callers Use = "callers"
	// Internal: listeners and calls between rockwind's own processes. Both sides
	// are checked.
	Internal Use = "internal"
)

// CertificateSource holds the certificates of one use. It is safe for concurrent use.
type CertificateSource struct {
	use      Use
	settings *rockwindpb.TlsSettings
	log      log.Interface
	current  atomic.Pointer[material]
	failures atomic.Int64

	mutex sync.Mutex
	// seen is the content of the files at the last look, whether usable or not.
	seen contents
	// refusal is why the content seen last cannot be used.
	refusal  error
	carriers []*http.Transport
}

// contents is the content of the three files; the authority's may be nil.
type contents struct {
	certificate, key, authority []byte
}

func (c contents) equal(other contents) bool {
	return bytes.Equal(c.certificate, other.certificate) && bytes.Equal(c.key, other.key) &&
		bytes.Equal(c.authority, other.authority)
}

// material is what is made of the files.
type material struct {
	certificate tls.Certificate
	// authorities is nil where the other side is not checked.
	authorities *x509.CertPool
}

// Enabled tells whether settings turn TLS on.
func Enabled(settings *rockwindpb.TlsSettings) bool {
	return settings.GetCertificateFile() != "" || settings.GetKeyFile() != "" || settings.GetCaFile() != ""
}

// Open reads the files of the settings. It returns nil where the settings do not
// turn TLS on, and fails with fault.InvalidArgument where the files cannot be
// used.
func Open(use Use, settings *rockwindpb.TlsSettings, logger log.Interface) (*CertificateSource, error) {
	if !Enabled(settings) {
		return nil, nil
	}
	source := &CertificateSource{use: use, settings: settings, log: logger}
	read, err := source.read()
	if err != nil {
		return nil, err
	}
	made, err := source.parse(read, time.Now())
	if err != nil {
		return nil, err
	}
	source.seen = read
	source.current.Store(made)
	return source, nil
}

// Reload reads the files again, and puts them in force where they changed and can
// be used. It fails with fault.InvalidArgument where they cannot; what was in
// force stays so.
func (s *CertificateSource) Reload() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	read, err := s.read()
	if err != nil {
		return err
	}
	if read.equal(s.seen) {
		return s.refusal
	}
	made, err := s.parse(read, time.Now())
	s.seen, s.refusal = read, err
	if err != nil {
		s.failures.Add(1)
		return err
	}
	s.current.Store(made)
	for _, carrier := range s.carriers {
		carrier.CloseIdleConnections()
	}
	s.log.WithField("use", s.use).WithField("valid_until", made.certificate.Leaf.NotAfter).Info("certificates reloaded")
	return nil
}

// Run reloads at ReloadInterval and at SIGHUP until the context ends.
func (s *CertificateSource) Run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(ReloadInterval)
	defer ticker.Stop()
	s.reloadAt(ctx, ticker.C, hangups)
}

// reloadAt reloads at each tick and signal. A failure is reported again only when
// its reason changes.
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

// read reads the files.
func (s *CertificateSource) read() (contents, error) {
	var read contents
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
			return contents{}, s.unusable("check the path and its permissions", "a file cannot be read: %v", err)
		}
		*file.content = content
	}
	return read, nil
}

// parse makes certificates of the files and checks that they can serve now.
func (s *CertificateSource) parse(read contents, now time.Time) (*material, error) {
	pair, err := tls.X509KeyPair(read.certificate, read.key)
	if err != nil {
		return nil, s.unusable("give a certificate and its key in PEM form", "certificate and key do not fit: %v", err)
	}
	made := &material{certificate: pair}
	if now.After(pair.Leaf.NotAfter) || now.Before(pair.Leaf.NotBefore) {
		return nil, s.unusable("renew the certificate and check the machine's clock",
			"the certificate is valid from %v to %v", pair.Leaf.NotBefore, pair.Leaf.NotAfter)
	}
	if read.authority == nil {
		if s.use == Internal {
			return nil, s.unusable("set ca_file, too", "no authority is given for the other processes")
		}
		return made, nil
	}
	made.authorities = x509.NewCertPool()
	if !made.authorities.AppendCertsFromPEM(read.authority) {
		return nil, s.unusable("give a file in PEM form", "the file of the authority holds no certificate")
	}
	if s.use == Internal {
		return made, s.checkSigned(made)
	}
	return made, nil
}

// checkSigned finds a certificate that the other processes would refuse.
func (s *CertificateSource) checkSigned(made *material) error {
	intermediates := x509.NewCertPool()
	for _, encoded := range made.certificate.Certificate[1:] {
		if certificate, err := x509.ParseCertificate(encoded); err == nil {
			intermediates.AddCert(certificate)
		}
	}
	_, err := made.certificate.Leaf.Verify(x509.VerifyOptions{
		Roots: made.authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return s.unusable("have the certificate signed by an authority in ca_file",
			"the other processes would refuse the certificate: %v", err)
	}
	return nil
}

func (s *CertificateSource) unusable(remedy, format string, arguments ...any) error {
	return fault.Newf(fault.InvalidArgument, remedy, "TLS for "+string(s.use)+": "+format, arguments...)
}

// keep closes the idle connections of a transport at each reload, so that new
// certificates take force for its next call.
func (s *CertificateSource) keep(carrier *http.Transport) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.carriers = append(slices.Clip(s.carriers), carrier)
}
