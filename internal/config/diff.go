package config

import (
	"fmt"
	"strings"
)

const (
	// diffContextLines is the number of unchanged lines around a change.
	diffContextLines = 3
	// maxDiffCells limits the table used to compute the longest common
	// subsequence (about 32 MB). Larger differences are shown as one block.
	maxDiffCells = 4 << 20
)

// Diff returns a unified diff between the documents of two records, or an empty
// string if they are equal.
func Diff(from, to Record) string {
	edits := diffLines(splitLines(from.Text), splitLines(to.Text))
	hunks := groupHunks(edits)
	if len(hunks) == 0 {
		return ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "--- %s\n+++ %s\n", from.label(), to.label())
	for _, h := range hunks {
		h.write(&b)
	}
	return b.String()
}

func (r Record) label() string {
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

// diffLine is one line of a diff. The fields from and to are the numbers of
// lines that precede it in the old and in the new text.
type diffLine struct {
	op       byte
	text     string
	from, to int
}

// diffLines returns the lines of both texts, marked with ' ', '-' or '+'.
func diffLines(a, b []string) []diffLine {
	prefix := commonPrefix(a, b)
	suffix := commonSuffix(a[prefix:], b[prefix:])
	d := diffBuilder{}
	d.addUnchanged(a[:prefix])
	d.addChanged(a[prefix:len(a)-suffix], b[prefix:len(b)-suffix])
	d.addUnchanged(a[len(a)-suffix:])
	return d.lines
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

type diffBuilder struct {
	lines    []diffLine
	from, to int
}

func (d *diffBuilder) add(op byte, text string) {
	d.lines = append(d.lines, diffLine{op: op, text: text, from: d.from, to: d.to})
	if op != '+' {
		d.from++
	}
	if op != '-' {
		d.to++
	}
}

func (d *diffBuilder) addAll(op byte, texts []string) {
	for _, text := range texts {
		d.add(op, text)
	}
}

func (d *diffBuilder) addUnchanged(texts []string) { d.addAll(' ', texts) }

// addChanged adds the lines of a and b, aligned along a longest common
// subsequence.
func (d *diffBuilder) addChanged(a, b []string) {
	if (len(a)+1)*(len(b)+1) > maxDiffCells {
		d.addAll('-', a)
		d.addAll('+', b)
		return
	}
	common := commonLengths(a, b)
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			d.add(' ', a[i])
			i++
			j++
		case common[i+1][j] >= common[i][j+1]:
			d.add('-', a[i])
			i++
		default:
			d.add('+', b[j])
			j++
		}
	}
	d.addAll('-', a[i:])
	d.addAll('+', b[j:])
}

// commonLengths returns the length of the longest common subsequence for each
// pair of suffixes of a and b.
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

// hunk is a sequence of changed lines with the surrounding context.
type hunk []diffLine

func groupHunks(lines []diffLine) []hunk {
	var hunks []hunk
	start, end := 0, 0 // bounds of the hunk being built
	for i, line := range lines {
		if line.op == ' ' {
			continue
		}
		contextStart := max(i-diffContextLines, 0)
		if end > 0 && contextStart > end {
			hunks = append(hunks, lines[start:end])
			end = 0
		}
		if end == 0 {
			start = contextStart
		}
		end = min(i+diffContextLines+1, len(lines))
	}
	if end > 0 {
		hunks = append(hunks, lines[start:end])
	}
	return hunks
}

func (h hunk) write(b *strings.Builder) {
	var fromCount, toCount int
	for _, line := range h {
		if line.op != '+' {
			fromCount++
		}
		if line.op != '-' {
			toCount++
		}
	}
	fmt.Fprintf(b, "@@ -%s +%s @@\n", hunkRange(h[0].from, fromCount), hunkRange(h[0].to, toCount))
	for _, line := range h {
		fmt.Fprintf(b, "%c%s\n", line.op, line.text)
	}
}

// hunkRange formats the range of a hunk in one of the texts. Lines are numbered
// from 1; an empty range refers to the line before it.
func hunkRange(preceding, count int) string {
	if count == 0 {
		return fmt.Sprintf("%d,0", preceding)
	}
	return fmt.Sprintf("%d,%d", preceding+1, count)
}
