package fleet

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"

	"rockwind.example/rockwind/internal/fault"
)

// RunCommand runs an operator's command against the fleet and fails with its
// output where the command fails.
func (f *Fleet) RunCommand(ctx context.Context, arguments ...string) error {
	_, err := f.RunCommandOutput(ctx, arguments...)
	return err
}

// RunCommandOutput runs an operator's command and returns what it printed.
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
