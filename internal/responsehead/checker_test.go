package responsehead_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/savorystall/savorystall/internal/responsehead"
)

const rest = "A: b\r\nContent-Length: 2\r\n\r\nhi"

// soundHeads are heads of responses, each followed by a body of two bytes.
func soundHeads() []string {
	return []string{
		"HTTP/1.1 200 OK\r\n" + rest,
		"HTTP/1.0 404 Not Found\r\n" + rest,
		"HTTP/1.0 200 OK\r\nTransfer-Encodings: a\r\nX-Transfer-Encoding: a\r\nTransfer: a\r\n" + rest,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + rest,
		"HTTP/1.7 599 \r\n" + rest,
		"HTTP/1.1 200\r\n" + rest,
		"HTTP/1.1 200 \tsehr gut \xfc\r\n" + rest,
		strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+rest, "\r\n", "\n"),
		"HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~9:\r\nY: \t a: b \xfc\t\r\n" + rest,
		"HTTP/1.1 204 No Content\r\n\r\nhi",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nhi",
	}
}

// checkAll checks a response in parts of the given size, and returns the number of bytes up to the end of its head.
func checkAll(text string, size int) (n int, err error) {
	var c responsehead.Checker
	for n < len(text) && !c.Done() {
		checked, err := c.Check([]byte(text[n:min(n+size, len(text))]))
		if n += checked; err != nil {
			return n, err
		}
	}
	return n, nil
}

// Guards against a sound response that is rejected, or whose end of the head is missed, in whatever parts it arrives.
func TestSoundHeadsPass(t *testing.T) {
	for _, text := range soundHeads() {
		for size := 1; size <= len(text); size++ {
			if n, err := checkAll(text, size); err != nil || text[n:] != "hi" {
				t.Errorf("%.60q in parts of %d bytes: the body is %q, %v", text, size, text[n:], err)
			}
		}
	}
}

// brokenHead is a head that breaks a rule with the last byte of upTo.
type brokenHead struct {
	upTo, rest string
	want       responsehead.Violation
}

func checkBrokenHeads(t *testing.T, heads []brokenHead) {
	t.Helper()
	for _, head := range heads {
		for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			text := before + head.upTo + head.rest
			for size := 1; size <= len(text); size++ {
				n, err := checkAll(text, size)
				if !errors.Is(err, head.want) || n != len(before+head.upTo) {
					t.Errorf("%q in parts of %d bytes: %v after %d bytes, want %v after %d", text, size, err, n, head.want, len(before+head.upTo))
				}
			}
		}
	}
}

// Guards against a status line that is none and is believed: it would be taken for an interim response, and the body
// of its answer for the next one.
func TestStatusLinesThatAreNoneFail(t *testing.T) {
	checkBrokenHeads(t, []brokenHead{
		{"HTTP/1.1 000", " X\r\n" + rest, responsehead.ErrStatus},
		{"HTTP/1.1 001", " X\r\n" + rest, responsehead.ErrStatus},
		{"HTTP/1.1 099", " X\r\n" + rest, responsehead.ErrStatus},
		{"HTTP/1.1 600", " X\r\n" + rest, responsehead.ErrStatus},
		{"HTTP/1.1 999", " X\r\n" + rest, responsehead.ErrStatus},
		{"HTTP/1.1 +", "20 X\r\n" + rest, responsehead.ErrStatus},
		{"HTTP/1.1 2 ", "00 X\r\n" + rest, responsehead.ErrStatus},
		{"HTTP/1.1 20 ", "X\r\n" + rest, responsehead.ErrStatus},
		{"HTTP/1.1 2000", " X\r\n" + rest, responsehead.ErrStatus},
		{"HTTP/1.1 200\t", "OK\r\n" + rest, responsehead.ErrStatus},
		{"HTTP/1.1  ", "200 OK\r\n" + rest, responsehead.ErrStatus},
		{"HTTP/1.1 \r", "\n" + rest, responsehead.ErrStatus},
		{"HTTP/2", ".0 200 OK\r\n" + rest, responsehead.ErrVersion},
		{"HTTP/9", ".9 200 OK\r\n" + rest, responsehead.ErrVersion},
		{"HTTP/1.10", " 200 OK\r\n" + rest, responsehead.ErrVersion},
		{"h", "ttp/1.1 200 OK\r\n" + rest, responsehead.ErrVersion},
		{"\r", "\nHTTP/1.1 200 OK\r\n" + rest, responsehead.ErrVersion},
		{"HTTP/1.1 200 O\x00", "K\r\n" + rest, responsehead.ErrReason},
		{"HTTP/1.1 200 OK\rX", "\r\n" + rest, responsehead.ErrReason},
		{"HTTP/1.1 200 \x7f", "\r\n" + rest, responsehead.ErrReason},
	})
}

// Guards against a line that is no field and is left out of a head, or read otherwise: the caller would get a body
// that is not the target's.
func TestLinesThatAreNoFieldFail(t *testing.T) {
	var heads []brokenHead
	for _, before := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n", "HTTP/1.1 200 OK\nA: b\n"} {
		heads = append(heads,
			brokenHead{before + "X ", "Sum: a\r\n" + rest, responsehead.ErrFieldName},
			brokenHead{before + "Content-Length ", ": 1\r\n" + rest, responsehead.ErrFieldName},
			brokenHead{before + "Transfer-Encoding\t", ": chunked\r\n" + rest, responsehead.ErrFieldName},
			brokenHead{before + "X\x00", ": a\r\n" + rest, responsehead.ErrFieldName},
			brokenHead{before + "X\xfc", ": a\r\n" + rest, responsehead.ErrFieldName},
			brokenHead{before + "X\r", "\n" + rest, responsehead.ErrFieldName},
			brokenHead{before + "X\n", rest, responsehead.ErrFieldName},
			brokenHead{before + ":", " a\r\n" + rest, responsehead.ErrNoName},
			brokenHead{before + " ", "X: a\r\n" + rest, responsehead.ErrNoName},
			brokenHead{before + "\t", "\r\n" + rest, responsehead.ErrNoName},
			brokenHead{before + "\rX", ": a\r\n" + rest, responsehead.ErrNoName},
			brokenHead{before + "X: a\x00", "\r\n" + rest, responsehead.ErrValue},
			brokenHead{before + "X: a\rb", "\r\n" + rest, responsehead.ErrValue},
			brokenHead{before + "X: a\x7f", "\r\n" + rest, responsehead.ErrValue},
		)
	}
	checkBrokenHeads(t, heads)
}

// Guards against a body that holds the framing of its chunks, since its response is one of HTTP/1.0 and says that it has
// chunks.
func TestChunksOfHTTP10Fail(t *testing.T) {
	var heads []brokenHead
	for _, name := range []string{"Transfer-Encoding", "transfer-encoding", "TRANSFER-ENCODING"} {
		heads = append(heads, brokenHead{"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n" + name + ":", " chunked\r\n" + rest, responsehead.ErrFraming})
	}
	checkBrokenHeads(t, heads)
}

// Guards against a trailer with a name that is none, which net/http lets pass.
func TestTrailersWithNamesThatAreNoneFail(t *testing.T) {
	for name, want := range map[string]error{"X-Sum": nil, "X Sum": responsehead.ErrFieldName, "X-Sum ": responsehead.ErrFieldName, "X\x01": responsehead.ErrFieldName} {
		if err := responsehead.CheckTrailer(http.Header{"A": {"b"}, name: {"a"}}); err != want {
			t.Errorf("%q: %v, want %v", name, err, want)
		}
	}
}
