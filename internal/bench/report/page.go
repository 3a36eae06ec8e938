package report

import (
	"encoding/json"
	"html/template"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// File names in the folder of a report.
const (
	pageFile    = "index.html"
	figuresFile = "figures.json"
)

type Table struct {
	Header []string
	Rows   [][]string
}

// Section is a section of the HTML page.
type Section struct {
	Heading string
	// Text holds the paragraphs.
	Text []string
	// Table is omitted if it has no rows.
	Table Table
	// Charts holds the names of image files in the folder of the page.
	Charts []string
}

// page is the data of pageTemplate.
type page struct {
	Title    string
	Sections []Section
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>{{.Title}}</title>
<style>
body { font-family: sans-serif; max-width: 60rem; margin: 2rem auto; padding: 0 1rem; }
table { border-collapse: collapse; margin: 1rem 0; }
th, td { border: 1px solid #bbb; padding: 0.2rem 0.6rem; text-align: right; }
th:first-child, td:first-child { text-align: left; }
img { max-width: 100%; }
</style>
</head>
<body>
<h1>{{.Title}}</h1>
{{range .Sections}}
<h2>{{.Heading}}</h2>
{{range .Text}}<p>{{.}}</p>
{{end}}
{{if .Table.Rows}}<table>
<tr>{{range .Table.Header}}<th>{{.}}</th>{{end}}</tr>
{{range .Table.Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>{{end}}
{{range .Charts}}<img src="{{.}}" alt="{{.}}">
{{end}}
{{end}}
</body>
</html>
`))

// WriteHTML writes index.html with the sections to a folder, which it creates if
// needed.
func WriteHTML(folder, title string, sections []Section) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "create report folder")
	}
	file, err := os.Create(filepath.Join(folder, pageFile))
	if err != nil {
		return errors.Wrap(err, "create HTML page")
	}
	err = pageTemplate.Execute(file, page{Title: title, Sections: sections})
	return errors.Wrap(errors.CombineErrors(err, file.Close()), "write HTML page")
}

// WriteJSON writes figures.json to a folder, which it creates if needed.
func WriteJSON(folder string, figures any) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "create report folder")
	}
	file, err := os.Create(filepath.Join(folder, figuresFile))
	if err != nil {
		return errors.Wrap(err, "create JSON file of figures")
	}
	return errors.CombineErrors(PrintJSON(file, figures), file.Close())
}

// PrintJSON writes figures as indented JSON.
func PrintJSON(writer io.Writer, figures any) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(figures), "write figures as JSON")
}
