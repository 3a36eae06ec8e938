package command

import (
	"strings"
	"testing"
	"time"
)

const explained = `  1.0 front-1 {"fields":{"id":"r1","server":"s1","reason":"reset"},"level":"info","timestamp":"2026-01-01T10:00:01Z","message":"request tried again"}
not json
  0.5 core-1 {"fields":{"server":"s1","state":"ready"},"level":"info","timestamp":"2026-01-01T09:00:00Z","message":"server reported"}
  0.6 core-1 {"fields":{"server":"s2","state":"ready"},"level":"info","timestamp":"2026-01-01T09:00:00Z","message":"server reported"}
  0.7 core-1 {"fields":{"servers":["s1"]},"level":"info","timestamp":"2026-01-01T10:00:05Z","message":"servers are silent"}
  1.5 front-1 {"fields":{"id":"10.0.0.1:1"},"level":"info","timestamp":"2026-01-01T10:00:02Z","message":"dependency lost"}
  1.5 front-2 {"fields":{"id":"10.0.0.1:1"},"level":"info","timestamp":"2026-01-01T10:00:02Z","message":"dependency lost"}
  9.5 front-1 {"fields":{"id":"10.0.0.1:1"},"level":"info","timestamp":"2026-01-01T10:00:09Z","message":"dependency lost"}
  1.2 front-1 {"fields":{"id":"r1","reason":"no server answered"},"level":"info","timestamp":"2026-01-01T10:00:01.2Z","message":"request refused"}
  1.2 front-1 {"fields":{"id":"r2"},"level":"info","timestamp":"2026-01-01T10:00:01.2Z","message":"request refused"}
`

func TestExplainShowsRelatedLinesInOrder(t *testing.T) {
	found := explain(readLog(strings.NewReader(explained)), "r1", 2*time.Second)
	var shown []string
	for _, line := range found {
		shown = append(shown, line.process()+" "+line.Message)
	}
	want := "core-1 server reported, front-1 request tried again, front-1 request refused, front-1 dependency lost, core-1 servers are silent"
	if got := strings.Join(shown, ", "); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	if text := found[1].text(); !strings.Contains(text, "reason=reset") || !strings.Contains(text, "server=s1") {
		t.Error(text)
	}
	if found := explain(readLog(strings.NewReader(explained)), "nobody", time.Second); len(found) != 0 {
		t.Errorf("%v", found)
	}
}
