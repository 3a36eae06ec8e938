package load_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/bench/load"
	"rockwind.example/rockwind/internal/engine"
)

// events returns a stream of events that carry the given pieces of text.
func events(pieces []string, done bool) string {
	var text strings.Builder
	for number, piece := range pieces {
		fmt.Fprintf(&text, "id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", number+1, piece)
	}
	if done {
		text.WriteString("data: [DONE]\n\n")
	}
	return text.String()
}

// TestReadStreamAcceptsTheWholeAnswerOnly guards against accepting streams with missing,
// repeated or foreign text, or without an end marker.
func TestReadStreamAcceptsTheWholeAnswerOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.String().Draw(t, "prompt")
		tokens := rapid.IntRange(2, 40).Draw(t, "tokens")
		hash := engine.PromptHash(prompt)
		var pieces []string
		for sequence := 1; sequence <= tokens; {
			last := min(sequence+rapid.IntRange(0, 4).Draw(t, "more"), tokens)
			pieces = append(pieces, engine.ExpectedRange(hash, sequence, last))
			sequence = last + 1
		}
		change := rapid.SampledFrom([]string{"none", "drop", "repeat", "no end", "other prompt"}).Draw(t, "change")
		at := rapid.IntRange(0, len(pieces)-1).Draw(t, "at")
		switch change {
		case "drop":
			pieces = append(pieces[:at:at], pieces[at+1:]...)
		case "repeat":
			pieces = append(pieces[:at+1:at+1], pieces[at:]...)
		case "other prompt":
			pieces = []string{engine.ExpectedText(prompt+"!", tokens)}
		}
		seen := 0
		count, err := load.ReadStream(strings.NewReader(events(pieces, change != "no end")), prompt, tokens, func(n int) { seen += n })
		accepted := err == nil && count == tokens && seen == tokens
		if accepted != (change == "none") {
			t.Fatalf("change %q at %d of %d: count %d, error %v", change, at, len(pieces), count, err)
		}
	})
}

func TestTraceSurvivesWriteAndRead(t *testing.T) {
	mixes := []load.Mix{load.SchedulingMix("m", "s"), load.PuzzlesMix("m", "s")}
	records := load.Generate(mixes, time.Minute, rand.New(rand.NewSource(3)))
	var file bytes.Buffer
	if err := load.WriteTrace(&file, records); err != nil {
		t.Fatal(err)
	}
	read, err := load.ReadTrace(&file)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(records, read) {
		t.Fatal("the trace that was read differs from the one written")
	}
	online, items := 0, 0
	for _, record := range records {
		items += record.Items
		if record.Kind != load.KindJob {
			online++
		}
	}
	// Expected: 50 requests per second for a minute; 12 jobs of about 200 items and 24 of 30.
	if online < 2400 || online > 3600 || items < 2500 || items > 3800 {
		t.Fatalf("%d online requests and %d items", online, items)
	}
}

func TestReadTraceRefusesUnsortedRecords(t *testing.T) {
	if _, err := load.ReadTrace(strings.NewReader("{\"at_ms\":5}\n{\"at_ms\":4}\n")); err == nil {
		t.Fatal("an unsorted trace was accepted")
	}
}

// TestRunCountsWhatItCouldNotSend guards against calls above the concurrency limit that are
// sent late instead of counted. The server answers only once the schedule has ended.
func TestRunCountsWhatItCouldNotSend(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		<-release
		writer.Header().Set("X-Not-Run", "true")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	const calls, slots = 10, 3
	number := 0
	schedule := func() (load.ScheduledCall, bool) {
		if number == calls {
			close(release)
			return load.ScheduledCall{}, false
		}
		number++
		return load.ScheduledCall{Call: load.Call{Target: server.Listener.Addr().String()}, Class: "c"}, true
	}
	result := load.Run(context.Background(), schedule, load.Options{MaxInFlight: slots})
	class := result.Class("c")
	report := result.Report().Classes[0]
	if report.Sent != slots || report.NotSent != calls-slots || class.Count(load.OutcomeNotRun) != slots {
		t.Fatalf("%+v", report)
	}
}

func TestLatencyCountsFromTheIntendedStart(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	client := load.NewClient(1, time.Minute)
	defer client.Close()
	late := time.Now().Add(-time.Hour)
	measured := client.Do(context.Background(), load.Call{Target: server.Listener.Addr().String()}, late)
	if measured.Latency < time.Hour || measured.Outcome != load.OutcomeTruncated {
		t.Fatalf("%+v", measured)
	}
}

func TestCheckAnswerReturnsKindOfFailure(t *testing.T) {
	text := engine.ExpectedText("p", 3)
	answer := func(text string) []byte {
		return fmt.Appendf(nil, `{"choices":[{"message":{"content":%q},"finish_reason":"length"}]}`, text)
	}
	if count, err := load.CheckAnswer(answer(text), "p", 3); err != nil || count != 3 {
		t.Fatal(count, err)
	}
	if _, err := load.CheckAnswer(answer(text), "p", 4); !errors.Is(err, load.ErrTruncated) {
		t.Fatal(err)
	}
	if _, err := load.CheckAnswer(answer(text), "q", 3); !errors.Is(err, load.ErrWrong) {
		t.Fatal(err)
	}
}
