package configuration_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"buf.build/go/protoyaml"

	"rockwind.example/rockwind/internal/configuration"
)

const examplePath = "../../examples/two-groups.yaml"

func TestExampleIsAccepted(t *testing.T) {
	data, err := os.ReadFile(examplePath)
	if err != nil {
		t.Fatal(err)
	}
	parsed, problems := configuration.Parse(examplePath, data)
	for _, problem := range problems {
		t.Error(problem)
	}
	index, err := configuration.NewIndex(parsed)
	if err != nil {
		t.Fatal(err)
	}
	tenant, found := index.TenantByAPIKey("example-key-salons")
	if !found || tenant.GetGroup() != "scheduling" {
		t.Errorf("found tenant %v", tenant)
	}
	if engines := index.Engines("assistant-small"); len(engines) != 8 {
		t.Errorf("found %d engines", len(engines))
	}
	if instances := index.Instances("accounts"); len(instances) != 3 {
		t.Errorf("found %d instances", len(instances))
	}
	if _, adapter, found := index.ResolveModel("assistant-small:drafts"); !found || adapter != "drafts" {
		t.Errorf("resolved adapter %q", adapter)
	}
	if _, _, found := index.ResolveModel("assistant-small:absent"); found {
		t.Error("resolved an adapter that the model lacks")
	}
}

// base is a small valid configuration. Each test case replaces one of its lines and
// expects a problem there.
const base = `number: 3
groups:
  - name: alpha
    share: 1
    objective: latency
tenants:
  - name: one
    group: alpha
    api_key_sha256:
      - aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
    limits:
      tokens_per_second: 5
  - name: two
    group: alpha
    api_key_sha256:
      - bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb
models:
  - name: small
    versions:
      - name: v1
        weight: 1
services:
  - name: lookup
    group: alpha
    timeout: 2s
    versions:
      - name: current
        weight: 1
batch_classes:
  - name: nightly
    tries: 3
    deadline: 10h
    weight: 2
policy:
  retry_ratio: 0.1
  result_retention: 24h
back_ends:
  - name: engine-1
    kind: engine
    address: 127.0.0.1:8000
    zone: north
    serves:
      - small
  - name: instance-1
    kind: service
    address: 127.0.0.1:8001
    zone: north
    serves:
      - lookup
    version: current
`

// badFile replaces one line of base, and gives the position and a part of the message
// of the only problem expected.
type badFile struct {
	line    string
	with    string
	at      configuration.Position
	message string
}

