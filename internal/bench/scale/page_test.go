package scale

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// sweepOf makes a sweep whose costs grow with every dimension by known amounts.
func sweepOf() (*Sweep, map[Size]*Result) {
	runs := make(map[Size]*Result)
	swept := &Sweep{}
	for _, along := range dimensions() {
		for _, value := range along.values {
			size := along.set(value)
			if runs[size] != nil {
				continue
			}
			// A daemon's control traffic is 5 B/s, and 2 for each daemon, 30 for each
			// shard and 1 for each hundred tenants.
			cost := 5 + 2*float64(size.Daemons) + 30*float64(size.Shards) + float64(size.Tenants)/100
			figures := DaemonFigures{Control: Spread{Mean: cost, Median: cost, Worst: cost}}
			runs[size] = &Result{Size: size, Windows: []Window{{Name: windowIdle, Daemons: figures, Controls: []ControlFigures{{Machine: "one"}}}}}
			swept.Runs = append(swept.Runs, runs[size])
		}
	}
	swept.Full = runs[sweepBase]
	swept.fit(runs)
	return swept, runs
}

// The slopes of costs that grow in straight lines give the cost at the target.
func TestOutlookAddsUpSlopes(t *testing.T) {
	swept, _ := sweepOf()
	want := 5 + 2*float64(target.Daemons) + 30*float64(target.Shards) + float64(target.Tenants)/100
	if found := swept.at(figureControlCalls); math.Abs(found-want) > 1e-6*want {
		t.Fatalf("the slopes give %v at the target, want %v", found, want)
	}
	before := swept.at(figureControlCalls)
	swept.refit()
	if again := swept.at(figureControlCalls); again != before {
		t.Fatalf("fitted anew the slopes give %v, before %v", again, before)
	}
}

// The generated parts of the page in the repository can be replaced, and what
// stands around them stays.
func TestPageHasItsMarks(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "CAPACITY.md"))
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "page.md")
	if err := os.WriteFile(file, page, 0o600); err != nil {
		t.Fatal(err)
	}
	swept, _ := sweepOf()
	for range 2 {
		if err := swept.fillPage(file); err != nil {
			t.Fatal(err)
		}
	}
	filled, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if outside(string(filled)) != outside(string(page)) {
		t.Fatal("text outside of the marks changed")
	}
	if err := os.WriteFile(file, []byte("no marks"), 0o600); err != nil {
		t.Fatal(err)
	}
	if swept.fillPage(file) == nil {
		t.Fatal("a page without marks was filled")
	}
}

// outside returns the text outside of all marks.
func outside(page string) string {
	var kept strings.Builder
	inside := false
	for _, line := range strings.Split(page, "\n") {
		if strings.HasPrefix(line, "<!-- end ") {
			inside = false
		}
		if !inside {
			kept.WriteString(line + "\n")
		}
		if strings.HasPrefix(line, "<!-- begin ") {
			inside = true
		}
	}
	return kept.String()
}
