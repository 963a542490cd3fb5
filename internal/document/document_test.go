package document_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/document"
)

func TestExamplesAreValidAndGetDefaults(t *testing.T) {
	is := is.New(t)
	paths, err := filepath.Glob("../../examples/documents/*.yaml")
	is.NoErr(err)
	is.Equal(len(paths), 2)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		is.NoErr(err)
		d, err := document.Parse(text)
		is.NoErr(err)
		is.True(d.Limits.FirstByteTimeout == 30*time.Second)
		for _, o := range d.Operations {
			is.True(o.Class != "" && o.Deadline > 0)
		}
		for _, w := range d.Workspaces {
			is.True(w.Limits.Queue > 0)
		}
	}
}

// documentText returns a plain or model document with some of its lines overridden.
func documentText(kind string, overrides map[string]string) string {
	fieldOrder := []string{"service", "kind", "models", "workspaces", "operations", "targets"}
	fieldLines := map[string]string{
		"service":    "service: s",
		"kind":       "kind: " + kind,
		"workspaces": fmt.Sprintf("workspaces: [{name: w, weight: 1, keys: [%q]}]", document.HashKey("k")),
		"targets":    `targets: [{name: t, zone: z, address: "127.0.0.1:1", slots: 1}]`,
	}
	if kind == "model" {
		fieldLines["models"] = "models: [m]"
	} else {
		fieldLines["operations"] = "operations: [{name: o, method: GET, path: /x}]"
	}
	var text strings.Builder
	for _, name := range fieldOrder {
		line := fieldLines[name]
		if override, ok := overrides[name]; ok {
			line = override
		}
		if line != "" {
			text.WriteString(line + "\n")
		}
	}
	return text.String() + overrides["end"]
}

