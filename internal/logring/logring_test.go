package logring

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"pgregory.net/rapid"
)

func entry(message string, level log.Level, at time.Time) *log.Entry {
	return &log.Entry{Message: message, Level: level, Timestamp: at}
}

// messages decodes entries, one JSON object per line, and returns their messages.
func messages(t interface{ Fatal(...any) }, lines string) []string {
	var found []string
	decoder := json.NewDecoder(strings.NewReader(lines))
	for decoder.More() {
		var decoded record
		if err := decoder.Decode(&decoded); err != nil {
			t.Fatal(err)
		}
		found = append(found, decoded.Message)
	}
	return found
}

// TestRingKeepsTheLastEntries compares the ring with the end of the complete log.
func TestRingKeepsTheLastEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		written := &bytes.Buffer{}
		ring := New(capacity, written)
		var all []string
		for number := range rapid.IntRange(0, 30).Draw(t, "entries") {
			all = append(all, strconv.Itoa(number))
			_ = ring.HandleLog(entry(all[number], log.WarnLevel, time.Unix(int64(number), 0)))
		}
		if written.Len() > 0 {
			t.Fatalf("written without an error: %s", written)
		}
		limit := rapid.IntRange(0, 10).Draw(t, "limit")
		expected := all[max(0, len(all)-capacity):]
		if limit > 0 {
			expected = expected[max(0, len(expected)-limit):]
		}
		if found := messages(t, strings.Join(ring.Lines(limit), "\n")); strings.Join(found, ",") != strings.Join(expected, ",") {
			t.Fatalf("kept %v, want %v", found, expected)
		}
	})
}

func TestErrorsDumpTheRingAtMostOncePerInterval(t *testing.T) {
	written := &bytes.Buffer{}
	ring := New(8, written)
	now := time.Unix(1000, 0)
	_ = ring.HandleLog(entry("before", log.InfoLevel, now))
	_ = ring.HandleLog(entry("fault", log.ErrorLevel, now))
	_ = ring.HandleLog(entry("between", log.InfoLevel, now))
	_ = ring.HandleLog(entry("again", log.ErrorLevel, now.Add(minDumpInterval/2)))
	if found := strings.Join(messages(t, written.String()), " "); found != "before fault again" {
		t.Errorf("written: %s", found)
	}
	written.Reset()
	_ = ring.HandleLog(entry("later", log.ErrorLevel, now.Add(minDumpInterval)))
	if found := strings.Join(messages(t, written.String()), " "); found != "before fault between again later" {
		t.Errorf("written: %s", found)
	}
}

func TestServerLogWritesPanicsAsErrors(t *testing.T) {
	ring := New(8, &bytes.Buffer{})
	server := ServerLog(&log.Logger{Handler: ring, Level: log.InfoLevel})
	server.Print("http: TLS handshake error from 10.0.0.1:1: EOF")
	server.Print("http: panic serving 10.0.0.1:1: index out of range\ngoroutine 7")
	lines := ring.Lines(0)
	if len(lines) != 2 || !strings.Contains(lines[0], `"warn"`) || !strings.Contains(lines[1], `"error"`) {
		t.Errorf("logged %v", lines)
	}
}