var badFiles = []badFile{
	{"number: 3", "number: 0", configuration.Position{Line: 1, Column: 9}, "no number"},
	{"number: 3", "number: -1", configuration.Position{Line: 1, Column: 9}, "invalid integer"},
	{"number: 3", "number: many", configuration.Position{Line: 1, Column: 9}, "invalid integer"},
	{"number: 3", "nmuber: 3\nnumber: 3", configuration.Position{Line: 1, Column: 1}, `unknown field "nmuber" of configuration`},
	{"number: 3", "number: 3\nnumber: 4", configuration.Position{Line: 2, Column: 1}, "given twice"},
	{"number: 3", "number: &n 3", configuration.Position{Line: 1, Column: 9}, "anchors and aliases"},
	{"number: 3", "number: 3\n---", configuration.Position{Line: 2, Column: 1}, "more than one YAML document"},
	{"number: 3", "number: 3\x00", configuration.Position{Line: 1, Column: 10}, "control character"},
	{"number: 3", "number: 3 # \x9b\xff", configuration.Position{Line: 1, Column: 13}, "not UTF-8"},
	{"number: 3", "number: 3 # \u2028", configuration.Position{Line: 1, Column: 13}, "line separator"},
	{"number: 3", ": : 3", configuration.Position{Line: 1, Column: 1}, "not YAML"},
	{"number: 3", "number: [3", configuration.Position{Line: 1, Column: 1}, "not YAML"},
	{"    share: 1", "    share: 0", configuration.Position{Line: 4, Column: 12}, "the share"},
	{"    share: 1", "    share: -2", configuration.Position{Line: 4, Column: 12}, "the share"},
	{"    share: 1", "    share: .nan", configuration.Position{Line: 4, Column: 12}, "invalid float"},
	{"    share: 1", "    share: nan", configuration.Position{Line: 4, Column: 12}, "the share"},
	{"    share: 1", "    share: inf", configuration.Position{Line: 4, Column: 12}, "the share"},
	{"    share: 1", "    #", configuration.Position{Line: 3, Column: 5}, "the share"},
	{"    objective: latency", "    objective: speed", configuration.Position{Line: 5, Column: 16}, "unknown enum value"},
	{"    objective: latency", "    objective: 77", configuration.Position{Line: 5, Column: 16}, "objective 77"},
	{"  - name: two", "  - name: one", configuration.Position{Line: 13, Column: 11}, `two tenant entries named "one"`},
	{"  - name: two", "  - name: ''", configuration.Position{Line: 13, Column: 11}, "is missing"},
	{"  - name: two", "  - name: t:wo", configuration.Position{Line: 13, Column: 11}, "not allowed"},
	{"    group: alpha", "    group: beta", configuration.Position{Line: 8, Column: 12}, `group "beta", which does not exist`},
	{"      - bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb", "      - aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", configuration.Position{Line: 16, Column: 9}, `belongs to tenant "one"`},
	{"      - bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb", "      - bbbb", configuration.Position{Line: 16, Column: 9}, "not a SHA-256"},
	{"      - bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb", "      - BBBBbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb", configuration.Position{Line: 16, Column: 9}, "not a SHA-256"},
	{"      tokens_per_second: 5", "      tokens_per_second: -5", configuration.Position{Line: 12, Column: 26}, "the limit"},
	{"        weight: 1", "        weight: 0", configuration.Position{Line: 20, Column: 7}, "all versions have weight 0"},
	{"      - name: v1", "      - name: v1\n        weight: 1\n      - name: v1", configuration.Position{Line: 22, Column: 15}, "two version entries"},
	{"    timeout: 2s", "    timeout: 2 parsecs", configuration.Position{Line: 25, Column: 14}, "unit"},
	{"    timeout: 2s", "    timeout: 2", configuration.Position{Line: 25, Column: 14}, "duration"},
	{"    timeout: 2s", "    timeout: -2s", configuration.Position{Line: 25, Column: 14}, "the timeout"},
	{"    tries: 3", "    tries: 0", configuration.Position{Line: 31, Column: 12}, "0 tries"},
	{"    tries: 3", "    # no tries", configuration.Position{Line: 30, Column: 5}, "0 tries"},
	{"    deadline: 10h", "    deadline: 0s", configuration.Position{Line: 32, Column: 15}, "the deadline"},
	{"    deadline: 10h", "    deadline: 99999999h", configuration.Position{Line: 32, Column: 15}, "the deadline"},
	{"    weight: 2", "    weight: 0", configuration.Position{Line: 33, Column: 13}, "the weight"},
	{"  retry_ratio: 0.1", "  retry_ratio: 1.5", configuration.Position{Line: 35, Column: 16}, "retry ratio"},
	{"  retry_ratio: 0.1", "  retry_ratio: 0", configuration.Position{Line: 35, Column: 16}, "retry ratio"},
	{"    address: 127.0.0.1:8000", "    address: localhost:8000", configuration.Position{Line: 40, Column: 14}, "cannot be used"},
	{"    address: 127.0.0.1:8000", "    address: 127.0.0.1:0", configuration.Position{Line: 40, Column: 14}, "cannot be used"},
	{"    address: 127.0.0.1:8000", "    address: 0.0.0.0:80", configuration.Position{Line: 40, Column: 14}, "cannot be used"},
	{"    address: 127.0.0.1:8001", "    address: 127.0.0.1:8000", configuration.Position{Line: 46, Column: 14}, `back end "engine-1" has this address`},
	{"    address: 127.0.0.1:8001", "    address: '[::ffff:127.0.0.1]:8000'", configuration.Position{Line: 46, Column: 14}, "has this address"},
	{"    kind: engine", "    kind: toaster", configuration.Position{Line: 39, Column: 11}, "unknown enum value"},
	{"    kind: engine", "    #", configuration.Position{Line: 38, Column: 5}, "no known kind"},
	{"    zone: north", "    zone: ''", configuration.Position{Line: 41, Column: 11}, "the zone"},
	{"      - small", "      - large", configuration.Position{Line: 43, Column: 9}, `model "large", which does not exist`},
	{"      - small", "      - small\n      - small", configuration.Position{Line: 44, Column: 9}, "listed twice"},
	{"      - lookup", "      - lockup", configuration.Position{Line: 49, Column: 9}, `service "lockup", which does not exist`},
	{"    version: current", "    version: old", configuration.Position{Line: 50, Column: 14}, `no version "old"`},
	{"    version: current", "    #", configuration.Position{Line: 44, Column: 5}, `no version ""`},
}

func TestBadFilesAreRefusedWithPosition(t *testing.T) {
	if _, problems := configuration.Parse("base", []byte(base)); len(problems) > 0 {
		t.Fatalf("the valid file is rejected: %v", problems)
	}
	for _, bad := range badFiles {
		t.Run(bad.with, func(t *testing.T) {
			text := strings.Replace(base, bad.line+"\n", bad.with+"\n", 1)
			if text == base {
				t.Fatalf("the file has no line %q", bad.line)
			}
			parsed, problems := configuration.Parse("bad.yaml", []byte(text))
			if parsed != nil || len(problems) != 1 {
				t.Fatalf("got configuration %v and problems %v, want one problem", parsed, problems)
			}
			found := problems[0]
			if found.Line != bad.at.Line || found.Column != bad.at.Column || !strings.Contains(found.Message, bad.message) {
				t.Errorf("got %q, want %d:%d with %q", found, bad.at.Line, bad.at.Column, bad.message)
			}
			if found.File != "bad.yaml" || found.Remedy == "" {
				t.Errorf("problem %q lacks its file or remedy", found)
			}
		})
	}
}

