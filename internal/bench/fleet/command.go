package fleet

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"

	"rockwind.example/rockwind/internal/fault"
)

// RunCommand runs a rockwind command against the fleet. The error of a failed command
// includes its output.
func (f *Fleet) RunCommand(ctx context.Context, arguments ...string) error {
	_, err := f.RunCommandOutput(ctx, arguments...)
	return err
}

// RunCommandOutput runs a rockwind command against the fleet and returns its output.
func (f *Fleet) RunCommandOutput(ctx context.Context, arguments ...string) (string, error) {
	arguments = append(arguments, "--control", joinAddresses(f.ControlAddresses()))
	command := exec.CommandContext(ctx, filepath.Join(f.programs, serverProgram), arguments...)
	output, err := command.CombinedOutput()
	if err != nil {
		return string(output), fault.Newf(fault.Internal, "run the command by hand",
			"'rockwind %s' failed: %v: %s", strings.Join(arguments, " "), err, output)
	}
	return string(output), nil
}
