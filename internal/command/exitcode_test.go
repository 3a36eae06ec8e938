package command_test

import (
	"regexp"
	"strconv"
	"testing"

	"rockwind.example/rockwind/internal/command"
)

// numberRow matches table rows whose first cell is a number.
var numberRow = regexp.MustCompile(`(?m)^\| (\d+) \|`)

func TestOperationsPageListsTheExitCodes(t *testing.T) {
	codes := map[int]bool{command.ExitOK: true, command.ExitFailed: true, command.ExitRefused: true, command.ExitConflict: true, command.ExitUnavailable: true}
	for _, row := range numberRow.FindAllStringSubmatch(page(t, "OPERATIONS.md"), -1) {
		code, err := strconv.Atoi(row[1])
		if err != nil || !codes[code] {
			t.Errorf("docs/OPERATIONS.md has exit code %s, which no command gives", row[1])
		}
		delete(codes, code)
	}
	for code := range codes {
		t.Errorf("docs/OPERATIONS.md lacks exit code %d", code)
	}
}
