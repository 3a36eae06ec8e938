package batch

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestPutBackIsConfirmed sends the order that puts an item back again, and nothing
// where the item is to be paused or never was.
func TestPutBackIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var item place
		var sent []bool
		send := func(paused bool) { sent = append(sent, paused) }
		item.want(true, send)
		synctest.Wait()
		item.confirm(send)
		synctest.Wait()
		item.want(false, send)
		synctest.Wait()
		item.confirm(send)
		synctest.Wait()
		item.want(true, send)
		synctest.Wait()
		if wanted := []bool{true, false, false, true}; !slices.Equal(sent, wanted) {
			t.Fatalf("the orders are %v, want %v", sent, wanted)
		}
	})
}

// TestPlaceOrdersNeverOvertakeEachOther: however fast an item is paused and put
// back, and however long orders take, orders alternate, never run two at once, and
// the last one is the one that was wanted last.
func TestPlaceOrdersNeverOvertakeEachOther(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		wishes := rapid.SliceOf(rapid.Bool()).Draw(r, "wishes")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 3), len(wishes), len(wishes)).Draw(r, "gaps")
		lengths := rapid.SliceOfN(rapid.IntRange(0, 5), len(wishes)+1, len(wishes)+1).Draw(r, "lengths")
		var sent []bool
		last := false
		overlapped := false
		synctest.Test(t, func(*testing.T) {
			var item place
			busy := false
			send := func(paused bool) {
				overlapped = overlapped || busy
				busy = true
				sent = append(sent, paused)
				time.Sleep(time.Duration(lengths[len(sent)%len(lengths)]) * time.Millisecond)
				busy = false
			}
			for index, paused := range wishes {
				time.Sleep(time.Duration(gaps[index]) * time.Millisecond)
				item.want(paused, send)
				last = paused
			}
			// All orders end within this time, on the test's clock.
			time.Sleep(time.Minute)
		})
		state := false
		for _, paused := range sent {
			if paused == state {
				r.Fatalf("orders %v do not alternate", sent)
			}
			state = paused
		}
		if overlapped || state != last {
			r.Fatalf("wishes %v ended with orders %v, overlapping %t", wishes, sent, overlapped)
		}
	})
}
