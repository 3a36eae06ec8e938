package settings_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/settings"
)

const validGateway = `name: gateway-1
zone: zone-a
listen: 10.0.0.11:8080
internal_listen: 10.0.0.11:7000
data_folder: data
control:
  - {machine: control-1, address: "10.0.0.1:7000", zone: zone-a}
`

func write(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestFlagsGoBeforeTheEnvironmentAndTheFile(t *testing.T) {
	t.Setenv("ROCKWIND_ZONE", "zone-b")
	t.Setenv("ROCKWIND_NAME", "gateway-2")
	t.Setenv("ROCKWIND_EXCHANGE_INTERVAL", "2s")
	t.Setenv("ROCKWIND_CONTROL", "a=10.0.0.2:7000@zone-a, b=10.0.0.3:7000@zone-b")
	loaded, err := settings.LoadGateway(write(t, validGateway), []string{"name=gateway-3", "batch-concurrency=7"})
	if err != nil {
		t.Fatal(err)
	}
	if loaded.GetName() != "gateway-3" || loaded.GetZone() != "zone-b" || loaded.GetListen() != "10.0.0.11:8080" {
		t.Errorf("loaded %v", loaded)
	}
	if loaded.GetExchangeInterval().AsDuration() != 2*time.Second || loaded.GetBatchConcurrency() != 7 {
		t.Errorf("loaded %v", loaded)
	}
	if machines := loaded.GetControl(); len(machines) != 2 || machines[1].GetMachine() != "b" || machines[1].GetZone() != "zone-b" {
		t.Errorf("control machines %v", machines)
	}
}

func TestEveryFaultIsListedWithItsPlace(t *testing.T) {
	t.Setenv("ROCKWIND_BATCH_CONCURRENCY", "many")
	cases := []struct {
		name     string
		content  string
		flags    []string
		expected []string
	}{
		{"unknown field", validGateway + "nmae: x\n", nil, []string{"settings.yaml:8:"}},
		{"several faults", "name: g\nlisten: nowhere\ninternal_listen: 10.0.0.11:0\n", nil, []string{"ROCKWIND_BATCH_CONCURRENCY"}},
		{"bad override", validGateway, []string{"speed=1", "zone"}, []string{`no setting "speed"`, "the override has no value"}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			_, err := settings.LoadGateway(write(t, each.content), each.flags)
			expectRejected(t, err, each.expected...)
		})
	}
}

func expectRejected(t *testing.T, err error, expected ...string) {
	t.Helper()
	if !fault.Is(err, fault.InvalidArgument) {
		t.Fatalf("got %v", err)
	}
	for _, text := range expected {
		if !strings.Contains(err.Error(), text) {
			t.Errorf("%q is not in: %v", text, err)
		}
	}
}

func TestValuesAreChecked(t *testing.T) {
	_, err := settings.LoadGateway(write(t, `name: g
listen: nowhere
internal_listen: 10.0.0.11:0
data_folder: data
exchange_interval: 20s
platform_url: ftp://x
internal_tls: {certificate_file: missing.pem}
control:
  - {machine: a, address: "0.0.0.0:1"}
  - {machine: a, address: "10.0.0.1:7000"}
`), nil)
	expectRejected(t, err, "settings.yaml:2:", "settings.yaml:3:", "settings.yaml:5:", "settings.yaml:6:", "zone is missing",
		"missing.pem", "internal_tls has one of certificate_file and key_file", "internal_tls has no ca_file",
		"control machine 1 has the address", `control machine 2 has the name "a"`)
	_, err = settings.LoadControl(write(t, "machine: c\nzone: z\nlisten: 10.0.0.9:1\ndata_folder: d\ntick: 2s\ncontrol: [{machine: a, address: \"10.0.0.1:7000\"}]\n"), nil)
	expectRejected(t, err, "settings.yaml:5:", "lacks this one")
	_, err = settings.LoadControl(filepath.Join(t.TempDir(), "nothing.yaml"), nil)
	expectRejected(t, err, "cannot be read")
}

