package command

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"rockwind.example/rockwind/internal/fault"
)

// explainCommand is 'rockwind explain'.
type explainCommand struct {
	ID     string        `arg:"" help:"Identifier of a request, job, item or server."`
	Files  []string      `arg:"" optional:"" type:"existingfile" help:"Files with the logs of one or more processes; standard input where none is given."`
	Around time.Duration `default:"2s" help:"How long before and after the identifier's lines to show what the same processes lost or regained."`
}

// Help implements kong.HelpProvider.
func (*explainCommand) Help() string {
	return `Reads structured logs, one JSON object a line, from files or standard input, and shows in order
of time every line that names the identifier, the lines about the servers that those name, and
what the same processes lost, regained or put in force around them. Text before the object, such
as the name of the process, is kept. Lines that are no JSON are passed over.`
}

// maximumLine bounds the length of a log line in bytes.
const maximumLine = 1 << 20

// logLine is one structured log entry.
type logLine struct {
	// Origin is the text before the JSON object, for example the process name.
	Origin    string         `json:"origin,omitempty"`
	Timestamp time.Time      `json:"timestamp"`
	Message   string         `json:"message"`
	Fields    map[string]any `json:"fields"`
}

// contextMessages are the messages that are also shown if the same process logged them
// shortly before or after a line with the identifier.
var contextMessages = []string{"dependency lost", "dependency regained", "configuration in force", "leadership changed", "router serves", "router leaves", "store serves", "coordinator serves"}

// Run prints the log lines related to the identifier.
func (c *explainCommand) Run(s *session) error {
	var lines []logLine
	if len(c.Files) == 0 {
		lines = readLog(s.stdin)
	}
	for _, path := range c.Files {
		file, err := os.Open(path)
		if err != nil {
			return fault.Newf(fault.InvalidArgument, "name files that can be read", "%v", err)
		}
		lines = append(lines, readLog(file)...)
		file.Close()
	}
	found := explain(lines, c.ID, c.Around)
	if len(found) == 0 {
		return fault.Newf(fault.NotFound, "give the logs of all routers and stores; requests that went well are sampled",
			"no line names %q", c.ID)
	}
	for _, line := range found {
		if err := s.printer.line(line, "%s", line.text()); err != nil {
			return err
		}
	}
	return nil
}

func readLog(input io.Reader) []logLine {
	var lines []logLine
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maximumLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		line := logLine{}
		if json.Unmarshal([]byte(text[start:]), &line) == nil && line.Message != "" {
			line.Origin = strings.TrimSpace(text[:start])
			lines = append(lines, line)
		}
	}
	return lines
}

// process returns the last word of the origin, without a time that may precede it.
func (l logLine) process() string {
	words := strings.Fields(l.Origin)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

func (l logLine) mentions(identifier string) bool {
	for _, value := range l.Fields {
		if text, isText := value.(string); isText && text == identifier {
			return true
		}
	}
	return false
}

// text formats the line as text.
func (l logLine) text() string {
	var built strings.Builder
	fmt.Fprintf(&built, "%s %s %s", l.Timestamp.Format("15:04:05.000"), l.Origin, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&built, " %s=%v", name, l.Fields[name])
	}
	return built.String()
}

// explain returns the lines related to an identifier, sorted by time.
func explain(lines []logLine, identifier string, margin time.Duration) []logLine {
	chosen := make(map[int]bool)
	servers := make(map[string]bool)
	var matching []logLine
	for position, line := range lines {
		if !line.mentions(identifier) {
			continue
		}
		chosen[position] = true
		matching = append(matching, line)
		if server, isText := line.Fields["server"].(string); isText && server != "" {
			servers[server] = true
		}
	}
	for position, line := range lines {
		chosen[position] = chosen[position] || isServerEvent(line, servers) || isNearby(line, matching, margin)
	}
	var found []logLine
	for position, line := range lines {
		if chosen[position] {
			found = append(found, line)
		}
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return cmp.Compare(a.Timestamp.UnixNano(), b.Timestamp.UnixNano()) })
	return found
}

// isServerEvent reports whether a line logs that one of the servers reported, left or
// became silent.
func isServerEvent(line logLine, servers map[string]bool) bool {
	switch line.Message {
	case "server reported", "server left":
		server, _ := line.Fields["server"].(string)
		return servers[server]
	case "servers are silent":
		list, _ := line.Fields["servers"].([]any)
		return slices.ContainsFunc(list, func(each any) bool {
			name, _ := each.(string)
			return servers[name]
		})
	}
	return false
}

func isNearby(line logLine, matching []logLine, margin time.Duration) bool {
	if !slices.Contains(contextMessages, line.Message) {
		return false
	}
	return slices.ContainsFunc(matching, func(each logLine) bool {
		return each.process() == line.process() && line.Timestamp.Sub(each.Timestamp).Abs() <= margin
	})
}
