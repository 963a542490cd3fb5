package reference_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/reference"
	"github.com/savorystall/savorystall/internal/resultcode"
	"github.com/savorystall/savorystall/internal/telemetry"
)

const root = "../.."

// pages returns the Markdown files of the root and of docs/, by path from the
// root.
func pages(t *testing.T) map[string]string {
	t.Helper()
	is := is.New(t)
	found := map[string]string{}
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md"} {
		paths, err := filepath.Glob(filepath.Join(root, pattern))
		is.NoErr(err)
		for _, path := range paths {
			text, err := os.ReadFile(path)
			is.NoErr(err)
			name, err := filepath.Rel(root, path)
			is.NoErr(err)
			found[name] = string(text)
		}
	}
	is.True(len(found) > 20) // the patterns find the pages
	return found
}

var link = regexp.MustCompile(`\]\(([^)\s]+)\)`)

// A reader follows a link of a page and finds nothing, because a page was moved
// or misspelt.
func TestLinksResolve(t *testing.T) {
	checked := 0
	for page, text := range pages(t) {
		for _, match := range link.FindAllStringSubmatch(text, -1) {
			target, _, _ := strings.Cut(match[1], "#")
			if target == "" || strings.Contains(target, "://") {
				continue
			}
			checked++
			if _, err := os.Stat(filepath.Join(root, filepath.Dir(page), target)); err != nil {
				t.Errorf("%s links to %s, which is not there", page, match[1])
			}
		}
	}
	is.New(t).True(checked > 40) // the pattern finds the links
}

var (
	// eventNumber matches numbers of the catalogue's ranges in prose. 200 is an
	// HTTP status there.
	eventNumber = regexp.MustCompile(`\b(?:10\d|20[1-9]|4[01]\d|5[02]\d|60\d)\b`)
	quotedEvent = regexp.MustCompile(`"event":(\d+)`)
	metricName  = regexp.MustCompile("savorystall_[a-z_]+")
	codeNumber  = regexp.MustCompile(`\b[1-4]0\d\d\b`)
)

// operatorPages returns the pages that operators act on.
func operatorPages(t *testing.T) map[string]string {
	t.Helper()
	found := map[string]string{}
	for page, text := range pages(t) {
		if strings.HasPrefix(page, "docs/operations/") || page == "docs/OPERATIONS.md" || page == "README.md" {
			found[page] = text
		}
	}
	return found
}

// An operator looks for an event, a metric or a result code that a page names,
// and no daemon ever reports it.
func TestOperatorPagesNameWhatExists(t *testing.T) {
	events, metrics, codes := catalogues()
	named := map[string]int{}
	for page, text := range operatorPages(t) {
		for _, number := range eventsIn(text) {
			named["event"]++
			if !events[number] {
				t.Errorf("%s names event %s, which does not exist", page, number)
			}
		}
		for _, name := range metricName.FindAllString(text, -1) {
			named["metric"]++
			if !metrics[name] {
				t.Errorf("%s names metric %s, which does not exist", page, name)
			}
		}
		for _, number := range codeNumber.FindAllString(withoutQuotes(text), -1) {
			named["code"]++
			if !codes[number] {
				t.Errorf("%s names result code %s, which does not exist", page, number)
			}
		}
	}
	is := is.New(t)
	is.True(named["event"] > 60 && named["metric"] > 20 && named["code"] > 10) // the patterns find the names
}

func catalogues() (events, metrics, codes map[string]bool) {
	events, metrics, codes = map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, e := range event.All() {
		events[strconv.Itoa(e.Number)] = true
	}
	for _, m := range telemetry.AllMetrics() {
		metrics["savorystall_"+m.Name] = true
	}
	for _, c := range resultcode.All() {
		codes[strconv.Itoa(c.Number)] = true
	}
	return events, metrics, codes
}

// eventsIn returns the numbers of events in the prose of a page and in the lines
// of logs that it quotes.
func eventsIn(text string) []string {
	numbers := eventNumber.FindAllString(withoutQuotes(text), -1)
	for _, match := range quotedEvent.FindAllStringSubmatch(text, -1) {
		numbers = append(numbers, match[1])
	}
	return numbers
}

// withoutQuotes returns the text without its blocks of commands and output,
// whose numbers are counts, times and ports.
func withoutQuotes(text string) string {
	var kept []string
	for i, part := range strings.Split(text, "```") {
		if i%2 == 0 {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, "")
}

// A team looks up a field of its document in the reference and does not find it.
func TestServiceDocumentPageNamesEveryField(t *testing.T) {
	is := is.New(t)
	fields, err := reference.Fields("../document/document.go", "Document")
	is.NoErr(err)
	page := pages(t)["docs/SERVICE-DOCUMENT.md"]
	rows := regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(fields, -1)
	is.True(len(rows) > 30) // the fields are found
	for _, row := range rows {
		// A section is named by its fields.
		if !strings.Contains(fields, "| `"+row[1]+".") && !namesField(page, row[1]) {
			t.Errorf("docs/SERVICE-DOCUMENT.md does not name %s", row[1])
		}
	}
}

// namesField tells whether the page's section of the field's parent has a row
// for it. A section is named by the first word of the path.
func namesField(page, path string) bool {
	section, field, nested := strings.Cut(path, ".")
	if !nested {
		return strings.Contains(page, "| `"+path+"` |")
	}
	_, after, found := strings.Cut(page, "\n## `"+section)
	if !found {
		return false
	}
	body, _, _ := strings.Cut(after, "\n## ")
	for line := range strings.Lines(body) {
		cell, _, _ := strings.Cut(strings.TrimPrefix(line, "| "), " |")
		for _, name := range strings.Split(strings.ReplaceAll(cell, "[]", ""), ", ") {
			if name == "`"+field+"`" {
				return true
			}
		}
	}
	return false
}
