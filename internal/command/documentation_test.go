package command_test

import (
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"rockwind.example/rockwind/internal/control"
	"rockwind.example/rockwind/internal/gateway"
)

// page returns the content of a documentation page.
func page(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("..", "..", "docs", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

var (
	// codeCell matches the code spans in a table cell.
	codeCell = regexp.MustCompile("`([^`]+)`")
	// descriptionParts matches the name and labels in the text of a metric description.
	descriptionParts = regexp.MustCompile(`fqName: "([^"]+)".*variableLabels: \{([^}]*)\}`)
)

// tableRows returns the remaining cells of all table rows that start with a code span,
// by the text of that span.
func tableRows(content string) map[string][]string {
	rows := make(map[string][]string)
	for _, line := range strings.Split(content, "\n") {
		cells := strings.Split(strings.Trim(line, "|"), "|")
		if !strings.HasPrefix(line, "| `") || len(cells) < 2 {
			continue
		}
		rows[codeCell.FindStringSubmatch(cells[0])[1]] = cells[1:]
	}
	return rows
}

func codes(cell string) []string {
	var found []string
	for _, match := range codeCell.FindAllStringSubmatch(cell, -1) {
		found = append(found, match[1])
	}
	slices.Sort(found)
	return found
}

// described returns the labels of all metrics of the daemons by metric name.
func described() map[string][]string {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		defer close(descriptions)
		gateway.DescribeMetrics(descriptions)
		control.DescribeMetrics(descriptions)
	}()
	found := make(map[string][]string)
	for description := range descriptions {
		parts := descriptionParts.FindStringSubmatch(description.String())
		if parts == nil || strings.HasPrefix(parts[1], "go_") || strings.HasPrefix(parts[1], "process_") {
			continue
		}
		labels := strings.FieldsFunc(parts[2], func(r rune) bool { return r == ',' || r == ' ' })
		slices.Sort(labels)
		found[parts[1]] = labels
	}
	return found
}

func TestMetricsPageAgreesWithTheDaemons(t *testing.T) {
	documented, registered := tableRows(page(t, "operations/metrics.md")), described()
	for _, name := range slices.Sorted(maps.Keys(registered)) {
		cells, found := documented[name]
		if !found {
			t.Errorf("docs/operations/metrics.md lacks %s", name)
			continue
		}
		if labels := codes(cells[0]); !slices.Equal(labels, registered[name]) {
			t.Errorf("docs/operations/metrics.md gives %s the labels %v, and it has %v", name, labels, registered[name])
		}
	}
	for name := range documented {
		if _, found := registered[name]; !found {
			t.Errorf("docs/operations/metrics.md lists %s, which no daemon has", name)
		}
	}
}

// link matches the targets of links in a page.
var link = regexp.MustCompile(`\]\(([^)#\s]+)(#[^)]*)?\)`)

// TestLinksOfTheDocumentation checks that links point to existing files, and that
// docs/OPERATIONS.md links to every page in operations/.
func TestLinksOfTheDocumentation(t *testing.T) {
	root := filepath.Join("..", "..")
	var pages []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md"} {
		found, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, found...)
	}
	for _, name := range pages {
		content, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range link.FindAllStringSubmatch(string(content), -1) {
			if strings.Contains(match[1], "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(name), match[1])); err != nil {
				t.Errorf("%s links to %s, which does not exist", name, match[1])
			}
		}
		if folder, file := filepath.Split(name); strings.HasSuffix(folder, "operations/") && !strings.Contains(page(t, "OPERATIONS.md"), "(operations/"+file+")") {
			t.Errorf("docs/OPERATIONS.md does not list operations/%s", file)
		}
	}
}
