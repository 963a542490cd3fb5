package explain

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
)

// eventShareReport is the number of the event that describes, once a second, how a service is
// shared.
const eventShareReport = 701

// shareReport holds the fields of a line about how a service is shared among workspaces.
type shareReport struct {
	Level         float64                      `json:"level"`
	TopWorkspaces []booking.WorkspaceDemand    `json:"most"`
	ShedFraction  float64                      `json:"sheds"`
	Decisions     []booking.WorkspaceDecisions `json:"own"`
	OwnedTargets  booking.TargetUtilization    `json:"targets"`
}

// shareReport decodes the fields of the line.
func (l *line) shareReport() (s shareReport, err error) {
	encoded, err := json.Marshal(l.fields)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(encoded, &s)
}

// nearestShareReport returns the share report of the request's service that the same daemon
// logged closest to the end of the request.
func (l *Log) nearestShareReport(requestLine line) (found line, ok bool) {
	nearest := relatedWindow
	for _, candidate := range l.lines {
		service := requestLine.field("service") // empty if the request was refused before it was parsed
		if candidate.event != eventShareReport || candidate.source != requestLine.source || service != "" && service != candidate.field("service") {
			continue
		}
		if distance := candidate.at.Sub(requestLine.at).Abs(); distance < nearest {
			found, ok, nearest = candidate, true, distance
		}
	}
	return found, ok
}

// addShareReports adds to a timeline the share report nearest to each line of the request.
func (l *Log) addShareReports(timeline, requestLines []line) []line {
	added := map[string]time.Time{}
	for _, requestLine := range requestLines {
		found, ok := l.nearestShareReport(requestLine)
		if ok && !added[found.source].Equal(found.at) {
			added[found.source] = found.at
			timeline = append(timeline, found)
		}
	}
	return timeline
}

// details describes how the service was shared, in tokens per second over the whole fleet, and
// the decisions of the daemon that logged the report since its previous one.
func (s *shareReport) details() []string {
	best := booking.WorkspaceDemand{}
	for _, w := range s.TopWorkspaces {
		if usedTokens(w) > usedTokens(best) {
			best = w
		}
	}
	details := []string{fmt.Sprintf("%sa workspace may have %.0f tokens a second", indent, s.Level)}
	for _, w := range s.TopWorkspaces {
		details = append(details, indent+s.workspaceText(w, best))
	}
	details = append(details, fmt.Sprintf("%sthis daemon refuses %.0f%% of new requests for want of processor time; its %d targets have %.0f%% of their slots taken",
		indent, 100*s.ShedFraction, s.OwnedTargets.Owned, 100*s.OwnedTargets.SlotUtilization))
	for _, w := range s.Decisions {
		details = append(details, fmt.Sprintf("%shere %s was granted %d and refused %s", indent, w.Workspace, w.Granted, refusalCounts(w)))
	}
	return details
}

// usedTokens returns what a workspace was granted and targets have run, as far as the daemon
// knows.
func usedTokens(w booking.WorkspaceDemand) int { return max(0, w.Granted-w.Unused) }

// workspaceText describes what a workspace asked for and got, and the ratio of that to half of
// what the best-served workspace got, or to half of its own demand if that is smaller.
func (s *shareReport) workspaceText(w, best booking.WorkspaceDemand) string {
	text := fmt.Sprintf("%s asked for %d, %d of it refused for want of processor time, and got %d", w.Workspace, w.Asked, w.Shed, usedTokens(w))
	if w.Workspace == best.Workspace || w.Asked == 0 || usedTokens(best) == 0 {
		return text
	}
	reference, source := usedTokens(best), string(best.Workspace)+" got"
	if w.Asked < reference {
		reference, source = w.Asked, "it asked for"
	}
	return text + fmt.Sprintf(": %.2f of half of what %s", 2*float64(usedTokens(w))/float64(reference), source)
}

// refusalCounts lists how many requests of a workspace the daemon refused, by reason.
func refusalCounts(w booking.WorkspaceDecisions) string {
	counts := []string{fmt.Sprintf("%d for want of processor time", w.Shed)}
	if w.Unanswered > 0 {
		counts = append(counts, fmt.Sprintf("%d since no owner answered in time", w.Unanswered))
	}
	var names []string
	for name := range w.Refused {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		counts = append(counts, fmt.Sprintf("%d as an owner (%s)", w.Refused[name], name))
	}
	return strings.Join(counts, ", ")
}
