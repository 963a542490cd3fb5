package enginestandin_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	enginestandin "github.com/savorystall/savorystall/internal/standin/engine"
	"github.com/savorystall/savorystall/internal/standin/garbage"
)

const garbageTestTokens = 6

// streamText returns the body of the response to a streaming request and whether it was complete.
func streamText(t *testing.T, cfg enginestandin.Config, faults ...enginestandin.Fault) (string, bool) {
	t.Helper()
	is := is.New(t)
	e := enginestandin.New(cfg)
	server := httptest.NewServer(e)
	defer server.Close()
	defer e.Close()
	for _, f := range faults {
		e.Inject(f)
	}
	w, err := http.Post(server.URL+"/v1/completions", "application/json",
		strings.NewReader(fmt.Sprintf(`{"model":"m","prompt":"p","max_tokens":%d,"stream":true}`, garbageTestTokens)))
	is.NoErr(err)
	defer func() { _ = w.Body.Close() }()
	body, err := io.ReadAll(w.Body)
	if err != nil {
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
	}
	return string(body), err == nil
}

// soundTokens returns the number of sound events that a text consists of, or -1 if it holds others.
func soundTokens(text string) int {
	n := 0
	for event := range strings.SplitAfterSeq(text, "\n\n") {
		if event == "" || event == "data: [DONE]\n\n" {
			continue
		}
		data, ok := strings.CutPrefix(event, fmt.Sprintf("id: %d\ndata: ", n+1))
		var chunk struct{ Choices []struct{ Text string } }
		if !ok || json.Unmarshal([]byte(data), &chunk) != nil || chunk.Choices[0].Text != enginestandin.Token("p", n) {
			return -1
		}
		n++
	}
	return n
}

// Guards against an engine that cannot send bytes that are no event, and hides what a daemon does with
// them.
func TestGarbageIsSentBetweenAndBehindSoundEvents(t *testing.T) {
	cfg := enginestandin.Config{HeartbeatInterval: time.Hour}
	for _, kind := range garbage.Kinds() {
		for _, after := range []int{0, 3, garbageTestTokens} {
			for then, wantSound := range map[enginestandin.AfterGarbage]int{
				enginestandin.GarbageContinue:   garbageTestTokens,
				enginestandin.GarbageEnd:        after,
				enginestandin.GarbageDisconnect: after,
			} {
				is := is.New(t)
				text, complete := streamText(t, cfg, enginestandin.Fault{Kind: enginestandin.FaultGarbage, AfterTokens: after, Garbage: kind, AfterGarbage: then})
				before, behind, found := strings.Cut(text, kind.Text(after+1))
				is.True(found)
				is.Equal(soundTokens(before), after)
				is.Equal(soundTokens(before+behind), wantSound)
				is.Equal(complete, then != enginestandin.GarbageDisconnect)
				is.Equal(strings.HasSuffix(text, "data: [DONE]\n\n"), then == enginestandin.GarbageContinue)
			}
		}
	}
}

// Guards against a fraction of spoilt streams that has no effect, or affects all of them.
func TestGarbageFractionSpoilsSomeStreams(t *testing.T) {
	is := is.New(t)
	spoilt := 0
	for seed := range uint64(8) {
		cfg := enginestandin.Config{HeartbeatInterval: time.Hour, GarbageFraction: 1e-12, GarbageSeed: seed}
		text, _ := streamText(t, cfg)
		is.Equal(soundTokens(text), garbageTestTokens)
		cfg.GarbageFraction = 1
		if text, _ = streamText(t, cfg); soundTokens(text) != garbageTestTokens {
			spoilt++
		}
	}
	is.True(spoilt >= 2) // garbage behind the sixth token does not reach these streams
}
