package command_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/command"
	"rockwind.example/rockwind/internal/control"
	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	testTick    = 20 * time.Millisecond
	testTimeout = time.Minute
	noiseBytes  = 10 << 20
)

// accepted is a valid configuration; the test cases change one line of it.
const accepted = `number: 2
groups:
  - name: alpha
    share: 1
tenants:
  - name: one
    group: alpha
    api_key_sha256:
      - aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
  - name: two
    group: alpha
    api_key_sha256:
      - bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb
batch_classes:
  - name: nightly
    tries: 3
    deadline: 10h
    weight: 2
`

// operator runs commands against a control daemon of its own.
type operator struct {
	t       *testing.T
	address string
	folder  string
}

// startOperator starts a control daemon, initializes its cluster and applies the first
// configuration.
func startOperator(t *testing.T) *operator {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o := &operator{t: t, address: listener.Addr().String(), folder: t.TempDir()}
	settings := &rockwindpb.ControlSettings{
		Machine: "machine", Zone: "zone", DataFolder: filepath.Join(o.folder, "data"),
		Control: []*rockwindpb.ControlMachine{{Machine: "machine", Zone: "zone", Address: o.address}},
		Tick:    durationpb.New(testTick),
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- control.Run(ctx, settings, control.WithListener(listener)) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	o.must("cluster", "init", "--shards", "1")
	o.must("apply", "-f", o.file("first.yaml", []byte(strings.Replace(accepted, "number: 2", "number: 1", 1))))
	return o
}

func (o *operator) run(arguments ...string) (code int, stdout, stderr string) {
	o.t.Helper()
	ctx, cancel := context.WithTimeout(o.t.Context(), testTimeout)
	defer cancel()
	var out, failures bytes.Buffer
	code = command.Run(ctx, append(arguments, "--control", o.address), strings.NewReader(""), &out, &failures)
	return code, out.String(), failures.String()
}

func (o *operator) must(arguments ...string) string {
	o.t.Helper()
	code, stdout, stderr := o.run(arguments...)
	if code != command.ExitOK {
		o.t.Fatalf("'rockwind %s' ends with %d: %s", strings.Join(arguments, " "), code, stderr)
	}
	return stdout
}

func (o *operator) file(name string, content []byte) string {
	o.t.Helper()
	path := filepath.Join(o.folder, name)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		o.t.Fatal(err)
	}
	return path
}

// broken returns the accepted file with one line replaced.
func broken(line, with string) []byte {
	return []byte(strings.Replace(accepted, line+"\n", with+"\n", 1))
}

// noise returns pseudorandom bytes from the count values that start at first.
func noise(first, count int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	content := make([]byte, noiseBytes)
	for place := range content {
		content[place] = byte(first + random.IntN(count))
	}
	return content
}

// TestBadFileChangesNothing applies invalid and conflicting files, and checks the error
// and that the configuration in force stays the same.
func TestBadFileChangesNothing(t *testing.T) {
	o := startOperator(t)
	inForce := o.must("get", "configuration")
	for name, refused := range map[string]struct {
		content []byte
		code    int
		// want lists parts of the output: position, message and remedy.
		want []string
	}{
		"unknown field": {broken("    share: 1", "    share: 1\n    shrae: 2"), command.ExitRefused,
			[]string{":5:5: ", `unknown field "shrae" of group`, "use one of: name, share"}},
		"missing group": {broken("    group: alpha", "    group: beta"), command.ExitRefused,
			[]string{":7:12: ", `group "beta", which does not exist`, "; "}},
		"share of a missing group": {broken("  - name: alpha", "  - name: beta"), command.ExitRefused,
			[]string{":7:12: ", ":11:12: ", `group "alpha", which does not exist`}},
		"duplicate name": {broken("  - name: two", "  - name: one"), command.ExitRefused,
			[]string{":10:11: ", `two tenant entries named "one"`, "; "}},
		"wrong unit": {broken("    deadline: 10h", "    deadline: 10 parsecs"), command.ExitRefused,
			[]string{":17:15: ", "duration", "write a duration with its unit, for example 30s"}},
		"no unit": {broken("    deadline: 10h", "    deadline: 10"), command.ExitRefused,
			[]string{":17:15: ", "write a duration with its unit, for example 30s"}},
		"binary noise":    {noise(0, 256), command.ExitRefused, []string{"save the file as plain UTF-8 text"}},
		"printable noise": {noise(' ', 95), command.ExitRefused, []string{"; "}},
		"lines of noise":  {bytes.Repeat([]byte("- [a, b]: {\n"), noiseBytes/12), command.ExitRefused, []string{"check that this is the right file"}},
		"number in force": {broken("number: 2", "number: 1"), command.ExitOK, []string{"had been accepted before"}},
		"number taken":    {broken("number: 2", "number: 1\npolicy:\n  retry_ratio: 0.2"), command.ExitConflict, []string{"apply it as number 2"}},
		"number skipped":  {broken("number: 2", "number: 3"), command.ExitConflict, []string{"apply it as number 2"}},
	} {
		t.Run(name, func(t *testing.T) {
			code, stdout, stderr := o.run("apply", "-f", o.file("bad.yaml", refused.content))
			if code != refused.code {
				t.Errorf("the command ends with %d: %s", code, stderr)
			}
			if refused.code == command.ExitRefused && !strings.Contains(stderr, filepath.Join(o.folder, "bad.yaml")) {
				t.Errorf("the file is not named: %s", stderr)
			}
			for _, part := range refused.want {
				if !strings.Contains(stdout+stderr, part) {
					t.Errorf("%q is missing in: %s%s", part, stdout, stderr)
				}
			}
			if now := o.must("get", "configuration"); now != inForce {
				t.Errorf("another configuration is in force:\n%s", now)
			}
		})
	}
	o.must("apply", "-f", o.file("good.yaml", []byte(accepted)))
	if now := o.must("get", "configuration"); !strings.Contains(now, `number: "2"`) {
		t.Errorf("the good file is not in force:\n%s", now)
	}
}

// TestControlValidatesConfigurations sends invalid configurations to the control daemon
// without the validation by the command.
func TestControlValidatesConfigurations(t *testing.T) {
	o := startOperator(t)
	inForce := o.must("get", "configuration")
	client := controlclient.New(controlclient.Options{Machines: []*rockwindpb.ControlMachine{{Machine: "machine", Address: o.address}}})
	group := &rockwindpb.Group{Name: "alpha", Share: 1}
	for name, bad := range map[string]*rockwindpb.Configuration{
		"nothing":        nil,
		"missing group":  {Number: 2, Tenants: []*rockwindpb.Tenant{{Name: "one", Group: "beta"}}},
		"duplicate name": {Number: 2, Groups: []*rockwindpb.Group{group, group}},
		"no share":       {Number: 2, Groups: []*rockwindpb.Group{{Name: "alpha"}}},
	} {
		_, err := client.Configuration().Apply(t.Context(), &rockwindpb.ApplyConfigurationRequest{Configuration: bad, Operator: "test"})
		if !fault.Is(err, fault.InvalidArgument) {
			t.Errorf("%s: %v", name, err)
		}
		if now := o.must("get", "configuration"); now != inForce {
			t.Fatalf("%s: another configuration is in force:\n%s", name, now)
		}
	}
}
