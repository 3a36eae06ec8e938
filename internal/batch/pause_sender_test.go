package batch

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestResumeCommandIsResent checks that resendResume repeats the resume command, and
// sends nothing while the item should be paused.
func TestResumeCommandIsResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var item pauseSender
		var sent []bool
		send := func(paused bool) { sent = append(sent, paused) }
		item.setPaused(true, send)
		synctest.Wait()
		item.resendResume(send)
		synctest.Wait()
		item.setPaused(false, send)
		synctest.Wait()
		item.resendResume(send)
		synctest.Wait()
		item.setPaused(true, send)
		synctest.Wait()
		if wanted := []bool{true, false, false, true}; !slices.Equal(sent, wanted) {
			t.Fatalf("the commands are %v, want %v", sent, wanted)
		}
	})
}

// TestPauseCommandsAreSentInOrder pauses and resumes an item at random times, with
// commands of random duration. Commands must alternate and never overlap, and the
// last one must match the last requested state.
func TestPauseCommandsAreSentInOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		states := rapid.SliceOf(rapid.Bool()).Draw(r, "wishes")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 3), len(states), len(states)).Draw(r, "gaps")
		lengths := rapid.SliceOfN(rapid.IntRange(0, 5), len(states)+1, len(states)+1).Draw(r, "lengths")
		var sent []bool
		last := false
		overlapped := false
		synctest.Test(t, func(*testing.T) {
			var item pauseSender
			busy := false
			send := func(paused bool) {
				overlapped = overlapped || busy
				busy = true
				sent = append(sent, paused)
				time.Sleep(time.Duration(lengths[len(sent)%len(lengths)]) * time.Millisecond)
				busy = false
			}
			for index, paused := range states {
				time.Sleep(time.Duration(gaps[index]) * time.Millisecond)
				item.setPaused(paused, send)
				last = paused
			}
			// All commands end within this time on the fake clock.
			time.Sleep(time.Minute)
		})
		state := false
		for _, paused := range sent {
			if paused == state {
				r.Fatalf("commands %v do not alternate", sent)
			}
			state = paused
		}
		if overlapped || state != last {
			r.Fatalf("requested states %v led to commands %v, overlapping %t", states, sent, overlapped)
		}
	})
}
