package report_test

import (
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/bench/load"
	"rockwind.example/rockwind/internal/bench/report"
)

func TestWriteChartsAndPage(t *testing.T) {
	folder := t.TempDir()
	histogram := load.NewHistogram()
	for milliseconds := range 100 {
		histogram.Record(time.Duration(milliseconds+1) * time.Millisecond)
	}
	series := report.Distribution("latency", histogram)
	last := series.Points[len(series.Points)-1]
	if last.Y < 0.999 || last.X < 99 || last.X > 101 {
		t.Fatalf("last point of the distribution is %+v", last)
	}
	constant := report.Series{Name: "constant", Points: []report.Point{{X: 1, Y: 5}, {X: 1, Y: 5}}}
	for name, write := range map[string]func(string) error{
		"cdf.png": func(file string) error { return report.CDF(file, "latency", series) },
		"lines.png": func(file string) error {
			return report.Lines(file, report.Chart{Title: "share", Series: []report.Series{constant}})
		},
		"scatter.png": func(file string) error {
			return report.Scatter(file, report.Chart{LogX: true, Series: []report.Series{series, constant}})
		},
	} {
		file := filepath.Join(folder, name)
		if err := write(file); err != nil {
			t.Fatal(name, err)
		}
		checkImage(t, file)
	}
	section := report.Section{Heading: "Overhead <1>", Table: report.Table{Header: []string{"a"}, Rows: [][]string{{"1"}}}, Charts: []string{"cdf.png"}}
	if err := report.WriteHTML(folder, "Report", []report.Section{section}); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(folder, report.PageFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, wanted := range []string{"Overhead &lt;1&gt;", `<img src="cdf.png"`, "<td>1</td>"} {
		if !strings.Contains(string(page), wanted) {
			t.Fatalf("page does not contain %s", wanted)
		}
	}
}

func TestChartWithoutPointsFails(t *testing.T) {
	if err := report.CDF(filepath.Join(t.TempDir(), "x.png"), "nothing"); err == nil {
		t.Fatal("no error for a chart without points")
	}
}

func checkImage(t *testing.T, file string) {
	t.Helper()
	data, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer data.Close()
	if _, err := png.Decode(data); err != nil {
		t.Fatal(file, err)
	}
}
