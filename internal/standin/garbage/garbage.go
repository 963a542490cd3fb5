// Package garbage generates bytes that belong to no response, as a faulty target
// sends them within an event stream or behind a complete response.
package garbage

import (
	"fmt"
	"strings"
)

// Kind is a kind of garbage.
type Kind int

// Kinds of garbage. All but UnterminatedWords and UnterminatedEvent end with an
// empty line.
const (
	// Words are words and an empty line.
	Words Kind = iota
	// Zeros are NUL bytes.
	Zeros
	// HTML is an HTML page.
	HTML
	// Long is one line of LongBytes.
	Long
	// ForeignResponse is the late response to another request.
	ForeignResponse
	// NoID is an event without an ID.
	NoID
	// EmptyID is an event whose ID is empty.
	EmptyID
	// WordID is an event whose ID is a word.
	WordID
	// NegativeID is an event whose ID is negative.
	NegativeID
	// UppercaseID is an event whose ID field is spelled in uppercase.
	UppercaseID
	// TwoIDs is an event with two IDs, the first of which is the next one.
	TwoIDs
	// UnterminatedWords are words without a line end, which become part of the
	// first line of the next event.
	UnterminatedWords
	// PassedID is an event whose ID the stream has passed.
	PassedID
	// ZeroID is an event with the ID zero.
	ZeroID
	// FutureID is an event whose ID is FutureIDOffset above the next one. Before
	// another event follows, it looks like an event of a stream whose IDs have gaps.
	FutureID
	// UnterminatedEvent is the start of an event that has the next ID.
	UnterminatedEvent

	kindCount
)

const (
	// LongBytes is the length of Long without its line ends.
	LongBytes = 300_000
	// FutureIDOffset is the distance between the ID of FutureID and the next ID.
	FutureIDOffset = 1_000_000
	// Mark is part of all garbage but Zeros and Long.
	Mark = "garbage"
)

// Kinds returns all kinds.
func Kinds() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

var kindNames = [kindCount]string{
	Words: "words", Zeros: "zeros", HTML: "HTML", Long: "long", ForeignResponse: "foreign response", NoID: "no ID",
	EmptyID: "empty ID", WordID: "word ID", NegativeID: "negative ID", UppercaseID: "uppercase ID", TwoIDs: "two IDs",
	UnterminatedWords: "unterminated words", PassedID: "passed ID", ZeroID: "zero ID", FutureID: "future ID",
	UnterminatedEvent: "unterminated event",
}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// IsTerminated reports whether the garbage ends with an empty line, so that an event
// that follows it begins on its own line.
func (k Kind) IsTerminated() bool { return k != UnterminatedWords && k != UnterminatedEvent }

// NeedsEarlierEvent reports whether the garbage is no event only because an event
// with a higher ID precedes it in the same response.
func (k Kind) NeedsEarlierEvent() bool { return k == PassedID || k == ZeroID }

// NeedsLaterEvent reports whether the garbage is no event only because an event with
// a lower ID follows it.
func (k Kind) NeedsLaterEvent() bool { return k == FutureID }

// NeedsEnd reports whether the garbage is no event only if nothing follows it. An event
// that follows it becomes part of its data.
func (k Kind) NeedsEnd() bool { return k == UnterminatedEvent }

// Response returns the response to another request. Header holds complete lines, which may name that request.
func Response(header string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(foreignBody), foreignBody)
}

const foreignBody = "the " + Mark + " of another request\n\n"

// Text returns the garbage for a place in an event stream before the event with the
// given ID.
func (k Kind) Text(nextID int) string {
	switch k {
	case Words:
		return "these words are " + Mark + "\n\n"
	case Zeros:
		return strings.Repeat("\x00", 64) + "\n\n"
	case HTML:
		return "<html><body>\n<p>" + Mark + "</p>\n</body></html>\n\n"
	case Long:
		return strings.Repeat("g", LongBytes) + "\n\n"
	case ForeignResponse:
		return Response("")
	case UnterminatedWords:
		return "these words are " + Mark
	case UnterminatedEvent:
		return fmt.Sprintf("id: %d\ndata: %s", nextID, Mark)
	case NoID:
		return event("")
	case UppercaseID:
		return event(fmt.Sprintf("ID: %d\n", nextID))
	case TwoIDs:
		return event(fmt.Sprintf("id: %d\nid: %d\n", nextID, nextID+3))
	}
	return event("id: " + k.id(nextID) + "\n")
}

func event(idFields string) string { return idFields + "data: " + Mark + "\n\n" }

// id returns the value of the only ID field.
func (k Kind) id(nextID int) string {
	switch k {
	case WordID:
		return "word"
	case NegativeID:
		return fmt.Sprint(-nextID)
	case PassedID:
		return fmt.Sprint(max(1, nextID-1))
	case ZeroID:
		return "0"
	case FutureID:
		return fmt.Sprint(nextID + FutureIDOffset)
	}
	return ""
}
