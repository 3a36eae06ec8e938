package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/bench/soak"
)

// TestShortSoakBreaksNothing runs the real program: every kind of fault may strike
// for a few seconds, and all that was promised holds.
func TestShortSoakBreaksNothing(t *testing.T) {
	if testing.Short() {
		t.Skip("runs real processes for a minute and a half")
	}
	program := filepath.Join(t.TempDir(), "rockwind")
	if output, err := exec.Command("go", "build", "-o", program, "rockwind.example/rockwind/cmd/rockwind").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	command := soak.Command{Seeds: []uint64{12, 102}, Duration: 18 * time.Second, Folder: t.TempDir(), Program: program}
	if err := command.Run(); err != nil {
		t.Fatal(err)
	}
}