func TestAllFaultsAreListedAtOnce(t *testing.T) {
	text := base
	broken := 0
	for _, edit := range [][2]string{
		{"share: 1", "share: 0"},
		{"tries: 3", "tries: 0"},
		{"timeout: 2s", "timeout: 2 parsecs"},
		{"      - small", "      - large"},
		{"objective: latency", "colour: red"},
	} {
		text = strings.Replace(text, edit[0], edit[1], 1)
		broken++
	}
	_, problems := configuration.Parse("bad.yaml", []byte(text))
	if len(problems) != broken {
		t.Errorf("got %d problems, want %d: %v", len(problems), broken, problems)
	}
}

// garbageFiles returns invalid files, most of them of about ten megabytes.
func garbageFiles() map[string][]byte {
	const size = 10 << 20
	random := rand.New(rand.NewPCG(1, 2))
	binary := make([]byte, size)
	printable := make([]byte, size)
	for i := range size {
		binary[i] = byte(random.Uint32())
		printable[i] = byte(' ' + random.IntN('~'-' '))
		if random.IntN(60) == 0 {
			printable[i] = '\n'
		}
	}
	repeated := func(line string) []byte { return bytes.Repeat([]byte(line), size/len(line)) }
	var fields bytes.Buffer
	for i := 0; fields.Len() < size; i++ {
		fmt.Fprintf(&fields, "field-%d: %s\n", i, strings.Repeat("v", 60))
	}
	return map[string][]byte{
		"binary":          binary,
		"printable":       printable,
		"unknown fields":  fields.Bytes(),
		"one long line":   repeated("x"),
		"brackets":        repeated("["),
		"bracket lines":   repeated("[\n"),
		"comments":        repeated("# a\n"),
		"bad groups":      append([]byte("groups:\n"), repeated("  - share: 0\n")...),
		"unreadable":      append([]byte("groups:\n"), repeated("  - share: x\n")...),
		"scalars":         append([]byte("groups:\n"), repeated("  - x\n")...),
		"repeated fields": repeated("number: 1\n"),
		"deep":            []byte(strings.Repeat("- ", 20_000) + "x\n"),
		"alias bomb":      []byte("groups: &a [x]\ntenants: [*a, *a, *a]\nmodels: &b [*a, *a]\n"),
		"wide":            append([]byte("groups:\n"), repeated("  - share: 0 # "+strings.Repeat("x", 60)+"\n")...),
	}
}

func TestGarbageIsRefusedWithFewProblems(t *testing.T) {
	for name, garbage := range garbageFiles() {
		t.Run(name, func(t *testing.T) {
			parsed, problems := configuration.Parse("noise", garbage)
			if parsed != nil || len(problems) == 0 || len(problems) > configuration.MaximumListedProblems+1 {
				t.Errorf("got configuration %v and %d problems", parsed, len(problems))
			}
			for _, problem := range problems {
				if len(problem.String()) > 2000 {
					t.Errorf("a problem has %d bytes", len(problem.String()))
				}
			}
		})
	}
	oversize := bytes.Repeat([]byte("# c\n"), configuration.MaximumFileBytes/4+1)
	if _, problems := configuration.Parse("large", oversize); len(problems) != 1 {
		t.Errorf("got problems %v", problems)
	}
}

// FuzzParse checks that the parser does not crash on any input, and that accepted
// configurations are equal after encoding and parsing.
func FuzzParse(f *testing.F) {
	f.Add([]byte(base))
	for _, bad := range badFiles {
		f.Add([]byte(strings.Replace(base, bad.line, bad.with, 1)))
	}
	if data, err := os.ReadFile(examplePath); err == nil {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, problems := configuration.Parse("fuzz", data)
		if (parsed == nil) == (len(problems) == 0) {
			t.Fatalf("configuration %v with problems %v", parsed, problems)
		}
		if parsed == nil {
			return
		}
		text, err := protoyaml.MarshalOptions{UseProtoNames: true}.Marshal(parsed)
		if err != nil {
			t.Fatal(err)
		}
		again, problems := configuration.Parse("again", text)
		if len(problems) > 0 {
			t.Fatalf("rejected after encoding: %v\n%s", problems, text)
		}
		first, _ := configuration.Checksum(parsed)
		second, _ := configuration.Checksum(again)
		if !bytes.Equal(first, second) {
			t.Fatalf("different after encoding:\n%s", text)
		}
	})
}
