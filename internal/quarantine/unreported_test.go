package quarantine_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/quarantine"
)

// TestUnreportedCrashesHoldContentUntilReported: a process that reaches no coordinator must
// hold a content by its own observations.
func TestUnreportedCrashesHoldContentUntilReported(t *testing.T) {
	const between, run = 100 * time.Millisecond, 5 * time.Millisecond
	content := contentOf("crashing")
	now := time.UnixMilli(1_000_000)
	unreported := quarantine.NewUnreported()
	for _, server := range []string{"a", "b", "c"} {
		if held := unreported.QuarantinedFor(content, now); held > 0 {
			t.Fatalf("held for %v before server %s crashed", held, server)
		}
		now = now.Add(between)
		unreported.RecordCrash(crashOf("crashing", server, 0), run, now)
	}
	if unreported.Empty() || !unreported.Suspected(content) || unreported.QuarantinedFor(content, now) == 0 {
		t.Fatal("three servers crashed, and the content is not held")
	}
	if unreported.QuarantinedFor(contentOf("another"), now) > 0 {
		t.Error("another content is held")
	}
	unreported.MarkReported(2)
	if unreported.QuarantinedFor(content, now) == 0 {
		t.Error("one crash is unreported, but the content is no longer held")
	}
	unreported.MarkReported(1)
	if !unreported.Empty() || unreported.QuarantinedFor(content, now) > 0 {
		t.Error("all crashes are reported, but the content is still held")
	}
}

// TestUnreportedResponseClearsContent also checks that simultaneous crashes do not hold the
// contents that all of the servers ran.
func TestUnreportedResponseClearsContent(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	unreported := quarantine.NewUnreported()
	for _, server := range []string{"a", "b", "c"} {
		unreported.RecordCrash(crashOf("asked all the time", server, 0), time.Second, now)
		unreported.RecordCrash(crashOf("answered", server, 0), 0, now)
		now = now.Add(time.Millisecond)
	}
	unreported.RecordAnswer(contentOf("answered"), now)
	for _, content := range []string{"asked all the time", "answered"} {
		if held := unreported.QuarantinedFor(contentOf(content), now); held > 0 {
			t.Errorf("what was %s is held for %v", content, held)
		}
	}
}
