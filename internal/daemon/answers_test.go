package daemon_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/savorystall/savorystall/internal/dev"
	"github.com/savorystall/savorystall/internal/resultcode"
	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
)

// postCompletion sends a completion request and returns the status, the header and the
// body.
func postCompletion(t *testing.T, url, prompt string, header map[string]string, extra string) (int, http.Header, []byte) {
	t.Helper()
	is := is.New(t)
	body := `{"model":"recap-1","prompt":"` + prompt + `","max_tokens":8` + extra + `}`
	request, err := http.NewRequest(http.MethodPost, "http://"+url+"/v1/completions", strings.NewReader(body))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+dev.Key)
	request.Header.Set("Content-Type", jsonType)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, response.Header, text
}

func completionText(t *testing.T, body []byte) string {
	t.Helper()
	is := is.New(t)
	var answer struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	is.NoErr(json.Unmarshal(body, &answer))
	is.Equal(len(answer.Choices), 1)
	return answer.Choices[0].Text
}

// An engine restarts in the middle of an answer and loses the stream. The caller requested
// a non-streamed answer, of which nothing has been sent yet: the request must run again,
// and the output of the two runs must not be combined.
func TestForgottenStreamIsRestarted(t *testing.T) {
	is := is.New(t)
	emu, addrs := startDev(t)
	for _, engine := range emu.Engines {
		engine.Inject(enginestandin.Fault{Kind: enginestandin.FaultLoseStream, AfterTokens: 3})
	}
	status, _, body := postCompletion(t, addrs.Callers, "forgotten", nil, "")
	is.Equal(status, http.StatusOK)
	is.Equal(completionText(t, body), enginestandin.Text("forgotten", 8))
}

// A non-repeatable request must not run twice. After its engine has lost the stream, the
// caller must be told that it may have run, and a repeat with the same idempotency key must
// get the same outcome without a second run.
func TestNonRepeatableRequestIsNotRetried(t *testing.T) {
	is := is.New(t)
	emu, addrs := startDev(t)
	for _, engine := range emu.Engines {
		engine.Inject(enginestandin.Fault{Kind: enginestandin.FaultLoseStream, AfterTokens: 3})
	}
	header := map[string]string{"X-Savorystall-Operation": "tag-scene", "Idempotency-Key": "tag-7"}
	for range 2 {
		_, _, body := postCompletion(t, addrs.Callers, "once", header, "")
		var answer errorAnswer
		is.NoErr(json.Unmarshal(body, &answer))
		is.Equal(answer.Error.Run, resultcode.MayHaveRun)
	}
	runs := 0
	for _, engine := range emu.Engines {
		runs += engine.RunCount("once")
	}
	is.Equal(runs, 1)
}

// A caller repeats a non-repeatable request because its connection broke after the answer
// was produced. It must get the first answer, and the engine must not see the repeat.
func TestRepeatedRequestGetsStoredAnswer(t *testing.T) {
	is := is.New(t)
	emu, addrs := startDev(t)
	header := map[string]string{"X-Savorystall-Operation": "tag-scene", "Idempotency-Key": "tag-8"}
	status, firstHeader, body := postCompletion(t, addrs.Callers, "twice", header, "")
	is.Equal(status, http.StatusOK)
	is.Equal(firstHeader.Get("X-Savorystall-Replayed"), "")
	requests := emu.TargetRequests()
	status, repeatHeader, repeatBody := postCompletion(t, addrs.Callers, "twice", header, "")
	is.Equal(status, http.StatusOK)
	is.Equal(repeatHeader.Get("X-Savorystall-Replayed"), "true")
	is.Equal(string(repeatBody), string(body))
	is.Equal(emu.TargetRequests(), requests)
	status, _, _ = postCompletion(t, addrs.Callers, "another request", header, "")
	is.Equal(status, resultcode.IdempotencyKeyReused.HTTPStatus)
}

// An engine ends a stream cleanly but without its end marker. A caller that reads the
// stream must see that it is truncated: no end marker may be added.
func TestTruncatedStreamDoesNotLookComplete(t *testing.T) {
	is := is.New(t)
	emu, addrs := startDev(t)
	for _, engine := range emu.Engines {
		engine.Inject(enginestandin.Fault{Kind: enginestandin.FaultLoseStream, AfterTokens: 3})
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+addrs.Callers+"/v1/completions",
		strings.NewReader(`{"model":"recap-1","prompt":"cut","max_tokens":8,"stream":true}`))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+dev.Key)
	request.Header.Set("Content-Type", jsonType)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	is.True(err != nil)                                // the body does not end cleanly
	is.True(!strings.Contains(string(text), "[DONE]")) // and has no end marker
}
