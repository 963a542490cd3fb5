package config

import (
	"fmt"
	"strings"
)

const (
	// diffContext is how many unchanged lines surround a change.
	diffContext = 3
	// diffCells bounds the table of the comparison (about 32 MB). Larger
	// differences are shown as one block.
	diffCells = 4 << 20
)

// Diff returns a unified diff between the documents of two records; it is
// empty where they are equal.
func Diff(from, to Record) string {
	edits := compare(splitLines(from.Text), splitLines(to.Text))
	hunks := group(edits)
	if len(hunks) == 0 {
		return ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "--- %s\n+++ %s\n", from.title(), to.title())
	for _, h := range hunks {
		h.write(&b)
	}
	return b.String()
}

func (r Record) title() string {
	if r.Service == "" {
		return "(none)"
	}
	if r.Revision == 0 {
		return fmt.Sprintf("%s (not applied)", r.Service)
	}
	if r.Deleted {
		return fmt.Sprintf("%s revision %d (deleted)", r.Service, r.Revision)
	}
	return fmt.Sprintf("%s revision %d", r.Service, r.Revision)
}

func splitLines(text string) []string {
	text = strings.TrimSuffix(text, "\n")
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// editLine is one line of the comparison. From and to count the lines that
// come before it in either text.
type editLine struct {
	sign     byte
	text     string
	from, to int
}

// compare returns the lines of both texts with their signs ' ', '-' and '+'.
func compare(a, b []string) []editLine {
	head := commonPrefix(a, b)
	tail := commonSuffix(a[head:], b[head:])
	w := editWriter{}
	w.keep(a[:head])
	w.middle(a[head:len(a)-tail], b[head:len(b)-tail])
	w.keep(a[len(a)-tail:])
	return w.lines
}

func commonPrefix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}

type editWriter struct {
	lines    []editLine
	from, to int
}

func (w *editWriter) add(sign byte, text string) {
	w.lines = append(w.lines, editLine{sign: sign, text: text, from: w.from, to: w.to})
	if sign != '+' {
		w.from++
	}
	if sign != '-' {
		w.to++
	}
}

func (w *editWriter) all(sign byte, texts []string) {
	for _, text := range texts {
		w.add(sign, text)
	}
}

func (w *editWriter) keep(texts []string) { w.all(' ', texts) }

// middle follows a longest common subsequence of a and b.
func (w *editWriter) middle(a, b []string) {
	if (len(a)+1)*(len(b)+1) > diffCells {
		w.all('-', a)
		w.all('+', b)
		return
	}
	common := commonLengths(a, b)
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			w.add(' ', a[i])
			i++
			j++
		case common[i+1][j] >= common[i][j+1]:
			w.add('-', a[i])
			i++
		default:
			w.add('+', b[j])
			j++
		}
	}
	w.all('-', a[i:])
	w.all('+', b[j:])
}

// commonLengths returns, for each pair of suffixes, the length of their
// longest common subsequence.
func commonLengths(a, b []string) [][]int32 {
	table := make([][]int32, len(a)+1)
	for i := range table {
		table[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				table[i][j] = table[i+1][j+1] + 1
			} else {
				table[i][j] = max(table[i+1][j], table[i][j+1])
			}
		}
	}
	return table
}

// hunk is a run of lines around changes.
type hunk []editLine

func group(lines []editLine) []hunk {
	var hunks []hunk
	start, end := 0, 0 // the lines of the hunk being built
	for i, line := range lines {
		if line.sign == ' ' {
			continue
		}
		from := max(i-diffContext, 0)
		if end > 0 && from > end {
			hunks = append(hunks, lines[start:end])
			end = 0
		}
		if end == 0 {
			start = from
		}
		end = min(i+diffContext+1, len(lines))
	}
	if end > 0 {
		hunks = append(hunks, lines[start:end])
	}
	return hunks
}

func (h hunk) write(b *strings.Builder) {
	var from, to int
	for _, line := range h {
		if line.sign != '+' {
			from++
		}
		if line.sign != '-' {
			to++
		}
	}
	fmt.Fprintf(b, "@@ -%s +%s @@\n", span(h[0].from, from), span(h[0].to, to))
	for _, line := range h {
		fmt.Fprintf(b, "%c%s\n", line.sign, line.text)
	}
}

// span is the place of a hunk: the first line counts from 1, but an empty span
// names the line before it.
func span(before, count int) string {
	if count == 0 {
		return fmt.Sprintf("%d,0", before)
	}
	return fmt.Sprintf("%d,%d", before+1, count)
}
