package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/settings"
)

const controlFile = `machine: one
zone: zone-a
listen: 127.0.0.1:7000
data_folder: data
control: [{machine: one, address: "127.0.0.1:7000", zone: zone-a}]
`

func TestPlacementIsSetFromFlags(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(file, []byte(controlFile), 0o600); err != nil {
		t.Fatal(err)
	}
	loaded, err := settings.LoadControl(file, []string{"placement.enabled=true", "placement.margin=0.75", "placement.dwell=4m"})
	if err != nil {
		t.Fatal(err)
	}
	placement := loaded.GetPlacement()
	if !placement.GetEnabled() || placement.GetMargin() != 0.75 || placement.GetDwell().AsDuration() != 4*time.Minute {
		t.Fatalf("%v", placement)
	}
	for setting, named := range map[string]string{
		"placement.enabled=perhaps":     "true or false",
		"placement.margin=-1":           "at least 0",
		"placement.margin=NaN":          "at least 0",
		"placement.interval=1ms":        "100ms",
		"placement.weights_bytes=16e9":  "both or none",
		"placement.minimum_pressure=so": "a number",
	} {
		if _, err := settings.LoadControl(file, []string{setting}); err == nil || !strings.Contains(err.Error(), named) {
			t.Fatalf("%s gave %v", setting, err)
		}
	}
}
