package ingress

import (
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/ident"
)

// Guards against an engine whose data spans several lines: a line after the first would reach the
// caller without its field name, as a line that is no part of the event.
func TestDataOfSeveralLinesStaysOneEvent(t *testing.T) {
	is := is.New(t)
	caller := httptest.NewRecorder()
	sink := newSink(newResponse(caller, ident.NewRequest()), "/v1/completions", true)
	is.NoErr(sink.Chunk(attempt.Chunk{Offset: 2, Tokens: 2, Data: []byte("{\n\n\"tokens\":2\n}")}))
	sink.finish()
	is.Equal(caller.Body.String(), "id: 2\ndata: {\ndata: \ndata: \"tokens\":2\ndata: }\n\ndata: [DONE]\n\n")
}
