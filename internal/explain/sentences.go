package explain

import "fmt"

// Events of requests that have an end.
const (
	eventServed  = 203
	eventRefused = 204
)

// indent sets what decided a request off from its line.
const indent = "    "

// sentences say what decided a request.
func (l *line) sentences() []string {
	if l.field("route") == "" {
		return []string{indent + "the daemon knew no more of it than its address " + l.field("host") + l.field("path"), l.cause()}
	}
	said := []string{
		fmt.Sprintf("%sworkspace %s, service %s, route %s at version %s, %s prompt tokens",
			indent, l.field("workspace"), l.field("service"), l.field("route"), l.field("routes_version"), l.field("tokens")),
		l.arrival(),
	}
	if l.event == eventRefused {
		return append(said, l.refusal(), l.cause())
	}
	said = append(said, l.placing(), l.answer())
	if l.event != eventServed {
		said = append(said, l.cause())
	}
	return said
}

// arrival says by when an answer was due.
func (l *line) arrival() string {
	switch {
	case l.field("late") == "true":
		return indent + "it was late on arrival, and got what is spare"
	case l.field("back") == "true":
		return indent + "it was refused before and came back: late, it got what is spare"
	}
	return fmt.Sprintf("%sits first byte was due within %s ms", indent, l.field("due_ms"))
}

// limits say what kept an owner from taking a request, by the name of booking.Limit.
var limits = map[string]string{
	"failing": "the target failed too many requests of late",
	"memory":  "what ran on the target filled its memory",
	"slots":   "all slots of the target were in use",
	"spare":   "it could have only what is spare, and the target had none",
	"share":   "the target had something to spare, but the workspace was too far ahead of one that lacks",
	"time":    "the answer would have come after its objective",
	"prompt":  "the prompt alone takes the target longer than its objective",
}

// refusal says which limit refused the request.
func (l *line) refusal() string {
	why := limits[l.field("limit")]
	if why == "" {
		return indent + "no owner of a target was asked, or none answered"
	}
	if alone := l.number("alone_ms"); alone > 0 {
		why += fmt.Sprintf(" (%.0f ms)", alone)
	}
	return fmt.Sprintf("%srefused: %s (%s owners asked, a wait of %s ms told; the workspace had had %.0f%% of its share)",
		indent, why, l.field("asked"), l.field("expected_ms"), 100*l.number("share_used"))
}

// placing says which target it was sent to.
func (l *line) placing() string {
	said := fmt.Sprintf("%ssent to %s (%s, %s owners asked) after %s ms, its first byte expected after %s ms",
		indent, l.field("target"), l.field("by"), l.field("asked"), l.field("waited_ms"), l.field("expected_ms"))
	if l.field("held") == "true" {
		said += "; held back until the target had read what it shares with another request"
	}
	if source := l.field("source"); source != "" {
		said += "; the beginning of its prompt was copied from " + source
	}
	return said
}

// answer says what came back.
func (l *line) answer() string {
	if l.number("first_ms") == 0 {
		return fmt.Sprintf("%sno byte of an answer came in %s ms; %s targets may have run it", indent, l.field("total_ms"), l.field("runs"))
	}
	return fmt.Sprintf("%sfirst byte after %s ms, end after %s ms, %s events, status %s; %s targets may have run it",
		indent, l.field("first_ms"), l.field("total_ms"), l.field("events"), l.field("status"), l.field("runs"))
}

// cause is the result code's own text.
func (l *line) cause() string {
	return fmt.Sprintf("%s%s; run: %s", indent, l.field("reason"), l.field("run"))
}
