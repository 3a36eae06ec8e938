package site

import (
	"testing"
	"time"
)

// TestPauseBetweenTriesGrowsWithTheSilence verifies that pauses are short during elections and
// restarts, and long during longer outages.
func TestPauseBetweenTriesGrowsWithTheSilence(t *testing.T) {
	for _, test := range []struct {
		sinceAnswer       time.Duration
		shortest, longest time.Duration
	}{
		{0, retryPause, retryPause},
		{time.Second, retryPause, retryPause},
		{4 * time.Second, 100 * time.Millisecond, 300 * time.Millisecond},
		{time.Minute, 250 * time.Millisecond, 750 * time.Millisecond},
		{24 * time.Hour, 250 * time.Millisecond, 750 * time.Millisecond},
	} {
		if shortest := watchRetryPause(test.sinceAnswer, 0); shortest != test.shortest {
			t.Errorf("after %v the shortest pause is %v, want %v", test.sinceAnswer, shortest, test.shortest)
		}
		if longest := watchRetryPause(test.sinceAnswer, 1); longest != test.longest {
			t.Errorf("after %v the longest pause is %v, want %v", test.sinceAnswer, longest, test.longest)
		}
	}
}
