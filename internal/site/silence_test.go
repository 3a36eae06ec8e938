package site

import (
	"testing"
	"time"
)

// TestPauseBetweenTriesGrowsWithTheSilence keeps tries close together for as long as elections
// and restarts take, and far apart for who knows only machines that are gone.
func TestPauseBetweenTriesGrowsWithTheSilence(t *testing.T) {
	for _, given := range []struct {
		silent      time.Duration
		least, most time.Duration
	}{
		{0, retryPause, retryPause},
		{time.Second, retryPause, retryPause},
		{4 * time.Second, 100 * time.Millisecond, 300 * time.Millisecond},
		{time.Minute, 250 * time.Millisecond, 750 * time.Millisecond},
		{24 * time.Hour, 250 * time.Millisecond, 750 * time.Millisecond},
	} {
		if least := pauseBetweenTries(given.silent, 0); least != given.least {
			t.Errorf("after %v the shortest pause is %v, want %v", given.silent, least, given.least)
		}
		if most := pauseBetweenTries(given.silent, 1); most != given.most {
			t.Errorf("after %v the longest pause is %v, want %v", given.silent, most, given.most)
		}
	}
}
