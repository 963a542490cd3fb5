package eventstream

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// parse feeds text in pieces of the given size and returns what was delivered.
func parse(p *Parser, text string, size int) (delivered string, ids []ID, err error) {
	var out strings.Builder
	p.Deliver = func(e Event) error {
		out.Write(e.Text)
		ids = append(ids, e.ID)
		return nil
	}
	for len(text) > 0 && err == nil {
		n := min(size, len(text))
		err = p.Feed([]byte(text[:n]))
		text = text[n:]
	}
	return out.String(), ids, err
}

func versionField(name, value []byte) bool {
	_, ok := parseNumber(value)
	return string(name) == "weights" && ok
}

// Guards against a sound stream that is rejected or changed: every form that the format allows is delivered
// byte for byte, however it is divided.
func TestSoundStreamsAreDeliveredUnchanged(t *testing.T) {
	for _, text := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"id:1\r\ndata:a\r\n\r\nid:2\r\ndata:b\r\n\r\n",
		"data: a\nid: 3\n\ndata: b\nid: 9\n\nid: 700\ndata: c\n\n",
		"id: 0\ndata: a\n\nid: 1\ndata\n\n",
		"data: a\ndata: b\nid: 1\ndata:\n\n",
		"weights: 3\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nweights: 4\n\n",
		": comment\n\nid: 1\n: inside\ndata: a\n\n:\n\nretry: 500\n\nid: 2\nevent: token\nretry: 10\ndata: b\n\n",
		": comment\nweights: 3\nid: 1\ndata: a\n\n: a\r\n: b\r\nweights: 4\r\n\r\n",
		"retry:\n\nretry\n\nretry: 99999999999999999999\nid: 1\ndata: a\n\n",
		"\n\nid: 1\ndata: a\n\n\n\nid: 2\ndata: \n\n",
		"id: 1\ndata: \x00\xff\r\x01 id: 7 : HTTP/1.1 200 OK\n\nid: 2\ndata: id: 1\n\n",
		"id: 18446744073709551615\ndata: " + strings.Repeat("x", 900<<10) + "\n\n",
	} {
		for _, size := range []int{1, 3, 7, 4096, len(text)} {
			if size == 1 && len(text) > 1000 {
				continue
			}
			p := &Parser{Extra: versionField}
			delivered, _, err := parse(p, text, size)
			if err != nil || delivered != text || p.HasPartialEvent() {
				t.Errorf("%.60q in pieces of %d: %v, delivered %.60q", text, size, err, delivered)
			}
		}
	}
}

// Guards against bytes that are no event of the stream and are delivered as one: nothing of them is, nor of
// what follows them.
func TestBytesThatAreNoEventAreNotDelivered(t *testing.T) {
	const sound = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, c := range []struct {
		bytes string
		want  Violation
	}{
		{"these words are no event\n\n", UnknownField},
		{strings.Repeat("\x00", 100), UnknownField},
		{"<html>\n<title>Bad Gateway</title>\n\n", UnknownField},
		{strings.Repeat("x", 300<<10) + "\n\n", UnknownField},
		{"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nid: 3\ndata: x\n\n", UnknownField},
		{"garbageid: 3\ndata: x\n\n", UnknownField},
		{"garbage\nid: 3\ndata: x\n\n", UnknownField},
		{"garbage: 1\nid: 3\ndata: x\n\n", UnknownField},
		{"ID: 3\ndata: x\n\n", UnknownField},
		{"id: 3\nweights: 1\ndata: x\n\n", UnknownField},
		{"weights: new\nid: 3\ndata: x\n\n", UnknownField},
		{"\ufeffid: 3\ndata: x\n\n", UnknownField},
		{"  \n\n", UnknownField},
		{"data: x\n\n", MissingID},
		{"event: x\n\n", MissingID},
		{"id: 3\n\n", MissingData},
		{"id:\ndata: x\n\n", InvalidValue},
		{"id: three\ndata: x\n\n", InvalidValue},
		{"id: -3\ndata: x\n\n", InvalidValue},
		{"id: +3\ndata: x\n\n", InvalidValue},
		{"id: 3 x\ndata: x\n\n", InvalidValue},
		{"id: 99999999999999999999\ndata: x\n\n", InvalidValue},
		{"retry: soon\n\n", InvalidValue},
		{"id: 3\nid: 4\ndata: x\n\n", RepeatedID},
		{"id: 3\nid: 3\ndata: x\n\n", RepeatedID},
		{"id: 2\ndata: x\n\n", DuplicateID},
		{"id: 1\ndata: x\n\n", IDNotIncreasing},
		{"id: 0\ndata: x\n\n", IDNotIncreasing},
		{"data: " + strings.Repeat("x", MaxEventBytes) + "\n", TooLong},
		{strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 1100), TooLong},
	} {
		for _, size := range []int{1, 5, 4096} {
			if size == 1 && len(c.bytes) > 1000 {
				continue
			}
			p := &Parser{Extra: versionField}
			delivered, ids, err := parse(p, sound+c.bytes+"id: 5\ndata: c\n\n", size)
			if err != c.want || delivered != sound || len(ids) != 2 || p.HasPartialEvent() {
				t.Errorf("%.60q in pieces of %d: %v, want %v, delivered %.60q", c.bytes, size, err, c.want, delivered)
			}
			if _, _, again := parse(p, sound, 9); again != c.want {
				t.Errorf("%.60q: %v after more bytes", c.bytes, again)
			}
		}
	}
}

