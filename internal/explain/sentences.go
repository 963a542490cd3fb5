package explain

import "fmt"

// Numbers of the events that are logged at the end of a request.
const (
	eventServed  = 203
	eventRefused = 204
)

// indent precedes the details below the first line of an entry.
const indent = "    "

// requestDetails explains how a request was handled and why.
func (l *line) requestDetails() []string {
	if l.field("route") == "" {
		return []string{indent + "the daemon knew no more of it than its address " + l.field("host") + l.field("path"), l.outcomeText()}
	}
	details := []string{
		fmt.Sprintf("%sworkspace %s, service %s, route %s at version %s, %s prompt tokens",
			indent, l.field("workspace"), l.field("service"), l.field("route"), l.field("routes_version"), l.field("tokens")),
		l.deadlineText(),
	}
	if l.event == eventRefused {
		return append(details, l.refusalText(), l.outcomeText())
	}
	details = append(details, l.placementText(), l.responseText())
	if l.event != eventServed {
		details = append(details, l.outcomeText())
	}
	return details
}

// deadlineText describes the deadline of the first byte.
func (l *line) deadlineText() string {
	switch {
	case l.field("late") == "true":
		return indent + "it was late on arrival, and got what is spare"
	case l.field("back") == "true":
		return indent + "it was refused before and came back: late, it got what is spare"
	}
	return fmt.Sprintf("%sits first byte was due within %s ms", indent, l.field("due_ms"))
}

// limitReasons describes why an owner refused a request, by the name of booking.Limit.
var limitReasons = map[string]string{
	"failing": "the target failed too many requests of late",
	"memory":  "what ran on the target filled its memory",
	"slots":   "all slots of the target were in use",
	"spare":   "it could have only what is spare, and the target had none",
	"share":   "the target had something to spare, but the workspace was too far ahead of one that lacks",
	"time":    "the answer would have come after its objective",
	"prompt":  "the prompt alone takes the target longer than its objective",
}

// refusalText describes the limit because of which the request was refused.
func (l *line) refusalText() string {
	reason := limitReasons[l.field("limit")]
	if reason == "" {
		return indent + "no owner of a target was asked, or none answered"
	}
	if alone := l.number("alone_ms"); alone > 0 {
		reason += fmt.Sprintf(" (%.0f ms)", alone)
	}
	return fmt.Sprintf("%srefused: %s (%s owners asked, a wait of %s ms told; the workspace had had %.0f%% of its share)",
		indent, reason, l.field("asked"), l.field("expected_ms"), 100*l.number("share_used"))
}

// placementText describes the target that the request was sent to.
func (l *line) placementText() string {
	text := fmt.Sprintf("%ssent to %s (%s, %s owners asked) after %s ms, its first byte expected after %s ms",
		indent, l.field("target"), l.field("by"), l.field("asked"), l.field("waited_ms"), l.field("expected_ms"))
	if l.field("held") == "true" {
		text += "; held back until the target had read what it shares with another request"
	}
	if source := l.field("source"); source != "" {
		text += "; the beginning of its prompt was copied from " + source
	}
	return text
}

// responseText describes the response of the target.
func (l *line) responseText() string {
	if l.number("first_ms") == 0 {
		return fmt.Sprintf("%sno byte of an answer came in %s ms; %s targets may have run it", indent, l.field("total_ms"), l.field("runs"))
	}
	return fmt.Sprintf("%sfirst byte after %s ms, end after %s ms, %s events, status %s; %s targets may have run it",
		indent, l.field("first_ms"), l.field("total_ms"), l.field("events"), l.field("status"), l.field("runs"))
}

// outcomeText returns the text of the result code and whether the request has run.
func (l *line) outcomeText() string {
	return fmt.Sprintf("%s%s; run: %s", indent, l.field("reason"), l.field("run"))
}
