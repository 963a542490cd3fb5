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

// markdownPages returns the Markdown files of the root and of docs/ by their paths
// relative to the root.
func markdownPages(t *testing.T) map[string]string {
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

var linkPattern = regexp.MustCompile(`\]\(([^)\s]+)\)`)

// Guards against links to pages that were moved, removed or misspelled.
func TestLinksResolve(t *testing.T) {
	checked := 0
	for page, text := range markdownPages(t) {
		for _, match := range linkPattern.FindAllStringSubmatch(text, -1) {
			path, _, _ := strings.Cut(match[1], "#")
			if path == "" || strings.Contains(path, "://") {
				continue
			}
			checked++
			if _, err := os.Stat(filepath.Join(root, filepath.Dir(page), path)); err != nil {
				t.Errorf("%s links to %s, which is not there", page, match[1])
			}
		}
	}
	is.New(t).True(checked > 40) // the pattern finds the links
}

var (
	// eventNumber matches numbers within the catalogue's ranges in prose. It excludes
	// 200, which is an HTTP status there.
	eventNumber = regexp.MustCompile(`\b(?:10\d|20[1-9]|4[01]\d|5[02]\d|60\d)\b`)
	quotedEvent = regexp.MustCompile(`"event":(\d+)`)
	metricName  = regexp.MustCompile("savorystall_[a-z_]+")
	codeNumber  = regexp.MustCompile(`\b[1-4]0\d\d\b`)
)

// operatorPages returns the pages for operators.
func operatorPages(t *testing.T) map[string]string {
	t.Helper()
	found := map[string]string{}
	for page, text := range markdownPages(t) {
		if strings.HasPrefix(page, "docs/operations/") || page == "docs/OPERATIONS.md" || page == "README.md" {
			found[page] = text
		}
	}
	return found
}

// Guards against pages for operators that mention an event, metric or result code
// that no daemon reports.
func TestOperatorPagesReferToExistingNames(t *testing.T) {
	events, metrics, codes := catalogueNames()
	mentions := map[string]int{}
	for page, text := range operatorPages(t) {
		for _, number := range eventNumbers(text) {
			mentions["event"]++
			if !events[number] {
				t.Errorf("%s names event %s, which does not exist", page, number)
			}
		}
		for _, name := range metricName.FindAllString(text, -1) {
			mentions["metric"]++
			if !metrics[name] {
				t.Errorf("%s names metric %s, which does not exist", page, name)
			}
		}
		for _, number := range codeNumber.FindAllString(withoutCodeBlocks(text), -1) {
			mentions["code"]++
			if !codes[number] {
				t.Errorf("%s names result code %s, which does not exist", page, number)
			}
		}
	}
	is := is.New(t)
	is.True(mentions["event"] > 60 && mentions["metric"] > 20 && mentions["code"] > 10) // the patterns find the names
}

func catalogueNames() (events, metrics, codes map[string]bool) {
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

// eventNumbers returns the event numbers in the prose of a page and in the log lines
// that it quotes.
func eventNumbers(text string) []string {
	numbers := eventNumber.FindAllString(withoutCodeBlocks(text), -1)
	for _, match := range quotedEvent.FindAllStringSubmatch(text, -1) {
		numbers = append(numbers, match[1])
	}
	return numbers
}

// withoutCodeBlocks returns the text without its code blocks, whose numbers are
// counts, times and ports.
func withoutCodeBlocks(text string) string {
	var kept []string
	for i, part := range strings.Split(text, "```") {
		if i%2 == 0 {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, "")
}

// Guards against fields of the service document that its reference page omits.
func TestServiceDocumentPageListsEveryField(t *testing.T) {
	is := is.New(t)
	fields, err := reference.Fields("../document/document.go", "Document")
	is.NoErr(err)
	page := markdownPages(t)["docs/SERVICE-DOCUMENT.md"]
	rows := regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(fields, -1)
	is.True(len(rows) > 30) // the fields are found
	for _, row := range rows {
		// A section is covered by the rows of its fields.
		if !strings.Contains(fields, "| `"+row[1]+".") && !listsField(page, row[1]) {
			t.Errorf("docs/SERVICE-DOCUMENT.md does not name %s", row[1])
		}
	}
}

// listsField reports whether the page's section for the field's parent has a row for
// the field. The heading of a section is the first element of the path.
func listsField(page, path string) bool {
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