func TestParseReportsLineAndColumn(t *testing.T) {
	key := document.HashKey("k")
	workspace := func(name, weight, key string) string {
		return fmt.Sprintf("{name: %s, weight: %s, keys: [%q]}", name, weight, key)
	}
	cases := map[string]struct {
		kind         string
		overrides    map[string]string
		line, column int
		want         string
	}{
		"syntax":                {"model", map[string]string{"models": "models: [m"}, 4, 1, "must be specified"},
		"unknown field":         {"model", map[string]string{"end": "colour: red\n"}, 6, 1, `unknown field "colour"`},
		"unknown inner field":   {"model", map[string]string{"end": "limits:\n  bodybytes: 1\n"}, 7, 3, `unknown field "bodybytes"`},
		"repeated field":        {"model", map[string]string{"end": "kind: plain\n"}, 6, 1, "already defined"},
		"wrong type":            {"model", map[string]string{"end": "limits:\n  queue: many\n"}, 7, 10, "cannot unmarshal"},
		"bad duration":          {"model", map[string]string{"end": "limits:\n  deadline: soon\n"}, 7, 13, "must be a duration"},
		"no service":            {"model", map[string]string{"service": ""}, 1, 1, "service: is required"},
		"bad name":              {"model", map[string]string{"service": "service: Upper"}, 1, 10, "service: must be 1 to 64"},
		"bad kind":              {"other", nil, 2, 7, "kind: must be one of model plain"},
		"model without models":  {"model", map[string]string{"models": ""}, 1, 1, "models: a model service needs"},
		"plain with models":     {"plain", map[string]string{"models": "models: [m]"}, 3, 9, "a plain service has none"},
		"plain with preemption": {"plain", map[string]string{"end": "preemption: true\n"}, 6, 13, "preemption: belongs to model services"},
		"model twice":           {"model", map[string]string{"models": "models: [m, m]"}, 3, 13, `repeats "m" of models[0]`},
		"no workspaces":         {"model", map[string]string{"workspaces": ""}, 1, 1, "workspaces: is required"},
		"zero weight":           {"model", map[string]string{"workspaces": "workspaces:\n  - " + workspace("w", "0", key)}, 5, 23, "weight: must be greater than 0"},
		"weight left out":       {"model", map[string]string{"workspaces": "workspaces:\n  - name: w\n    keys: ['" + key + "']"}, 5, 5, "weight: must be greater than 0"},
		"plain text key":        {"model", map[string]string{"workspaces": "workspaces:\n  - " + workspace("w", "1", "secret")}, 5, 33, "keys[0]: must be sha256:"},
		"workspace twice":       {"model", map[string]string{"workspaces": "workspaces:\n  - " + workspace("w", "1", key) + "\n  - " + workspace("w", "1", document.HashKey("l"))}, 6, 12, "repeats"},
		"shared key":            {"model", map[string]string{"workspaces": "workspaces:\n  - " + workspace("v", "1", key) + "\n  - " + workspace("w", "1", key)}, 6, 33, "workspaces[1].keys[0]: repeats"},
		"bad class":             {"model", map[string]string{"operations": "operations:\n  - {name: o, class: fast, default: true}"}, 6, 22, "class: must be one of"},
		"no default":            {"model", map[string]string{"operations": "operations:\n  - {name: o}"}, 6, 3, "one must be marked as the default"},
		"two defaults":          {"model", map[string]string{"operations": "operations:\n  - {name: o, default: true}\n  - {name: p, default: true}"}, 7, 24, "repeats"},
		"path of a model":       {"model", map[string]string{"operations": "operations:\n  - {name: o, default: true, path: /x}"}, 6, 36, "plain services only"},
		"plain without method":  {"plain", map[string]string{"operations": "operations:\n  - {name: o, path: /x}"}, 5, 5, "method: is required"},
		"equivalent paths":      {"plain", map[string]string{"operations": "operations:\n  - {name: o, method: GET, path: '/x/{a}'}\n  - {name: p, method: GET, path: '/x/{b}'}"}, 6, 34, "repeats"},
		"wildcard in middle":    {"plain", map[string]string{"operations": "operations:\n  - {name: o, method: GET, path: '/x/**/y'}"}, 5, 34, "at the end only"},
		"dots in a path":        {"plain", map[string]string{"operations": "operations:\n  - {name: o, method: GET, path: /x/../y}"}, 5, 34, "'.' or '..'"},
		"host name":             {"model", map[string]string{"targets": "targets:\n  - {name: t, zone: z, address: 'host:1', slots: 1}"}, 6, 33, "must be IP:port"},
		"no slots":              {"model", map[string]string{"targets": "targets:\n  - {name: t, zone: z, address: '127.0.0.1:1', slots: 0}"}, 6, 55, "slots: must be greater than 0"},
		"address twice":         {"model", map[string]string{"targets": "targets:\n  - {name: t, zone: z, address: '127.0.0.1:1', slots: 1}\n  - {name: u, zone: z, address: '127.0.0.1:1', slots: 1}"}, 7, 33, "repeats"},
		"order without target":  {"model", map[string]string{"end": "orders:\n  fencing: ignored\n  targets: [{name: x}]\n"}, 8, 20, `no target has the name "x"`},
		"unknown restriction":   {"model", map[string]string{"workspaces": fmt.Sprintf("workspaces: [{name: w, weight: 1, keys: [%q], targets: [t, x]}]", key)}, 4, 131, `no target has the name "x"`},
		"restricted twice":      {"model", map[string]string{"workspaces": fmt.Sprintf("workspaces: [{name: w, weight: 1, keys: [%q], targets: [t, t]}]", key)}, 4, 131, `repeats "t"`},
		"order without model":   {"model", map[string]string{"end": "orders:\n  fencing: ignored\n  targets: [{name: t, models: [n]}]\n"}, 8, 32, `no model "n"`},
		"no fencing":            {"model", map[string]string{"end": "orders:\n  targets: [{name: t}]\n"}, 7, 3, "fencing: is required"},
		"alias":                 {"model", map[string]string{"models": "models: &m [m]", "end": "orders: *m\n"}, 3, 9, "anchors and aliases"},
		"deep brackets":         {"model", map[string]string{"models": "models: " + strings.Repeat("[", 1<<20)}, 3, 41, "levels of nesting"},
		"deep sequences":        {"model", map[string]string{"models": strings.Repeat("- ", 1<<19) + "m"}, 3, 1, "levels of nesting"},
		"tag":                   {"model", map[string]string{"models": "models: !!seq [m]"}, 3, 9, "tags are not supported"},
		"two documents":         {"model", map[string]string{"end": "---\nservice: t\n"}, 1, 1, "one document"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := document.Parse([]byte(documentText(c.kind, c.overrides)))
			var invalid *document.Invalid
			is.True(errors.As(err, &invalid))
			first := invalid.Problems[0]
			is.Equal(fmt.Sprint(first.Line, ":", first.Column), fmt.Sprint(c.line, ":", c.column))
			is.True(strings.Contains(first.String(), c.want))
		})
	}
}

