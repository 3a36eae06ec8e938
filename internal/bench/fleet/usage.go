package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTicksPerSecond is the unit of CPU time in /proc, which is fixed on Linux.
const clockTicksPerSecond = 100

// Usage is the resource usage of a running process.
type Usage struct {
	// CPU is the user and system time.
	CPU time.Duration
	// ResidentBytes is the resident set size.
	ResidentBytes uint64
}

// ReadUsage reads the usage of a running process from /proc.
func ReadUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Wrap(err, "read processor time")
	}
	// The command name may contain spaces, so fields are counted from its closing bracket.
	text := string(stat)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	const userField, systemField, residentField = 11, 12, 21
	if len(fields) <= residentField {
		return Usage{}, errors.Newf("unexpected format of /proc/%d/stat", pid)
	}
	user, userErr := strconv.ParseInt(fields[userField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemField], 10, 64)
	pages, pagesErr := strconv.ParseUint(fields[residentField], 10, 64)
	if err := errors.CombineErrors(userErr, errors.CombineErrors(systemErr, pagesErr)); err != nil {
		return Usage{}, errors.Wrap(err, "parse usage")
	}
	ticks := time.Duration(user + system)
	return Usage{
		CPU:           ticks * time.Second / clockTicksPerSecond,
		ResidentBytes: pages * uint64(os.Getpagesize()),
	}, nil
}
