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

// party is one process with its files.
type party struct {
	folder string
	source *CertificateSource
	ring   *logring.Ring
}

func (p *party) settings() *rockwindpb.TlsSettings {
	return &rockwindpb.TlsSettings{
		CertificateFile: filepath.Join(p.folder, "process.pem"),
		KeyFile:         filepath.Join(p.folder, "process.key"),
		CaFile:          filepath.Join(p.folder, authority.CertificateFile),
	}
}

func newParty(t *testing.T, signer *authority.Authority) *party {
	t.Helper()
	p := &party{folder: t.TempDir(), ring: logring.New(16, io.Discard)}
	must(t, signer.Write(p.folder, "process", loopback))
	var err error
	p.source, err = Open(Internal, p.settings(), &log.Logger{Handler: p.ring, Level: log.InfoLevel})
	must(t, err)
	return p
}

func (p *party) logged(text string) int {
	return strings.Count(strings.Join(p.ring.Lines(0), "\n"), text)
}

// serve answers "served" at the returned URL.
func (p *party) serve(t *testing.T) string {
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

func (p *party) client(t *testing.T) *http.Client {
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
	server := newParty(t, ours)
	url := server.serve(t)
	must(t, call(newParty(t, ours).client(t), url))

	stranger := newParty(t, other)
	if err := call(stranger.client(t), url); err == nil || !strings.Contains(err.Error(), "unknown authority") {
		t.Errorf("the stranger trusts the server: %v", err)
	}
	// A stranger that trusts our authority is refused by the server.
	must(t, os.WriteFile(stranger.settings().GetCaFile(), ours.Certificate(), 0o600))
	stranger.source.use = Callers
	must(t, stranger.source.Reload())
	if err := call(stranger.client(t), url); err == nil || !strings.Contains(err.Error(), "remote error") {
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

func TestReloadTakesForce(t *testing.T) {
	before, after := newAuthority(t), newAuthority(t)
	server, client := newParty(t, before), newParty(t, before)
	url, caller := server.serve(t), client.client(t)
	must(t, call(caller, url))

	must(t, after.Write(server.folder, "process", loopback))
	must(t, server.source.Reload())
	late := newParty(t, before)
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

func TestBadReloadKeepsTheOldAndSaysSo(t *testing.T) {
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
			server := newParty(t, signer)
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
			must(t, call(newParty(t, signer).client(t), url))
			must(t, signer.Write(server.folder, "process", loopback))
			must(t, server.source.Reload())
		})
	}
}

func TestEachFailureIsReportedOnce(t *testing.T) {
	p := newParty(t, newAuthority(t))
	must(t, os.Remove(p.settings().GetKeyFile()))
	ctx, cancel := context.WithCancel(context.Background())
	// Sends to the unbuffered channels order the rounds.
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

func TestOpenRefusesWhatCannotServe(t *testing.T) {
	p := newParty(t, newAuthority(t))
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
		t.Errorf("an authority of noise gave %v", err)
	}
}
