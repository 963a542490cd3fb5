// Package explain reconstructs the timeline of one request from the log lines of daemons,
// with the reasons for each decision. It does not use the network: it reads lines from an
// io.Reader and writes the timeline to an io.Writer.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// maxLine bounds the length of a line. Lines of daemons are below 2 kB, or below 64 kB
	// with a stack trace.
	maxLine = 1 << 20
	// relatedWindow is the time before the arrival and after the end of a request in which
	// other lines of the same daemon are considered related to it. The loss of a dependency
	// is logged within one or two seconds.
	relatedWindow = 2 * time.Second
)

// line is one log line of a daemon.
type line struct {
	// source identifies the daemon: the last word before the JSON, which log collectors add,
	// or else the name of the file.
	source  string
	at      time.Time
	event   int
	level   string
	message string
	fields  map[string]any
}

// Log holds the log lines of one or more daemons.
type Log struct {
	lines []line
	// skipped counts lines that are not log lines of a daemon.
	skipped int
}

// Read adds the lines of a reader. The source parameter identifies the daemon for lines that
// have no prefix before the JSON. Lines that are not log lines of a daemon are skipped and
// counted.
func (l *Log) Read(reader io.Reader, source string) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		parsed, ok := parseLine(scanner.Bytes(), source)
		if !ok {
			l.skipped++
			continue
		}
		l.lines = append(l.lines, parsed)
	}
	return scanner.Err()
}

// Skipped returns the number of skipped lines.
func (l *Log) Skipped() int { return l.skipped }

func parseLine(raw []byte, source string) (line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(raw[start:], &fields) != nil {
		return line{}, false
	}
	parsed := line{source: source, fields: fields}
	if prefix := strings.Fields(string(raw[:start])); len(prefix) > 0 {
		parsed.source = prefix[len(prefix)-1]
	}
	parsed.message, _ = fields["msg"].(string)
	parsed.level, _ = fields["level"].(string)
	number, _ := fields["event"].(float64)
	parsed.event = int(number)
	timestamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	parsed.at = at
	return parsed, err == nil && parsed.event > 0
}

// ErrNotFound is returned by WriteTimeline if no line refers to the request.
var ErrNotFound = errors.New("no line names the request: lines are bounded, and what went well is sampled (event 205 counts those left out)")

// WriteTimeline writes the timeline of a request in chronological order: each line about the
// request with the reasons for the decision, and the lines about dependencies that the same
// daemons logged around that time.
func (l *Log) WriteTimeline(w io.Writer, request string) error {
	var requestLines []line
	for _, candidate := range l.lines {
		if candidate.field("request") == request {
			requestLines = append(requestLines, candidate)
		}
	}
	if len(requestLines) == 0 {
		return ErrNotFound
	}
	byTime := func(a, b line) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(requestLines, byTime)
	timeline := slices.Clone(requestLines)
	for _, candidate := range l.lines {
		if candidate.field("request") == "" && candidate.event != eventShareReport && isRelated(candidate, requestLines) {
			timeline = append(timeline, candidate)
		}
	}
	timeline = l.addShareReports(timeline, requestLines)
	slices.SortStableFunc(timeline, byTime)
	for _, entry := range timeline {
		if _, err := fmt.Fprintln(w, entry.describe()); err != nil {
			return err
		}
	}
	return nil
}

// isRelated reports whether a line was logged by the same daemon and around the same time as
// one of the lines of a request.
func isRelated(other line, requestLines []line) bool {
	for _, requestLine := range requestLines {
		start := requestLine.at.Add(-requestLine.duration("total_ms") - relatedWindow)
		if other.source == requestLine.source && other.at.After(start) && other.at.Before(requestLine.at.Add(relatedWindow)) {
			return true
		}
	}
	return false
}

func (l *line) field(name string) string {
	value, ok := l.fields[name]
	if !ok || value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

func (l *line) number(name string) float64 {
	n, _ := l.fields[name].(float64)
	return n
}

func (l *line) duration(name string) time.Duration {
	return time.Duration(l.number(name)) * time.Millisecond
}

// describe returns the line in human-readable form.
func (l *line) describe() string {
	heading := fmt.Sprintf("%s  %s  %d %s", l.at.UTC().Format("15:04:05.000"), l.source, l.event, l.message)
	if l.event == eventShareReport {
		if s, err := l.shareReport(); err == nil {
			return heading + "\n" + strings.Join(s.details(), "\n")
		}
	}
	if l.field("request") == "" {
		return heading + l.otherFields()
	}
	return heading + "\n" + strings.Join(l.requestDetails(), "\n")
}

// otherFields lists the fields of a line that does not refer to a request.
func (l *line) otherFields() string {
	var names []string
	for name := range l.fields {
		if name != "time" && name != "level" && name != "msg" && name != "event" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%s", name, l.field(name))
	}
	return b.String()
}
