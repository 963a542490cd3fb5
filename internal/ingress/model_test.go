package ingress

import (
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/resultcode"
)

// A prompt in another encoding used to be accepted, and the engine, which receives the
// bytes unchanged, answered a different prompt or failed. Such a request must be rejected
// before anything runs.
func TestNonUTF8BodyIsRejected(t *testing.T) {
	is := is.New(t)
	var parsed modelRequest
	failure := parseModelRequest([]byte("{\"model\":\"m\",\"prompt\":\"d\xe9p\xf4t\"}"), &parsed)
	is.True(failure != nil)
	is.Equal(failure.Code, resultcode.BadRequest)
	is.Equal(parseModelRequest([]byte(`{"model":"m","prompt":"dépôt"}`), &parsed), nil)
}
