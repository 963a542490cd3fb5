package document

import (
	"net/url"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Pattern is a parsed path pattern of an operation.
type Pattern struct {
	segments []segment
	// rest tells that the pattern ends in /**.
	rest bool
}

type segment struct {
	literal string
	// variable tells that any one segment matches.
	variable bool
}

const restSegment = "**"

// ParsePattern reads a pattern such as /v1/cases/{id}/notices or /files/**.
func ParsePattern(text string) (Pattern, error) {
	var p Pattern
	parts, ok := splitPath(text)
	if !ok {
		return p, merry.New("must start with / and hold no empty, '.' or '..' segment")
	}
	for i, part := range parts {
		if part == restSegment {
			if i != len(parts)-1 {
				return p, merry.New("/** is allowed at the end only")
			}
			p.rest = true
			break
		}
		s, err := parseSegment(part)
		if err != nil {
			return p, err
		}
		p.segments = append(p.segments, s)
	}
	return p, nil
}

func parseSegment(part string) (segment, error) {
	if strings.HasPrefix(part, "{") && strings.HasSuffix(part, "}") && len(part) > len("{}") {
		return segment{variable: true}, nil
	}
	if strings.ContainsAny(part, "{}*?#%") {
		return segment{}, merry.Errorf("segment %q: {name} must fill a whole segment, and *, ?, # and %% are not allowed", part)
	}
	return segment{literal: part}, nil
}

// splitPath cuts a path into segments. A path with an empty, "." or ".."
// segment has none: a target may resolve it to another path than the one that
// was matched, and an unrepeatable operation would pass for another.
func splitPath(path string) (parts []string, ok bool) {
	if path == "/" {
		return nil, true
	}
	rest, rooted := strings.CutPrefix(path, "/")
	if !rooted {
		return nil, false
	}
	parts = strings.Split(rest, "/")
	for _, part := range parts {
		if part == "" || part == "." || part == ".." {
			return nil, false
		}
	}
	return parts, true
}

// DecodePath returns the decoded form of an escaped URL path, for Match. It
// refuses a path with an encoded slash or backslash, or with a segment that
// splitPath refuses: the target could cut it into other segments than Match
// does, and an unrepeatable operation would pass for a repeatable one.
func DecodePath(escaped string) (path string, ok bool) {
	lower := strings.ToLower(escaped)
	if strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") || strings.Contains(lower, `\`) {
		return "", false
	}
	path, err := url.PathUnescape(escaped)
	if err != nil {
		return "", false
	}
	_, ok = splitPath(path)
	return path, ok
}

// Match tells whether a decoded URL path matches. /files/** matches /files too.
func (p Pattern) Match(path string) bool {
	parts, ok := splitPath(path)
	return ok && p.matchParts(parts)
}

func (p Pattern) matchParts(parts []string) bool {
	if len(parts) < len(p.segments) || (len(parts) > len(p.segments) && !p.rest) {
		return false
	}
	for i, s := range p.segments {
		if !s.variable && s.literal != parts[i] {
			return false
		}
	}
	return true
}

// MoreSpecific tells whether p takes a path before q where both match: at the
// first difference a literal goes before a variable, and a variable before
// the rest.
func (p Pattern) MoreSpecific(q Pattern) bool {
	for i := 0; i < len(p.segments) && i < len(q.segments); i++ {
		if p.segments[i].variable != q.segments[i].variable {
			return q.segments[i].variable
		}
	}
	if len(p.segments) != len(q.segments) {
		return len(p.segments) > len(q.segments)
	}
	return !p.rest && q.rest
}

// shape is the pattern without the names of its variables: two patterns of one
// shape match the same paths.
func (p Pattern) shape() string {
	var b strings.Builder
	for _, s := range p.segments {
		b.WriteByte('/')
		if s.variable {
			b.WriteString("{}")
		} else {
			b.WriteString(s.literal)
		}
	}
	if p.rest {
		b.WriteString("/**")
	}
	return b.String()
}
