package explain

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/savorystall/savorystall/internal/booking"
)

// eventShared tells once a second how a service is shared.
const eventShared = 701

// sharing is a line about how a service is shared among workspaces.
type sharing struct {
	Level   float64                      `json:"level"`
	Most    []booking.WorkspaceDemand    `json:"most"`
	Sheds   float64                      `json:"sheds"`
	Own     []booking.WorkspaceDecisions `json:"own"`
	Targets booking.TargetUtilization    `json:"targets"`
}

// sharing reads the line's fields.
func (l *line) sharing() (s sharing, err error) {
	text, err := json.Marshal(l.fields)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(text, &s)
}

// sharingNear returns the line about the shares of a request's service that the same daemon
// wrote nearest to the request's end.
func (l *Log) sharingNear(own line) (found line, ok bool) {
	least := around
	for _, each := range l.lines {
		service := own.field("service") // none where the request was hardly read
		if each.event != eventShared || each.source != own.source || service != "" && service != each.field("service") {
			continue
		}
		if off := each.at.Sub(own.at).Abs(); off < least {
			found, ok, least = each, true, off
		}
	}
	return found, ok
}

// addSharing adds to a story the line about shares that is nearest to each of a request's.
func (l *Log) addSharing(story, own []line) []line {
	added := map[string]time.Time{}
	for _, each := range own {
		found, ok := l.sharingNear(each)
		if ok && !added[found.source].Equal(found.at) {
			added[found.source] = found.at
			story = append(story, found)
		}
	}
	return story
}

// sentences say how the service was shared, in tokens a second over the fleet, and what the
// daemon that wrote the line did since the one before.
func (s *sharing) sentences() []string {
	best := booking.WorkspaceDemand{}
	for _, w := range s.Most {
		if got(w) > got(best) {
			best = w
		}
	}
	said := []string{fmt.Sprintf("%sa workspace may have %.0f tokens a second", indent, s.Level)}
	for _, w := range s.Most {
		said = append(said, indent+s.fleet(w, best))
	}
	said = append(said, fmt.Sprintf("%sthis daemon refuses %.0f%% of new requests for want of processor time; its %d targets have %.0f%% of their slots taken",
		indent, 100*s.Sheds, s.Targets.Owned, 100*s.Targets.SlotUtilization))
	for _, w := range s.Own {
		said = append(said, fmt.Sprintf("%shere %s was granted %d and refused %s", indent, w.Workspace, w.Granted, refusals(w)))
	}
	return said
}

// got is what a workspace was granted and targets ran, as far as the daemon knows.
func got(w booking.WorkspaceDemand) int { return max(0, w.Granted-w.Unused) }

// fleet says what a workspace asked for and got, and how near that is to half of what the
// best served one got.
func (s *sharing) fleet(w, best booking.WorkspaceDemand) string {
	text := fmt.Sprintf("%s asked for %d, %d of it refused for want of processor time, and got %d", w.Workspace, w.Asked, w.Shed, got(w))
	if w.Workspace == best.Workspace || w.Asked == 0 || got(best) == 0 {
		return text
	}
	owed, of := got(best), string(best.Workspace)+" got"
	if w.Asked < owed {
		owed, of = w.Asked, "it asked for"
	}
	return text + fmt.Sprintf(": %.2f of half of what %s", 2*float64(got(w))/float64(owed), of)
}

// refusals lists what the daemon refused a workspace, by cause.
func refusals(w booking.WorkspaceDecisions) string {
	list := []string{fmt.Sprintf("%d for want of processor time", w.Shed)}
	if w.Unanswered > 0 {
		list = append(list, fmt.Sprintf("%d since no owner answered in time", w.Unanswered))
	}
	var names []string
	for name := range w.Refused {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		list = append(list, fmt.Sprintf("%d as an owner (%s)", w.Refused[name], name))
	}
	return strings.Join(list, ", ")
}