func TestDataFolderHasOneDaemon(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "new", "data")
	release, err := settings.OpenDataFolder(folder)
	if err != nil {
		t.Fatal(err)
	}
	_, err = settings.OpenDataFolder(folder)
	expectRejected(t, err, "is in use")
	release()
	again, err := settings.OpenDataFolder(folder)
	if err != nil {
		t.Fatal(err)
	}
	again()
	_, err = settings.OpenDataFolder(filepath.Join(write(t, "a file"), "data"))
	expectRejected(t, err, "can't be made")
}

func TestListenNamesTheSetting(t *testing.T) {
	first, err := settings.Listen("listen", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	_, err = settings.Listen("internal_listen", first.Addr().String())
	expectRejected(t, err, "address already in use", "set internal_listen")
}

// settingRow matches the first cell of a row in a table of settings.
var settingRow = regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\|")

func TestOperationsPageListsEverySetting(t *testing.T) {
	content, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for heading, message := range map[string]proto.Message{
		"### Settings of a gateway\n":         &rockwindpb.GatewaySettings{},
		"### Settings of a control machine\n": &rockwindpb.ControlSettings{},
	} {
		_, after, found := strings.Cut(string(content), heading)
		if !found {
			t.Fatalf("docs/OPERATIONS.md lacks %q", heading)
		}
		section, _, _ := strings.Cut(after, "\n#")
		documented := make(map[string]bool)
		for _, row := range settingRow.FindAllStringSubmatch(section, -1) {
			documented[row[1]] = true
		}
		for _, path := range settings.LeafPaths(message.ProtoReflect().Descriptor()) {
			if !documented[path.String()] {
				t.Errorf("docs/OPERATIONS.md lacks %s under %q", path, heading)
			}
			delete(documented, path.String())
		}
		for name := range documented {
			t.Errorf("docs/OPERATIONS.md has %s under %q, which is not a setting", name, heading)
		}
	}
}

func TestUnknownGatesOfASiteAreRefused(t *testing.T) {
	path := write(t, "name: a\nrole: SITE_ROLE_ROUTER\nzone: z\nseeds: [\"127.0.0.1:1\"]\nlisten: \"127.0.0.1:2\"\nready_listen: \"127.0.0.1:3\"\nswitched_off: [pace, peace]\n")
	_, err := settings.LoadSite(path, nil)
	if err == nil || !strings.Contains(err.Error(), `"peace"`) || strings.Contains(err.Error(), `"pace"`) {
		t.Fatalf("got %v", err)
	}
}

// Guards against a machine whose zone has no region, which would count as one of another region everywhere.
func TestZoneRegionsAreChecked(t *testing.T) {
	site := "name: a\nrole: SITE_ROLE_ROUTER\nzone: z\nseeds: [\"127.0.0.1:1\"]\nlisten: \"127.0.0.1:2\"\nready_listen: \"127.0.0.1:3\"\nzone_regions:\n"
	for _, each := range []struct{ name, entries, problem string }{
		{"own zone missing", "- {zone: y, region: r}\n", "the zone of this machine is not listed"},
		{"zone listed twice", "- {zone: z, region: r}\n- {zone: z, region: s}\n", "the zone z is listed twice"},
		{"no region", "- {zone: z}\n", "an entry has no zone or no region"},
		{"valid", "- {zone: z, region: r}\n- {zone: y, region: s}\n", ""},
	} {
		t.Run(each.name, func(t *testing.T) {
			_, err := settings.LoadSite(write(t, site+each.entries), nil)
			switch {
			case each.problem == "" && err != nil:
				t.Errorf("rejected: %v", err)
			case each.problem != "" && (err == nil || !strings.Contains(err.Error(), each.problem)):
				t.Errorf("got %v, want %q", err, each.problem)
			}
		})
	}
}

// TestGCPercentHasARange guards against a percentage at which collections take all processor time, or at which
// garbage grows to a multiple of the live heap.
func TestGCPercentHasARange(t *testing.T) {
	site := "name: a\nrole: SITE_ROLE_ROUTER\nzone: z\nseeds: [\"127.0.0.1:1\"]\nlisten: \"127.0.0.1:2\"\nready_listen: \"127.0.0.1:3\"\ngc_percent: "
	for given, valid := range map[string]bool{"0": true, "19": false, "20": true, "400": true, "401": false} {
		if _, err := settings.LoadSite(write(t, site+given+"\n"), nil); (err == nil) != valid {
			t.Errorf("%s: %v", given, err)
		}
	}
}
