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

// ask sends a completion and returns the status, the header and the body.
func ask(t *testing.T, url, prompt string, header map[string]string, extra string) (int, http.Header, []byte) {
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

func answerText(t *testing.T, body []byte) string {
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

// An engine restarts in the middle of an answer and forgets the stream. The
// caller wanted one piece, so nothing of it has left yet: the request is run
// again, and the pieces of both runs must not be put together.
func TestForgottenStreamIsRunAgainFromItsStart(t *testing.T) {
	is := is.New(t)
	site, a := startDev(t)
	for _, engine := range site.Engines {
		engine.Inject(enginestandin.Fault{Kind: enginestandin.FaultForget, AfterTokens: 3})
	}
	status, _, body := ask(t, a.Callers, "forgotten", nil, "")
	is.Equal(status, http.StatusOK)
	is.Equal(answerText(t, body), enginestandin.Text("forgotten", 8))
}

// A scene tag must not run twice. Its engine forgets the stream: the caller is
// told that it may have run, and its repeat through the same key gets the same
// word and no second run.
func TestUnrepeatableRequestIsNotRunAgain(t *testing.T) {
	is := is.New(t)
	site, a := startDev(t)
	for _, engine := range site.Engines {
		engine.Inject(enginestandin.Fault{Kind: enginestandin.FaultForget, AfterTokens: 3})
	}
	header := map[string]string{"X-Savorystall-Operation": "tag-scene", "Idempotency-Key": "tag-7"}
	for range 2 {
		_, _, body := ask(t, a.Callers, "once", header, "")
		var answer errorAnswer
		is.NoErr(json.Unmarshal(body, &answer))
		is.Equal(answer.Error.Run, resultcode.MayHaveRun)
	}
	runs := 0
	for _, engine := range site.Engines {
		runs += engine.Ran("once")
	}
	is.Equal(runs, 1)
}

// A caller repeats a scene tag because its connection broke after the answer was
// made. It must get the first answer, and the engine must not see the repeat.
func TestRepeatGetsTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	site, a := startDev(t)
	header := map[string]string{"X-Savorystall-Operation": "tag-scene", "Idempotency-Key": "tag-8"}
	status, first, body := ask(t, a.Callers, "twice", header, "")
	is.Equal(status, http.StatusOK)
	is.Equal(first.Get("X-Savorystall-Replayed"), "")
	seen := site.TargetRequests()
	status, again, repeated := ask(t, a.Callers, "twice", header, "")
	is.Equal(status, http.StatusOK)
	is.Equal(again.Get("X-Savorystall-Replayed"), "true")
	is.Equal(string(repeated), string(body))
	is.Equal(site.TargetRequests(), seen)
	status, _, _ = ask(t, a.Callers, "another request", header, "")
	is.Equal(status, resultcode.IdempotencyKeyReused.HTTPStatus)
}

// An engine ends a stream in good order but without its end mark. A caller that
// reads the stream must see that it is cut: no end mark may be added.
func TestCutStreamNeverLooksComplete(t *testing.T) {
	is := is.New(t)
	site, a := startDev(t)
	for _, engine := range site.Engines {
		engine.Inject(enginestandin.Fault{Kind: enginestandin.FaultForget, AfterTokens: 3})
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+a.Callers+"/v1/completions",
		strings.NewReader(`{"model":"recap-1","prompt":"cut","max_tokens":8,"stream":true}`))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+dev.Key)
	request.Header.Set("Content-Type", jsonType)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	is.True(err != nil)                                // the body does not end in good order
	is.True(!strings.Contains(string(text), "[DONE]")) // and has no end mark
}
