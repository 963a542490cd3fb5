// Package responsehead rejects responses whose heads are none by the protocol (RFC 9112, sections 4
// and 5), before anything that they state is believed.
//
// net/http, by which all heads are parsed, reads such heads leniently: it takes any three digits for a
// status, a field whose name holds a blank for one that states nothing, and a line that begins with a
// blank for the rest of the one before it. A field that would state the length of the body or whose
// response it is then counts as absent.
package responsehead

import "net/http"

// Violation is the error of a head that breaks a rule of the protocol.
type Violation string

// Error implements error.
func (v Violation) Error() string { return "malformed response: " + string(v) }

// Violations of a head.
const (
	ErrVersion   = Violation("the status line does not begin with HTTP/1 and a minor version")
	ErrStatus    = Violation("the status is not a number from 100 to 599")
	ErrReason    = Violation("a control byte in the reason")
	ErrFieldName = Violation("a blank, control or other invalid byte in the name of a field")
	ErrNoName    = Violation("a line that begins with a blank or has no name of a field")
	ErrValue     = Violation("a control byte in the value of a field")
	ErrFraming   = Violation("a Transfer-Encoding in a response of HTTP/1.0, which has none")
)

// Statuses of responses (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// state is what the next byte of a head belongs to.
type state int

const (
	inVersion state = iota
	inStatus
	afterStatus
	inReason
	afterReason
	atLine
	inName
	inValue
	afterValue
	afterHead
	done
)

// Checker checks the heads of one response: those of its interim responses and its own. The zero value
// expects the first byte of the first one.
type Checker struct {
	state state
	// position is the number of bytes of the version or of the status that were read.
	position int
	status   int
	// minorVersion is a digit.
	minorVersion byte
	// matched is how many bytes of the name match framingName; noMatch if one did not.
	matched int
}

// framingName is the name of a field that net/http drops from a response of HTTP/1.0: the body would be passed on
// together with the framing of its chunks (RFC 9112, section 6.1).
const framingName = "transfer-encoding"

// noMatch is the number of matched bytes of another name.
const noMatch = -1

// Done reports whether the response's own head has ended, so that its body follows.
func (c *Checker) Done() bool { return c.state == done }

// Check checks the next bytes of a response up to the end of its own head, and returns how many bytes it
// has checked. If the error is a Violation, the last of them is the one that breaks the rule. The rest of
// the head has not been read by then, so that no reader of these bytes takes the head for complete.
func (c *Checker) Check(p []byte) (n int, err error) {
	for n < len(p) && !c.Done() {
		b := p[n]
		n++
		if err := c.next(b); err != nil {
			return n, err
		}
	}
	return n, nil
}

func (c *Checker) next(b byte) error {
	switch c.state {
	case inVersion:
		return c.version(b)
	case inStatus:
		return c.statusDigit(b)
	case afterStatus:
		return c.reasonStart(b)
	case inReason:
		return c.text(b, afterReason, ErrReason)
	case afterReason:
		return c.lineFeed(b, atLine, ErrReason)
	case atLine:
		return c.lineStart(b)
	case inName:
		return c.name(b)
	case inValue:
		return c.text(b, afterValue, ErrValue)
	case afterValue:
		return c.lineFeed(b, atLine, ErrValue)
	case afterHead:
		if b != '\n' {
			return ErrNoName
		}
		c.endHead()
	}
	return nil
}

// versionPattern is the version and the blank behind it; a zero stands for any digit.
const versionPattern = "HTTP/1.0 "

func (c *Checker) version(b byte) error {
	want := versionPattern[c.position]
	switch {
	case want == '0' && isDigit(b):
		c.minorVersion = b
	case b != want:
		return ErrVersion
	}
	if c.position++; c.position == len(versionPattern) {
		c.state, c.position, c.status = inStatus, 0, 0
	}
	return nil
}

// statusDigits is the length of a status.
const statusDigits = 3

func (c *Checker) statusDigit(b byte) error {
	if !isDigit(b) {
		return ErrStatus
	}
	c.status = c.status*10 + int(b-'0')
	if c.position++; c.position < statusDigits {
		return nil
	}
	if c.status < minStatus || c.status > maxStatus {
		return ErrStatus
	}
	c.state = afterStatus
	return nil
}

// reasonStart takes the byte behind the status: a blank, or the end of a line without a reason.
func (c *Checker) reasonStart(b byte) error {
	switch b {
	case ' ':
		c.state = inReason
	case '\r':
		c.state = afterReason
	case '\n':
		c.state = atLine
	default:
		return ErrStatus
	}
	return nil
}

// text takes a byte of a reason or value, which ends with its line.
func (c *Checker) text(b byte, afterReturn state, violation Violation) error {
	switch {
	case b == '\r':
		c.state = afterReturn
	case b == '\n':
		c.state = atLine
	case isControl(b):
		return violation
	}
	return nil
}

// lineFeed takes the byte behind a carriage return, which ends a line only together with a line feed.
func (c *Checker) lineFeed(b byte, next state, violation Violation) error {
	if b != '\n' {
		return violation
	}
	c.state = next
	return nil
}

func (c *Checker) lineStart(b byte) error {
	switch {
	case b == '\r':
		c.state = afterHead
	case b == '\n':
		c.endHead()
	case isToken(b):
		c.state, c.matched = inName, 0
		c.matchName(b)
	default:
		return ErrNoName
	}
	return nil
}

func (c *Checker) name(b byte) error {
	switch {
	case b == ':' && c.minorVersion == '0' && c.matched == len(framingName):
		return ErrFraming
	case b == ':':
		c.state = inValue
	case !isToken(b):
		return ErrFieldName
	default:
		c.matchName(b)
	}
	return nil
}

// matchName compares the next byte of a name with framingName.
func (c *Checker) matchName(b byte) {
	if c.matched != noMatch && c.matched < len(framingName) && lower(b) == framingName[c.matched] {
		c.matched++
		return
	}
	c.matched = noMatch
}

func lower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

// endHead ends a head. Another one follows that of an interim response, unless it switches protocols.
func (c *Checker) endHead() {
	c.state, c.position = done, 0
	if c.status < http.StatusOK && c.status != http.StatusSwitchingProtocols {
		c.state = inVersion
	}
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// isControl reports whether a byte may not stand in a reason or value (RFC 9110, section 5.5). A tab may.
func isControl(b byte) bool { return b < ' ' && b != '\t' || b == '\x7f' }

// tokenBytes holds the bytes of a token other than letters and digits (RFC 9110, section 5.6.2).
const tokenBytes = "!#$%&'*+-.^_`|~"

// isTokenByte is set for the bytes of a token.
var isTokenByte = func() (set [256]bool) {
	for b := range set {
		set[b] = isDigit(byte(b)) || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
	}
	for i := range len(tokenBytes) {
		set[tokenBytes[i]] = true
	}
	return set
}()

func isToken(b byte) bool { return isTokenByte[b] }

// CheckTrailer returns the error of a trailer whose names are none. It is read by net/http, which has rejected
// other malformed lines by then.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		for i := range len(name) {
			if !isToken(name[i]) {
				return ErrFieldName
			}
		}
	}
	return nil
}