func TestParseReportsEveryProblemInOrder(t *testing.T) {
	is := is.New(t)
	_, err := document.Parse([]byte(documentText("model", map[string]string{
		"service": "service: Upper",
		"targets": "targets: [{name: t, zone: z, address: 'host:1', slots: 0}]",
	})))
	var invalid *document.Invalid
	is.True(errors.As(err, &invalid))
	is.Equal(len(invalid.Problems), 3)
	is.Equal(invalid.Problems[0].Path, "service")
	is.Equal(invalid.Problems[2].Path, "targets[0].slots")
}

func TestTextWithoutDocumentIsRejected(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "\n", "# only a comment\n", "[]", "just words"} {
		_, err := document.Parse([]byte(text))
		var invalid *document.Invalid
		is.True(errors.As(err, &invalid))
	}
}

func TestPatterns(t *testing.T) {
	cases := []struct {
		pattern, path string
		want          bool
	}{
		{"/", "/", true},
		{"/v1/cases/{id}", "/v1/cases/7", true},
		{"/v1/cases/{id}", "/v1/cases", false},
		{"/v1/cases/{id}", "/v1/cases/7/notices", false},
		{"/v1/cases/{id}", "/v1/cases/", false},
		{"/files/**", "/files", true},
		{"/files/**", "/files/a/b", true},
		{"/files/**", "/files/../secret", false},
		{"/files/**", "/files//a", false},
		{"/**", "/", true},
		{"/**", "relative", false},
	}
	for _, c := range cases {
		p, err := document.ParsePattern(c.pattern)
		is.New(t).NoErr(err)
		if got := p.Match(c.path); got != c.want {
			t.Errorf("%s on %s: %v", c.pattern, c.path, got)
		}
	}
}

// If a caller could escape a slash as %2F, the target could resolve the path to a
// different operation than the router, and an unrepeatable request would be
// handled as a repeatable one.
func TestDecodePathRejectsAmbiguousSegments(t *testing.T) {
	is := is.New(t)
	for _, escaped := range []string{"/cases%2F7", "/cases%2f7", "/cases%5C7", `/cases\7`, "/a/%2e%2e/b", "/a//b", "/a/", "/%zz"} {
		_, ok := document.DecodePath(escaped)
		is.True(!ok)
	}
	path, ok := document.DecodePath("/cases/caf%C3%A9%20x")
	is.True(ok)
	is.Equal(path, "/cases/café x")
}

// A text on which the parser panics would crash every daemon that reads it.
func FuzzParse(f *testing.F) {
	f.Add([]byte(documentText("model", nil)))
	f.Add([]byte(documentText("plain", map[string]string{"end": "limits: {deadline: 1s}\norders: {fencing: ignored, targets: [{name: t}]}\n"})))
	f.Add([]byte("service: s\nkind: model\nmodels: !00\n0: #0")) // the YAML library panics
	f.Add([]byte("service: [\n- ? &a *a : |\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := document.Parse(text)
		var invalid *document.Invalid
		if (d == nil) != errors.As(err, &invalid) {
			t.Fatalf("document %v, error %v", d, err)
		}
	})
}
