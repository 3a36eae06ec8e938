package command

import (
	"errors"
	"strings"
	"testing"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/logring"
)

// TestFailedDaemonWritesItsLog checks that the log is written out after a failure, but
// not after success or invalid settings.
func TestFailedDaemonWritesItsLog(t *testing.T) {
	for _, ended := range []struct {
		err     error
		written bool
	}{
		{nil, false},
		{fault.New(fault.InvalidArgument, "the data folder is in use", "use another"), false},
		{errors.New("the disk does not sync"), true},
	} {
		stderr := &output{}
		ring := logring.New(8, stderr)
		(&log.Logger{Handler: ring, Level: log.InfoLevel}).Info("what came before")
		if got := dumpOnFailure(ended.err, ring, stderr); !errors.Is(got, ended.err) {
			t.Errorf("%v became %v", ended.err, got)
		}
		if written := strings.Contains(stderr.String(), "what came before"); written != ended.written {
			t.Errorf("after %v the log was written: %v", ended.err, written)
		}
	}
}
