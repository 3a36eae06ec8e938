package scale

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/bench/report"
	"rockwind.example/rockwind/internal/fault"
)

// Provenance tells where figures come from.
type Provenance struct {
	Date   string `json:"date"`
	Commit string `json:"commit"`
	// Cores and MemoryBytes are the size of the machine.
	Cores       int   `json:"cores"`
	MemoryBytes int64 `json:"memory_bytes"`
	// Load is the machine's load average at the start.
	Load string `json:"load_average"`
}

func provenance(now time.Time) Provenance {
	found := Provenance{Date: now.UTC().Format("2006-01-02 15:04 MST"), Cores: runtime.NumCPU(), Commit: "unknown"}
	// Figures are worth something outside of a repository too.
	if output, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output(); err == nil {
		found.Commit = strings.TrimSpace(string(output))
	}
	if text, err := os.ReadFile("/proc/meminfo"); err == nil {
		var kibibytes int64
		if _, err := fmt.Sscanf(string(text), "MemTotal: %d kB", &kibibytes); err == nil {
			found.MemoryBytes = kibibytes << 10
		}
	}
	if text, err := os.ReadFile("/proc/loadavg"); err == nil {
		found.Load = strings.Join(strings.Fields(string(text))[:3], " ")
	}
	return found
}

// write makes the figures, tables and plots of a sweep in a folder.
func (s *Sweep) write(folder string) error {
	if err := report.WriteJSON(folder, s); err != nil {
		return err
	}
	for _, cost := range figures() {
		if err := report.Lines(filepath.Join(folder, plotName(cost.name)), s.chart(cost)); err != nil {
			return err
		}
	}
	return nil
}

// plotName is the file of a figure's plot.
func plotName(figure string) string {
	replaced := strings.NewReplacer(": ", "-", ", ", "-", " ", "-").Replace(figure)
	return strings.ToLower(replaced) + ".png"
}

// chart draws a figure along all dimensions, each as a part of its largest size.
func (s *Sweep) chart(cost figure) report.Chart {
	chart := report.Chart{
		Title: cost.name, XLabel: "part of the largest size measured", YLabel: cost.unit,
	}
	for _, each := range s.Slopes {
		if each.Figure != cost.name {
			continue
		}
		largest := each.Points[len(each.Points)-1].Size
		series := report.Series{Name: fmt.Sprintf("%s (to %.4g)", each.Dimension, largest)}
		for _, point := range each.Points {
			series.Points = append(series.Points, report.Point{X: point.Size / largest, Y: point.Cost})
		}
		chart.Series = append(chart.Series, series)
	}
	return chart
}

// refill writes the generated parts of a page from the figures of an earlier
// sweep.
func refill(figures, page string) error {
	text, err := os.ReadFile(figures)
	if err != nil {
		return errors.Wrap(err, "read the figures")
	}
	var earlier Sweep
	if err := json.Unmarshal(text, &earlier); err != nil {
		return errors.Wrapf(err, "decode %s", figures)
	}
	if earlier.Full == nil {
		return fault.Newf(fault.InvalidArgument, "name the figures.json of a sweep", "%s holds no sweep", figures)
	}
	earlier.refit()
	return earlier.fillPage(page)
}

// fillPage replaces the generated parts of a page.
func (s *Sweep) fillPage(file string) error {
	page, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read the page")
	}
	for _, part := range []struct {
		name    string
		content string
	}{
		{"provenance", s.provenanceText()},
		{"full run", s.fullText()},
		{"control machines", s.controlText()},
		{"changes", s.changesText()},
		{"slopes", s.slopesText()},
		{"outlook", s.outlookText()},
		{"roles", s.rolesText()},
	} {
		if page, err = replacePart(page, part.name, part.content); err != nil {
			return err
		}
	}
	return errors.Wrap(os.WriteFile(file, page, 0o644), "write the page")
}

// replacePart replaces what stands between the two marks of a part.
func replacePart(page []byte, name, content string) ([]byte, error) {
	opening, closing := fmt.Appendf(nil, "<!-- begin %s -->\n", name), fmt.Appendf(nil, "<!-- end %s -->", name)
	before, rest, opened := bytes.Cut(page, opening)
	_, after, closed := bytes.Cut(rest, closing)
	if !opened || !closed {
		return nil, fault.Newf(fault.InvalidArgument, "put the marks back", "the page lacks the marks of the part %q", name)
	}
	return bytes.Join([][]byte{before, opening, []byte(content), closing, after}, nil), nil
}

// table writes a table in Markdown.
func table(header []string, rows [][]string) string {
	var text strings.Builder
	line := func(cells []string) { fmt.Fprintf(&text, "| %s |\n", strings.Join(cells, " | ")) }
	line(header)
	line(strings.Split(strings.Repeat("---,", len(header)-1)+"---", ","))
	for _, row := range rows {
		line(row)
	}
	return text.String()
}

// number writes a value with three significant digits.
func number(value float64) string {
	if math.Abs(value) >= kilo {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3g", value)
}
