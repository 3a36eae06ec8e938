package fault_test

import (
	"context"
	"testing"

	"github.com/twitchtv/twirp"

	"rockwind.example/rockwind/internal/fault"
)

func TestToldIsWhatSomebodyStated(t *testing.T) {
	stated := fault.New(fault.Unavailable, "no leader", "ask again")
	for name, test := range map[string]struct {
		err  error
		want bool
	}{
		"stated here":      {stated, true},
		"stated elsewhere": {fault.ToTwirp(stated), true},
		"broke off":        {twirp.InternalErrorWith(context.DeadlineExceeded), false},
		"its context":      {context.Canceled, false},
		"none":             {nil, false},
	} {
		if got := fault.IsFault(test.err); got != test.want {
			t.Errorf("%s: told %v, want %v", name, got, test.want)
		}
	}
}