// Guards against a stream that ends as complete although foreign bytes, or the start of an event, are all that came
// of its rest.
func TestBytesBehindTheLastEventAreAPartialEvent(t *testing.T) {
	for _, rest := range []string{" ", "    ", "\r", "\r\r", "\t", "i", ":"} {
		p := &Parser{}
		if _, _, err := parse(p, "id: 1\ndata: a\n\n"+rest, 4096); err != nil || !p.HasPartialEvent() {
			t.Errorf("%q behind the last event: %v, partial: %v", rest, err, p.HasPartialEvent())
		}
	}
}

// Guards against an event that was cut off and is joined to the next response.
func TestResetDropsPartialEventAndViolation(t *testing.T) {
	is := is.New(t)
	p := &Parser{}
	_, _, err := parse(p, "id: 5\ndata: a\n\nid: 6\ndata: hal", 100)
	is.NoErr(err)
	is.True(p.HasPartialEvent())
	p.Reset()
	is.True(!p.HasPartialEvent())
	delivered, ids, err := parse(p, "id: 2\ndata: b\n\n", 100)
	is.NoErr(err)
	is.Equal(delivered, "id: 2\ndata: b\n\n")
	is.Equal(ids, []ID{{Value: 2, Known: true}})
	_, _, err = parse(p, "x\n", 100)
	is.Equal(err, UnknownField)
	p.Reset()
	_, _, err = parse(p, "id: 1\ndata: b\n\n", 100)
	is.NoErr(err)
}

// Guards against a buffer that stays as large as the largest event of a stream.
func TestLargeEventLeavesNoLargeBuffer(t *testing.T) {
	is := is.New(t)
	p := &Parser{}
	_, _, err := parse(p, "id: 1\ndata: "+strings.Repeat("x", 500<<10)+"\n\n", 4096)
	is.NoErr(err)
	is.True(cap(p.pending) <= maxKeptBytes)
}

// Whatever is received, what is delivered is a prefix of it that holds complete events with increasing IDs.
func TestOnlyAPrefixIsDelivered(t *testing.T) {
	line := rapid.SampledFrom([]string{"id: 1", "id: 2", "id: 3", "id:", "data: x", "data", ": c", "weights: 1", "words", "event: a", "", "", "\r", "id: 2\r"})
	rapid.Check(t, func(rt *rapid.T) {
		text := strings.Join(rapid.SliceOfN(line, 0, 30).Draw(rt, "lines"), "\n") + "\n"
		p := &Parser{Extra: versionField}
		delivered, ids, _ := parse(p, text, rapid.IntRange(1, 20).Draw(rt, "size"))
		if !strings.HasPrefix(text, delivered) {
			rt.Fatalf("%q is no prefix of %q", delivered, text)
		}
		last := ID{}
		for _, id := range ids {
			if id.Known && last.Known && id.Value <= last.Value {
				rt.Fatalf("%v after %v in %q", id, last, text)
			}
			if id.Known {
				last = id
			}
		}
	})
}

// Neither the division of the bytes nor their content makes the parser panic or deliver what was not received.
func FuzzParser(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"), 3)
	f.Add([]byte(": comment\n\nid: 2\r\ndata: b\r\n\r\nid: hal"), 1)
	f.Add([]byte("\n\n\nid:\n\nid: 99999999999999999999\n\n"), 2)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		size = max(1, min(size, 64))
		p, whole := &Parser{}, &Parser{}
		delivered, ids, err := parse(p, string(text), size)
		if !bytes.HasPrefix(text, []byte(delivered)) || !bytes.HasSuffix(text, p.pending) {
			t.Fatalf("%q became %q and %q", text, delivered, p.pending)
		}
		got, _, wholeErr := parse(whole, string(text), len(text))
		if got != delivered || fmt.Sprint(wholeErr) != fmt.Sprint(err) {
			t.Fatalf("%q: %q, %v in pieces of %d, %q, %v as a whole (%v)", text, delivered, err, size, got, wholeErr, ids)
		}
	})
}
