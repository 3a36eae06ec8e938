package configuration_test

import (
	"strings"
	"testing"

	"rockwind.example/rockwind/internal/configuration"
)

const routesFile = `number: 1
services:
  - name: app
routes:
  - {name: all, host: Site.Example, path_prefix: /, kind: safe, timeout_ms: 100, split: [{service: app, weight: 1}]}
  - {name: drafts, host: site.example, path_prefix: /drafts/, kind: stream, timeout_ms: 100, split: [{service: app, weight: 1}]}
  - {name: long, host: site.example, path_prefix: /drafts/long/, kind: batch, split: [{service: app, weight: 1}]}
`

func routesIndex(t *testing.T) *configuration.Index {
	t.Helper()
	parsed, problems := configuration.Parse("routes.yaml", []byte(routesFile))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	index, err := configuration.NewIndex(parsed)
	if err != nil {
		t.Fatal(err)
	}
	return index
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	index := routesIndex(t)
	for address, want := range map[string]string{
		"site.example /":                   "all",
		"site.example /draft":              "all",
		"SITE.example:8080 /drafts/":       "drafts",
		"site.example /drafts/longer":      "drafts",
		"site.example /drafts/long/x":      "long",
		"other.example /drafts/":           "",
		"site.example drafts":              "",
		"site.example /drafts/long":        "drafts",
		"site.example /drafts/long/../etc": "long",
	} {
		host, path, _ := strings.Cut(address, " ")
		route, found := index.Route(host, path)
		if route.GetName() != want || found != (want != "") {
			t.Errorf("%s goes to %q, want %q", address, route.GetName(), want)
		}
	}
}

func TestRoutesFollowChanges(t *testing.T) {
	before := routesIndex(t)
	changed := before.Configuration()
	changed.Number = 2
	changed.Routes = changed.Routes[1:]
	after, err := configuration.NewIndex(changed)
	if err != nil {
		t.Fatal(err)
	}
	next, err := before.Apply(configuration.CompareIndexes(before, after))
	if err != nil {
		t.Fatal(err)
	}
	if _, found := next.Route("site.example", "/elsewhere"); found {
		t.Error("a removed route is still found")
	}
	if _, found := next.Route("site.example", "/drafts/"); !found {
		t.Error("an unchanged route is missing after the change")
	}
	if _, found := before.Route("site.example", "/elsewhere"); !found {
		t.Error("applying a change modified the old index")
	}
}

func TestWrongRoutesAreRefusedWithTheirPlace(t *testing.T) {
	for name, change := range map[string][2]string{
		"an unknown service":   {"{service: app, weight: 1}]}\n  - {name: drafts", "{service: nobody, weight: 1}]}\n  - {name: drafts"},
		"the same place":       {"path_prefix: /drafts/,", "path_prefix: /,"},
		"weights of zero":      {"batch, split: [{service: app, weight: 1}]", "batch, split: [{service: app, weight: 0}]"},
		"no split":             {"batch, split: [{service: app, weight: 1}]", "batch"},
		"a timeout of zero":    {"safe, timeout_ms: 100", "safe, timeout_ms: 0"},
		"no timeout":           {"safe, timeout_ms: 100", "safe"},
		"no kind":              {"kind: safe, ", ""},
		"a prefix unslashed":   {"path_prefix: /drafts/,", "path_prefix: /drafts,"},
		"the same name":        {"name: drafts", "name: all"},
		"no host":              {"host: Site.Example, ", ""},
		"batch with a timeout": {"kind: batch,", "kind: batch, timeout_ms: 0,"},
	} {
		wrong := strings.Replace(routesFile, change[0], change[1], 1)
		if wrong == routesFile {
			t.Fatalf("%s: the file is not changed", name)
		}
		_, problems := configuration.Parse("routes.yaml", []byte(wrong))
		if len(problems) == 0 || problems[0].Line == 0 || problems[0].Remedy == "" {
			t.Errorf("%s: %v", name, problems)
		}
	}
}
