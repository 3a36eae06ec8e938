package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/bench/authority"
	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/bench/loopback"
	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/secure"
	"rockwind.example/rockwind/internal/standin"
)

const testWait = 30 * time.Second

// output is a buffer that is safe for concurrent use.
type output struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.String()
}

// daemon is a daemon command that runs in the test process.
type daemon struct {
	address string
	stderr  *output
	stop    context.CancelFunc
	ended   chan int
}

// system is one control machine, one gateway and one engine.
type system struct {
	t       *testing.T
	folder  string
	control *daemon
	gateway *daemon
	callers string
	engine  string
	// scheme is the URL scheme of all addresses, and client supports it.
	scheme string
	client *http.Client
}

func startSystem(t *testing.T, secured bool) *system {
	t.Helper()
	s := &system{t: t, folder: t.TempDir(), scheme: "http://", client: http.DefaultClient}
	s.startEngine()
	address := loopback.Address(t)
	callers, internal := loopback.Address(t), loopback.Address(t)
	machines := fmt.Sprintf("control: [{machine: control-1, address: %q, zone: a}]\n", address)
	callerTLS := ""
	if secured {
		files := s.writeCertificates(address, callers, internal)
		machines += "internal_tls: " + files
		callerTLS = "caller_tls: " + files
	}
	s.control = s.start("control", address, machines+
		fmt.Sprintf("machine: control-1\nzone: a\nlisten: %q\ndata_folder: %q\n", address, filepath.Join(s.folder, "control")))
	s.await("/healthz", s.control.address)
	s.expect(ExitOK, "founded", "cluster", "init", "--shards", "1")
	s.callers = callers
	s.gateway = s.start("gateway", internal, machines+callerTLS+
		fmt.Sprintf("name: gateway-1\nzone: a\nlisten: %q\ninternal_listen: %q\ndata_folder: %q\n", s.callers, internal, filepath.Join(s.folder, "gateway")))
	s.await("/healthz", s.gateway.address)
	return s
}

// writeCertificates creates certificates for the hosts of the addresses, passes them to
// the commands by environment variables, and returns the TLS settings for daemons.
func (s *system) writeCertificates(addresses ...string) string {
	s.t.Helper()
	var hosts []netip.Addr
	for _, address := range addresses {
		hosts = append(hosts, netip.MustParseAddrPort(address).Addr())
	}
	signer, err := authority.New("test", time.Hour)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := signer.Write(s.folder, "process", hosts...); err != nil {
		s.t.Fatal(err)
	}
	files := &rockwindpb.TlsSettings{
		CertificateFile: filepath.Join(s.folder, "process.pem"),
		KeyFile:         filepath.Join(s.folder, "process.key"),
		CaFile:          filepath.Join(s.folder, authority.CertificateFile),
	}
	s.t.Setenv("ROCKWIND_TLS_CERTIFICATE", files.GetCertificateFile())
	s.t.Setenv("ROCKWIND_TLS_KEY", files.GetKeyFile())
	s.t.Setenv("ROCKWIND_TLS_CA", files.GetCaFile())
	source, err := secure.Open(secure.Internal, files, log.Log)
	if err != nil {
		s.t.Fatal(err)
	}
	transport := source.Transport(controlclient.NewTransport())
	s.t.Cleanup(transport.CloseIdleConnections)
	s.scheme, s.client = "https://", &http.Client{Transport: transport}
	return fmt.Sprintf("{certificate_file: %q, key_file: %q, ca_file: %q}\n",
		files.GetCertificateFile(), files.GetKeyFile(), files.GetCaFile())
}

func (s *system) startEngine() {
	config := engine.FastConfig()
	config.TokensPerStep = 1
	config.Loaded = []string{"writer@v1"}
	stand, err := standin.NewEngine(standin.EngineOptions{Name: "engine", Config: config})
	if err != nil {
		s.t.Fatal(err)
	}
	server := httptest.NewServer(stand.Handler())
	s.engine = server.Listener.Addr().String()
	s.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		_ = stand.Close()
	})
}

// start runs a daemon with the given settings.
func (s *system) start(kind, address, settings string) *daemon {
	ctx, stop := context.WithCancel(context.Background())
	started := &daemon{address: address, stderr: &output{}, stop: stop, ended: make(chan int, 1)}
	file := s.write(kind+".yaml", settings)
	go func() {
		started.ended <- Run(ctx, []string{kind, "--settings", file}, nil, started.stderr, started.stderr)
	}()
	s.t.Cleanup(func() {
		stop()
		if code := <-started.ended; code != ExitOK {
			s.t.Errorf("the %s daemon ended with %d: %s", kind, code, started.stderr)
		}
		started.ended <- ExitOK
	})
	return started
}

