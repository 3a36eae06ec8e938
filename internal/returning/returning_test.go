package returning_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/returning"
)

var now = time.Unix(1_000_000, 0)

// TestClientThatHasComeBackShowsItByTheTimeItHasLeft.
func TestClientThatHasComeBackShowsItByTheTimeItHasLeft(t *testing.T) {
	const whole = 5 * time.Second
	for left, since := range map[time.Duration]time.Duration{
		0: 0, whole: 0, 2 * whole: 0, 4990 * time.Millisecond: 0,
		4 * time.Second: time.Second, 500 * time.Millisecond: 4500 * time.Millisecond,
	} {
		if asked := returning.FirstAttempt(now, whole, left); now.Sub(asked) != since {
			t.Errorf("with %v of %v left it has been asking for %v, want %v", left, whole, now.Sub(asked), since)
		}
	}
}

func TestRoomComesWithWhatEnds(t *testing.T) {
	if after := returning.NewRate(20, 100*time.Millisecond).EstimateWait(39); after != 200*time.Millisecond {
		t.Fatalf("room behind 39 others comes after %v", after)
	}
	if after := returning.NewRate(0, time.Second).EstimateWait(1000); after != 0 {
		t.Fatalf("where slots are not known a wait of %v is expected", after)
	}
}

// TestPromisesEndWithTheirTime, and are bounded.
func TestPromisesEndWithTheirTime(t *testing.T) {
	var promises returning.PendingRetries
	for i := range 10 {
		promises.Add(now.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	if open := promises.Count(now.Add(450 * time.Millisecond)); open != 5 {
		t.Fatalf("%d are open", open)
	}
	for range 10_000 {
		promises.Add(now.Add(time.Hour))
	}
	if open := promises.Count(now); open != 256 {
		t.Fatalf("%d are held", open)
	}
}

// TestReturnersMeetRoomAndNotEachOther: of 300 requests a second for 200 places a second, those
// that are refused come back as told; at no time do more come than a tenth of a second has
// places for beyond the new ones.
func TestReturnersMeetRoomAndNotEachOther(t *testing.T) {
	room := returning.NewRate(20, 100*time.Millisecond)
	var promises returning.PendingRetries
	arrivals := make(map[int]int)
	for i := range 100 {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		wait := room.EstimateWait(60 + promises.Count(at))
		promises.Add(at.Add(wait))
		arrivals[int(at.Add(wait).Sub(now)/(100*time.Millisecond))]++
	}
	for slot, count := range arrivals {
		if count > 21 {
			t.Errorf("%d come back within the tenth of a second %d, which has 20 places", count, slot)
		}
	}
}
