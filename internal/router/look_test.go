package router_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/router"
)

// TestLookLeavesTimeForTheSecondServer: a request waits for a twentieth of what it has left at most.
func TestLookLeavesTimeForTheSecondServer(t *testing.T) {
	for _, each := range []struct{ left, ofGoal, want time.Duration }{
		{left: time.Minute, want: 50 * time.Millisecond},
		{left: time.Minute, ofGoal: 10 * time.Millisecond, want: 10 * time.Millisecond},
		{left: 100 * time.Millisecond, want: 5 * time.Millisecond},
		{left: 20 * time.Millisecond, ofGoal: 40 * time.Millisecond, want: time.Millisecond},
		{left: -time.Second, want: 0},
	} {
		if waits := router.LookPatienceOf(each.left, each.ofGoal); waits != each.want {
			t.Errorf("with %v left it waits %v", each.left, waits)
		}
	}
}