func (s *system) write(name, content string) string {
	s.t.Helper()
	path := filepath.Join(s.folder, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// await waits until a page responds with status 200.
func (s *system) await(page, address string) {
	s.t.Helper()
	s.eventually(page+" of "+address, func() bool {
		response, err := s.client.Get(s.scheme + address + page)
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

func (s *system) eventually(what string, met func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(testWait); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// run runs a command and returns its exit code and output.
func (s *system) run(arguments ...string) (code int, stdout, stderr string) {
	out, failure := &output{}, &output{}
	arguments = append(arguments, "--control", s.control.address)
	code = Run(s.t.Context(), arguments, strings.NewReader(""), out, failure)
	return code, out.String(), failure.String()
}

// expect runs a command, checks its exit code and that its output contains a text, and
// returns its standard output.
func (s *system) expect(code int, text string, arguments ...string) string {
	s.t.Helper()
	got, stdout, stderr := s.run(arguments...)
	if got != code || !strings.Contains(stdout+stderr, text) {
		s.t.Errorf("%v ended with %d, want %d with %q:\n%s%s", arguments, got, code, text, stdout, stderr)
	}
	return stdout
}

// expectJSON runs a command with --output json and decodes its output.
func expectJSON[T any](s *system, arguments ...string) T {
	s.t.Helper()
	var decoded T
	text := s.expect(ExitOK, "", append(arguments, "--output", "json")...)
	if err := json.Unmarshal([]byte(text), &decoded); err != nil {
		s.t.Errorf("%v printed no JSON: %v\n%s", arguments, err, text)
	}
	return decoded
}

// configuration writes a configuration file with the given number and share.
func (s *system) configuration(number int, share string) string {
	return s.write(fmt.Sprintf("configuration-%d-%s.yaml", number, share), fmt.Sprintf(`number: %d
groups: [{name: south, share: %s, objective: throughput}]
tenants: [{name: clinic, group: south, api_key_sha256: [%s]}]
models: [{name: writer, context_tokens: 8192, versions: [{name: v1, weight: 1, weights_id: w}]}]
batch_classes: [{name: nightly, tries: 3, deadline: 1h, weight: 1}]
back_ends: [{name: engine-1, kind: engine, address: %q, zone: a, serves: [writer], accelerators: 1}]
policy: {retry_ratio: 0.1, online_step_target: 50ms, online_queue_timeout: 2s, result_retention: 24h, idempotency_retention: 24h}
`, number, share, fleet.KeyHash("secret"), s.engine))
}

// requests writes a request file for a batch job.
func (s *system) requests(name string, count, tokens int) string {
	var lines strings.Builder
	for number := range count {
		fmt.Fprintf(&lines, `{"custom_id":"%s-%d","method":"POST","url":"/v1/chat/completions","body":`+
			`{"model":"writer","max_tokens":%d,"messages":[{"role":"user","content":"%s"}]}}`+"\n", name, number, tokens, name)
	}
	return s.write(name+".jsonl", lines.String())
}

// TestCommandsOverARealSystem runs the operator's commands against a control daemon and a
// gateway, without and with TLS.
func TestCommandsOverARealSystem(t *testing.T) {
	t.Run("in the clear", func(t *testing.T) { checkSystem(t, false) })
	t.Run("by TLS", func(t *testing.T) { checkSystem(t, true) })
}

func checkSystem(t *testing.T, secured bool) {
	s := startSystem(t, secured)
	t.Setenv("ROCKWIND_GATEWAY", s.scheme+s.callers)
	t.Setenv("ROCKWIND_API_KEY", "secret")
	s.checkConfigurations()
	s.await("/readyz", s.gateway.address)
	s.checkStatus()
	s.checkJobs()
	s.checkRefusals()
	s.checkLogs()
	s.checkDrain()
}

func (s *system) checkConfigurations() {
	first := s.configuration(1, "1")
	s.expect(ExitOK, "configuration 1 accepted", "apply", "-f", first, "--operator", "ann", "--wait", "20s")
	s.expect(ExitOK, "configuration 1 had been accepted before (operator ann", "apply", "-f", first, "--operator", "ann")
	s.expect(ExitConflict, "ann", "apply", "-f", s.configuration(1, "2"), "--operator", "bob")
	s.expect(ExitRefused, "bad.yaml:2:", "apply", "-f", s.write("bad.yaml", "number: 2\nnoise: 1\n"))
	s.expect(ExitOK, "no difference", "diff", "-f", first)
	if differences := expectJSON[[]any](s, "diff", "-f", first); differences == nil || len(differences) != 0 {
		s.t.Errorf("no difference is printed as %v", differences)
	}
	s.expect(ExitOK, "share", "diff", "-f", s.configuration(2, "5"))
	s.expect(ExitOK, "south", "get", "groups")
}

func (s *system) checkStatus() {
	s.eventually("the gateway in the status", func() bool {
		state := expectJSON[statusJSON](s, "status")
		return state.LatestConfiguration == 1 && len(state.Gateways) == 1 && len(state.ControlMachines) == 1
	})
	s.expect(ExitOK, "gateway-1", "status")
	s.expect(ExitOK, "leader", "cluster", "status")
}

func (s *system) checkJobs() {
	input := s.requests("clue", 40, 3)
	submitted := expectJSON[job](s, "jobs", "submit", "-f", input, "--class", "nightly")
	if again := expectJSON[job](s, "jobs", "submit", "-f", input, "--class", "nightly"); again.ID != submitted.ID {
		s.t.Errorf("a resubmission created job %s, want the existing job %s", again.ID, submitted.ID)
	}
	s.eventually("the end of the job", func() bool { return expectJSON[job](s, "jobs", "show", submitted.ID).State == "completed" })
	results := s.expect(ExitOK, "clue-39", "jobs", "results", submitted.ID)
	if lines := strings.Count(results, "\n"); lines != 40 {
		s.t.Errorf("%d lines of results for 40 items", lines)
	}
	long := expectJSON[job](s, "jobs", "submit", "-f", s.requests("long", 10, 5000))
	s.expect(ExitOK, "is cancelled", "jobs", "cancel", long.ID)
	s.expect(ExitOK, "no result (the job is cancelled)", "jobs", "results", long.ID, "--gateway", "")
	for _, source := range []string{s.scheme + s.callers, ""} {
		if listed := expectJSON[[]job](s, "jobs", "list", "--gateway", source); len(listed) != 2 {
			s.t.Errorf("jobs at %q: %v", source, listed)
		}
	}
}

// checkRefusals runs commands with invalid input.
func (s *system) checkRefusals() {
	input := s.requests("again", 1, 1)
	for _, refused := range []struct {
		code      int
		text      string
		arguments []string
	}{
		{ExitRefused, "expected one of", []string{}},
		{ExitRefused, "no such file", []string{"jobs", "submit", "-f", filepath.Join(s.folder, "nothing")}},
		{ExitRefused, "item 1 of the file", []string{"jobs", "submit", "-f", s.write("noise", "noise\n")}},
		{ExitRefused, "no items", []string{"jobs", "submit", "-f", s.write("empty", "")}},
		{ExitRefused, `no batch class "daily"`, []string{"jobs", "submit", "-f", input, "--class", "daily"}},
		{ExitRefused, "API key is not known", []string{"jobs", "submit", "-f", input, "--api-key", "guess"}},
		{ExitRefused, "write a URL", []string{"jobs", "list", "--gateway", "127.0.0.1:1"}},
		{ExitRefused, "--limit is -5", []string{"jobs", "list", "--limit=-5"}},
		{ExitRefused, "no job", []string{"jobs", "cancel", "job-1-0000000000000000"}},
		{ExitRefused, "check the identifier", []string{"jobs", "show", "nothing", "--gateway", ""}},
		{ExitRefused, "not an address", []string{"drain", "gateway-1"}},
		{ExitRefused, "--deadline is -1s", []string{"drain", s.gateway.address, "--deadline=-1s"}},
		{ExitRefused, "--timeout is 0s", []string{"status", "--timeout", "0s"}},
		{ExitRefused, "give both or none", []string{"status", "--tls-key", input, "--tls-certificate", ""}},
		{ExitUnavailable, "check that the process", []string{"logs", loopback.Address(s.t)}},
	} {
		s.expect(refused.code, refused.text, refused.arguments...)
	}
	out := &output{}
	code := Run(s.t.Context(), []string{"status", "--control", loopback.Address(s.t), "--timeout", "1s"}, nil, out, out)
	if code != ExitUnavailable || !strings.Contains(out.String(), "no control machine answered") {
		s.t.Errorf("status without control ended with %d: %s", code, out)
	}
}

func (s *system) checkLogs() {
	s.expect(ExitOK, "configuration in force", "logs", s.gateway.address)
	s.expect(ExitOK, "control machine serves", "logs", s.control.address)
	if strings.Contains(s.gateway.stderr.String(), "configuration in force") {
		s.t.Error("the gateway wrote its log before SIGUSR1")
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGUSR1); err != nil {
		s.t.Fatal(err)
	}
	s.eventually("the log on SIGUSR1", func() bool {
		return strings.Contains(s.gateway.stderr.String(), "configuration in force") &&
			strings.Contains(s.control.stderr.String(), "control machine serves")
	})
}

// checkDrain drains the gateway and checks that it exits.
func (s *system) checkDrain() {
	s.expect(ExitOK, "is drained", "drain", s.gateway.address, "--deadline", "20s")
	code := <-s.gateway.ended
	if code != ExitOK {
		s.t.Errorf("the drained gateway ended with %d", code)
	}
	s.gateway.ended <- code
}
