package fleet_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/fault"
)

// TestFolderOfAnEarlierFleetIsRefused guards against a start over the data of an earlier
// fleet, whose cluster would refuse the first configuration.
func TestFolderOfAnEarlierFleetIsRefused(t *testing.T) {
	folder := t.TempDir()
	if err := os.MkdirAll(filepath.Join(folder, "control-2"), 0o755); err != nil {
		t.Fatal(err)
	}
	_, err := fleet.Start(context.Background(), fleet.Plan{Controls: 2, Zones: []string{"zone-a"}}, folder, t.TempDir())
	if !fault.Is(err, fault.Conflict) || !strings.Contains(err.Error(), folder) {
		t.Fatalf("Start returned %v", err)
	}
}
