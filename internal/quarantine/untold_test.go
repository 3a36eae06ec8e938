package quarantine_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/quarantine"
)

// TestUntoldEndsHoldAContentUntilTheyAreTold: a process that reaches no coordinator judges by what
// it saw itself, as the coordinators do by what all saw.
func TestUntoldEndsHoldAContentUntilTheyAreTold(t *testing.T) {
	const between, run = 100 * time.Millisecond, 5 * time.Millisecond
	content := contentOf("ends servers")
	now := time.UnixMilli(1_000_000)
	untold := quarantine.NewUnreported()
	for _, server := range []string{"a", "b", "c"} {
		if held := untold.HeldFor(content, now); held > 0 {
			t.Fatalf("held for %v before server %s ended", held, server)
		}
		now = now.Add(between)
		untold.RecordCrash(endOf("ends servers", server, 0), run, now)
	}
	if untold.Empty() || !untold.Suspected(content) || untold.HeldFor(content, now) == 0 {
		t.Fatal("three servers ended, and the content is not held")
	}
	if untold.HeldFor(contentOf("another"), now) > 0 {
		t.Error("another content is held")
	}
	untold.MarkReported(2)
	if untold.HeldFor(content, now) == 0 {
		t.Error("one end is not told, and the content is not held any more")
	}
	untold.MarkReported(1)
	if !untold.Empty() || untold.HeldFor(content, now) > 0 {
		t.Error("all is told, and the content is still held by what this process saw")
	}
}

// TestUntoldAnswerSpeaksForAContent, and servers that end together do not hold what all had.
func TestUntoldAnswerSpeaksForAContent(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	untold := quarantine.NewUnreported()
	for _, server := range []string{"a", "b", "c"} {
		untold.RecordCrash(endOf("asked all the time", server, 0), time.Second, now)
		untold.RecordCrash(endOf("answered", server, 0), 0, now)
		now = now.Add(time.Millisecond)
	}
	untold.RecordAnswer(contentOf("answered"), now)
	for _, content := range []string{"asked all the time", "answered"} {
		if held := untold.HeldFor(contentOf(content), now); held > 0 {
			t.Errorf("what was %s is held for %v", content, held)
		}
	}
}
