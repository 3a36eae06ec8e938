package secure

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/bench/authority"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/logring"
	"rockwind.example/rockwind/internal/rockwindpb"
)

var loopback = netip.MustParseAddr("127.0.0.1")

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func newAuthority(t *testing.T) *authority.Authority {
	t.Helper()
	made, err := authority.New("test", time.Hour)
	must(t, err)
	return made
}

// process is a process with its certificate files and its log.
type process struct {
	folder string
	source *CertificateSource
	ring   *logring.Ring
}

func (p *process) settings() *rockwindpb.TlsSettings {
	return &rockwindpb.TlsSettings{
		CertificateFile: filepath.Join(p.folder, "process.pem"),
		KeyFile:         filepath.Join(p.folder, "process.key"),
		CaFile:          filepath.Join(p.folder, authority.CertificateFile),
	}
}

func newProcess(t *testing.T, signer *authority.Authority) *process {
	t.Helper()
	p := &process{folder: t.TempDir(), ring: logring.New(16, io.Discard)}
	must(t, signer.Write(p.folder, "process", loopback))
	var err error
	p.source, err = Open(Internal, p.settings(), &log.Logger{Handler: p.ring, Level: log.InfoLevel})
	must(t, err)
	return p
}

func (p *process) logged(text string) int {
	return strings.Count(strings.Join(p.ring.Lines(0), "\n"), text)
}

// serve starts an HTTPS server and returns its URL.
func (p *process) serve(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	server := &http.Server{
		TLSConfig: p.source.ServerConfig(),
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }),
		ErrorLog:  nil,
	}
	ended := make(chan struct{})
	go func() { defer close(ended); _ = server.ServeTLS(listener, "", "") }()
	t.Cleanup(func() { server.Close(); <-ended })
	return "https://" + listener.Addr().String()
}

func (p *process) client(t *testing.T) *http.Client {
	transport := p.source.Transport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func call(client *http.Client, url string) error {
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err
}

func TestOnlyProcessesOfTheAuthorityAreServed(t *testing.T) {
	ours, other := newAuthority(t), newAuthority(t)
	server := newProcess(t, ours)
	url := server.serve(t)
	must(t, call(newProcess(t, ours).client(t), url))

	foreignProcess := newProcess(t, other)
	if err := call(foreignProcess.client(t), url); err == nil || !strings.Contains(err.Error(), "unknown authority") {
		t.Errorf("a process of another authority trusts the server: %v", err)
	}
	// The server also refuses a foreign process that trusts the server's authority.
	must(t, os.WriteFile(foreignProcess.settings().GetCaFile(), ours.Certificate(), 0o600))
	foreignProcess.source.use = Callers
	must(t, foreignProcess.source.Reload())
	if err := call(foreignProcess.client(t), url); err == nil || !strings.Contains(err.Error(), "remote error") {
		t.Errorf("the server served a certificate of another authority: %v", err)
	}
	anonymous := server.source.clientConfig("127.0.0.1")
	anonymous.Certificates = nil
	transport := &http.Transport{TLSClientConfig: anonymous}
	t.Cleanup(transport.CloseIdleConnections)
	if err := call(&http.Client{Transport: transport}, url); err == nil {
		t.Error("the server served a caller without a certificate")
	}
}

func TestReloadAppliesToNewConnections(t *testing.T) {
	before, after := newAuthority(t), newAuthority(t)
	server, client := newProcess(t, before), newProcess(t, before)
	url, caller := server.serve(t), client.client(t)
	must(t, call(caller, url))

	must(t, after.Write(server.folder, "process", loopback))
	must(t, server.source.Reload())
	late := newProcess(t, before)
	if err := call(late.client(t), url); err == nil {
		t.Error("the server still serves the old authority's processes")
	}
	must(t, after.Write(client.folder, "process", loopback))
	must(t, client.source.Reload())
	must(t, call(caller, url))
	if client.logged("certificates reloaded") != 1 {
		t.Error("the reload was not logged")
	}
}

func TestFailedReloadKeepsPreviousCertificates(t *testing.T) {
	signer := newAuthority(t)
	elsewhere, err := authority.New("test", -time.Minute)
	must(t, err)
	expired, expiredKey, err := elsewhere.Issue("process", loopback)
	must(t, err)
	foreign, foreignKey, err := newAuthority(t).Issue("process", loopback)
	must(t, err)
	cases := map[string]struct {
		certificate, key []byte
		message          string
	}{
		"noise":             {[]byte("noise"), foreignKey, "do not fit"},
		"another key":       {expired, foreignKey, "do not fit"},
		"expired":           {expired, expiredKey, "is valid from"},
		"another authority": {foreign, foreignKey, "would refuse"},
	}
	for name, bad := range cases {
		t.Run(name, func(t *testing.T) {
			server := newProcess(t, signer)
			url := server.serve(t)
			must(t, os.WriteFile(server.settings().GetCertificateFile(), bad.certificate, 0o600))
			must(t, os.WriteFile(server.settings().GetKeyFile(), bad.key, 0o600))
			for range 2 {
				err := server.source.Reload()
				if !fault.Is(err, fault.InvalidArgument) || !strings.Contains(err.Error(), bad.message) {
					t.Errorf("the reload gave %v", err)
				}
			}
			if failures := server.source.failures.Load(); failures != 1 {
				t.Errorf("%d failures counted", failures)
			}
			must(t, call(newProcess(t, signer).client(t), url))
			must(t, signer.Write(server.folder, "process", loopback))
			must(t, server.source.Reload())
		})
	}
}

func TestEachFailureIsReportedOnce(t *testing.T) {
	p := newProcess(t, newAuthority(t))
	must(t, os.Remove(p.settings().GetKeyFile()))
	ctx, cancel := context.WithCancel(context.Background())
	// A send to an unbuffered channel waits until the previous reload is done.
	ticks, hangups, ended := make(chan time.Time), make(chan os.Signal), make(chan struct{})
	go func() { defer close(ended); p.source.reloadAt(ctx, ticks, hangups) }()
	for range 3 {
		ticks <- time.Time{}
	}
	hangups <- os.Interrupt
	cancel()
	<-ended
	if times := p.logged("stay in force"); times != 1 {
		t.Errorf("reported %d times: %v", times, p.ring.Lines(0))
	}
}

func TestOpenRejectsUnusableSettings(t *testing.T) {
	p := newProcess(t, newAuthority(t))
	if source, err := Open(Internal, nil, log.Log); source != nil || err != nil {
		t.Errorf("no settings gave %v, %v", source, err)
	}
	incomplete := p.settings()
	incomplete.CaFile = ""
	if _, err := Open(Internal, incomplete, log.Log); !fault.Is(err, fault.InvalidArgument) {
		t.Errorf("internal TLS without an authority gave %v", err)
	}
	if _, err := Open(Callers, incomplete, log.Log); err != nil {
		t.Errorf("TLS for callers needs no authority: %v", err)
	}
	must(t, os.WriteFile(p.settings().GetCaFile(), bytes.Repeat([]byte{'x'}, 100), 0o600))
	if _, err := Open(Internal, p.settings(), log.Log); !fault.Is(err, fault.InvalidArgument) {
		t.Errorf("an unreadable CA file gave %v", err)
	}
}
