package fault_test

import (
	"context"
	"testing"
	"time"

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

// Guards against a field of a fault that is lost in a twirp call.
func TestFaultKeepsItsFieldsAcrossACall(t *testing.T) {
	sent := fault.New(fault.Unavailable, "not announced", "run this version").
		WithRan(fault.NotRun).WithRetryAfter(2 * time.Second).WithLeader("10.0.0.1:1").WithFeatureLevel(3)
	if received := fault.From(fault.ToTwirp(sent)); *received != *sent {
		t.Errorf("received %+v, sent %+v", *received, *sent)
	}
}
