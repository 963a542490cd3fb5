// Package explain tells from the log lines of daemons what became of one request, and what
// decided it. It has no network: lines come from a reader, the story goes to a writer.
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
	// maxLine bounds one line; a daemon's are below 2 kB, one with a stack below 64 kB.
	maxLine = 1 << 20
	// around is how long before a request's arrival and after its end a daemon's other lines
	// may have to do with it: a lost dependency is told within a second or two.
	around = 2 * time.Second
)

// line is one log line of a daemon.
type line struct {
	// Source is who wrote it: what stands before the JSON, as collectors add it, or else
	// the name of the file.
	source string
	at     time.Time
	event  int
	level  string
	text   string
	fields map[string]any
}

// Log holds the lines that were read.
type Log struct {
	lines []line
	// unreadable counts lines that are no log lines of a daemon.
	unreadable int
}

// Read takes in the lines of a reader. Source names those that do not say who wrote them.
// Lines that are none of a daemon's are counted and passed over.
func (l *Log) Read(from io.Reader, source string) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		parsed, ok := parse(scanner.Bytes(), source)
		if !ok {
			l.unreadable++
			continue
		}
		l.lines = append(l.lines, parsed)
	}
	return scanner.Err()
}

// Unreadable returns how many lines were passed over.
func (l *Log) Unreadable() int { return l.unreadable }

func parse(text []byte, source string) (line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[begin:], &fields) != nil {
		return line{}, false
	}
	parsed := line{source: source, fields: fields}
	if words := strings.Fields(string(text[:begin])); len(words) > 0 {
		parsed.source = words[len(words)-1]
	}
	parsed.text, _ = fields["msg"].(string)
	parsed.level, _ = fields["level"].(string)
	number, _ := fields["event"].(float64)
	parsed.event = int(number)
	stamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	parsed.at = at
	return parsed, err == nil && parsed.event > 0
}

// ErrNotFound is the error of Story where no line names the request.
var ErrNotFound = errors.New("no line names the request: lines are bounded, and what went well is sampled (event 205 counts those left out)")

// Story writes what became of a request, in order of time: a line for each of its attempts,
// with what decided it, and beside it what the same daemon logged then of what it depends on.
func (l *Log) Story(to io.Writer, request string) error {
	var own []line
	for _, each := range l.lines {
		if each.field("request") == request {
			own = append(own, each)
		}
	}
	if len(own) == 0 {
		return ErrNotFound
	}
	byTime := func(a, b line) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(own, byTime)
	story := slices.Clone(own)
	for _, each := range l.lines {
		if each.field("request") == "" && each.event != eventShared && near(each, own) {
			story = append(story, each)
		}
	}
	story = l.addSharing(story, own)
	slices.SortStableFunc(story, byTime)
	for _, each := range story {
		if _, err := fmt.Fprintln(to, each.tell()); err != nil {
			return err
		}
	}
	return nil
}

// near tells whether a line may have to do with one of a request's.
func near(other line, own []line) bool {
	for _, each := range own {
		begin := each.at.Add(-each.duration("total_ms") - around)
		if other.source == each.source && other.at.After(begin) && other.at.Before(each.at.Add(around)) {
			return true
		}
	}
	return false
}

func (l *line) field(name string) string {
	value, there := l.fields[name]
	if !there || value == nil {
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

// tell writes the line for people.
func (l *line) tell() string {
	head := fmt.Sprintf("%s  %s  %d %s", l.at.UTC().Format("15:04:05.000"), l.source, l.event, l.text)
	if l.event == eventShared {
		if s, err := l.sharing(); err == nil {
			return head + "\n" + strings.Join(s.sentences(), "\n")
		}
	}
	if l.field("request") == "" {
		return head + l.rest()
	}
	return head + "\n" + strings.Join(l.sentences(), "\n")
}

// rest lists the other fields of a line that is about no request.
func (l *line) rest() string {
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
