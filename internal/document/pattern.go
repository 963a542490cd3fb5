package document

import (
	"net/url"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Pattern is a parsed path pattern of an operation.
type Pattern struct {
	segments []segment
	// trailingWildcard reports that the pattern ends in /**.
	trailingWildcard bool
}

type segment struct {
	literal string
	// variable reports that the segment matches any single segment.
	variable bool
}

const wildcardSegment = "**"

// ParsePattern parses a pattern such as /v1/cases/{id}/notices or /files/**.
func ParsePattern(text string) (Pattern, error) {
	var p Pattern
	parts, ok := splitPath(text)
	if !ok {
		return p, merry.New("must start with / and hold no empty, '.' or '..' segment")
	}
	for i, part := range parts {
		if part == wildcardSegment {
			if i != len(parts)-1 {
				return p, merry.New("/** is allowed at the end only")
			}
			p.trailingWildcard = true
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

// splitPath splits a path into segments. It rejects a path with an empty, "." or
// ".." segment: the target could resolve it to a different path than the one that
// was matched, and an unrepeatable operation would be handled as another one.
func splitPath(path string) (parts []string, ok bool) {
	if path == "/" {
		return nil, true
	}
	relative, absolute := strings.CutPrefix(path, "/")
	if !absolute {
		return nil, false
	}
	parts = strings.Split(relative, "/")
	for _, part := range parts {
		if part == "" || part == "." || part == ".." {
			return nil, false
		}
	}
	return parts, true
}

// DecodePath decodes an escaped URL path for Match. It rejects a path with a
// backslash, with an encoded slash or backslash, or with a segment that splitPath
// rejects: the target could split it into different segments than Match does, and
// an unrepeatable operation would be handled as a repeatable one.
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

// Match reports whether a decoded URL path matches. /files/** also matches /files.
func (p Pattern) Match(path string) bool {
	parts, ok := splitPath(path)
	return ok && p.matchSegments(parts)
}

func (p Pattern) matchSegments(parts []string) bool {
	if len(parts) < len(p.segments) || (len(parts) > len(p.segments) && !p.trailingWildcard) {
		return false
	}
	for i, s := range p.segments {
		if !s.variable && s.literal != parts[i] {
			return false
		}
	}
	return true
}

// MoreSpecific reports whether p takes precedence over q for a path that both match:
// at the first difference a literal takes precedence over a variable, and a
// variable over the trailing wildcard.
func (p Pattern) MoreSpecific(q Pattern) bool {
	for i := 0; i < len(p.segments) && i < len(q.segments); i++ {
		if p.segments[i].variable != q.segments[i].variable {
			return q.segments[i].variable
		}
	}
	if len(p.segments) != len(q.segments) {
		return len(p.segments) > len(q.segments)
	}
	return !p.trailingWildcard && q.trailingWildcard
}

// shape returns the pattern without the names of its variables. Two patterns of the
// same shape match the same paths.
func (p Pattern) shape() string {
	var builder strings.Builder
	for _, s := range p.segments {
		builder.WriteByte('/')
		if s.variable {
			builder.WriteString("{}")
		} else {
			builder.WriteString(s.literal)
		}
	}
	if p.trailingWildcard {
		builder.WriteString("/**")
	}
	return builder.String()
}
