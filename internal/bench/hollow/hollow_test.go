package hollow_test

import (
	"net"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/bench/hollow"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Guards against control machines that don't survive formatting and parsing, and against
// malformed ones that are accepted.
func TestControlFlagRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := &rockwindpb.ControlMachine{
			Machine: rapid.StringMatching(`[a-z0-9-]{1,12}`).Draw(t, "machine"),
			Address: net.JoinHostPort("127.0.0.1", rapid.StringMatching(`[1-9][0-9]{0,3}`).Draw(t, "port")),
			Zone:    rapid.StringMatching(`[a-z0-9-]{1,12}`).Draw(t, "zone"),
		}
		read, err := hollow.ParseControl([]string{hollow.ControlFlag(machine)})
		if err != nil || len(read) != 1 || !proto.Equal(read[0], machine) {
			t.Fatalf("%v was parsed as %v, %v", machine, read, err)
		}
	})
	for _, wrong := range []string{"", "machine", "machine=127.0.0.1:1", "127.0.0.1:1@zone", "machine=127.0.0.1@zone"} {
		if _, err := hollow.ParseControl([]string{wrong}); err == nil {
			t.Errorf("%q was accepted as a control machine", wrong)
		}
	}
}
