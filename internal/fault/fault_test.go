package fault_test

import (
	"context"
	"testing"

	"github.com/twitchtv/twirp"

	"rockwind.example/rockwind/internal/fault"
)

func TestIsFaultFindsLocalAndRemoteFaults(t *testing.T) {
	created := fault.New(fault.Unavailable, "no leader", "ask again")
	for name, test := range map[string]struct {
		err  error
		want bool
	}{
		"local fault":       {created, true},
		"remote fault":      {fault.ToTwirp(created), true},
		"broken connection": {twirp.InternalErrorWith(context.DeadlineExceeded), false},
		"canceled context":  {context.Canceled, false},
		"no error":          {nil, false},
	} {
		if got := fault.IsFault(test.err); got != test.want {
			t.Errorf("%s: IsFault returns %v, want %v", name, got, test.want)
		}
	}
}
