package ingress

import (
	"context"
	"encoding/json"
	"mime"
	"net/http"
	"strconv"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/savorystall/savorystall/internal/attempt"
	"github.com/savorystall/savorystall/internal/config"
	"github.com/savorystall/savorystall/internal/document"
	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// maxModelBody bounds a body before its service is known.
const maxModelBody = 32 << 20

// bytesPerToken estimates prompt tokens from bytes. It only decides what is
// charged until the engine reports the true count.
const bytesPerToken = 4

// prefixBytes is how much of a prompt its prefix id covers.
const prefixBytes = 256

// modelRequest is what the ingress reads of a caller's JSON.
type modelRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	Choices   int             `json:"n"`
	Tools     json.RawMessage `json:"tools"`
	Functions json.RawMessage `json:"functions"`
}

// model serves completions and chat completions.
func (s *Server) model(w http.ResponseWriter, r *http.Request) {
	answer := newResponse(w, ident.NewRequest())
	j, failure := s.acceptModel(answer, r)
	if failure != nil {
		s.answerFailure(answer, "", failure)
		return
	}
	s.run(r, j)
}

// acceptModel checks everything that can be checked before a target is needed.
func (s *Server) acceptModel(w *response, r *http.Request) (*job, *resultcode.Failure) {
	key, failure := bearer(r)
	if failure != nil {
		return nil, failure
	}
	snapshot, failure := s.admitted(key)
	if failure != nil {
		return nil, failure
	}
	if media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || media != "application/json" {
		return nil, resultcode.Fail(resultcode.UnsupportedMediaType, "send application/json")
	}
	body, failure := s.readBody(w, r, maxModelBody)
	if failure != nil {
		return nil, failure
	}
	var parsed modelRequest
	if failure := parseModel(body, &parsed); failure != nil {
		return nil, failure
	}
	service, ok := snapshot.ByModel(parsed.Model)
	if !ok {
		return nil, resultcode.Fail(resultcode.UnknownService, "model %q", parsed.Model)
	}
	ws, failure := identify(snapshot, service, key)
	if failure != nil {
		return nil, failure
	}
	if limit := service.Document.Limits.BodyBytes; int64(len(body)) > limit {
		return nil, resultcode.Fail(resultcode.BodyTooLarge, "the limit is %d bytes", limit)
	}
	op, ok := service.NamedOperation(r.Header.Get(document.OperationHeader))
	if !ok {
		return nil, resultcode.Fail(resultcode.UnknownOperation, "operation %q", r.Header.Get(document.OperationHeader))
	}
	j := s.newJob(w, r, service, ws, op)
	j.digest = digestOf(r, op.Name, body)
	if failure := s.prepareModel(j, r, parsed, body); failure != nil {
		return nil, failure
	}
	return j, nil
}

// admitted returns the configuration in force if it knows the key. Before any
// configuration is in force, not knowing a key says nothing about it. The head
// is read first: read after the snapshot, it could already belong to the first
// configuration, and a right key was called unknown.
func (s *Server) admitted(key string) (*config.Snapshot, *resultcode.Failure) {
	head := s.Store.Head()
	snapshot := s.Store.Snapshot()
	switch {
	case snapshot.KnownKey(key):
		return snapshot, nil
	case head == 0:
		return nil, resultcode.Fail(resultcode.ConfigurationAbsent, "")
	}
	return nil, resultcode.Fail(resultcode.Unauthenticated, "")
}

func parseModel(body []byte, parsed *modelRequest) *resultcode.Failure {
	if !utf8.Valid(body) {
		// The decoder would put replacement characters in place of what is wrong, and an
		// engine that is sent the body as it came might read another prompt, or none.
		return resultcode.Fail(resultcode.BadRequest, "the body is not UTF-8")
	}
	if err := json.Unmarshal(body, parsed); err != nil {
		return resultcode.Fail(resultcode.BadRequest, "the body is not the JSON of a request: %s", err)
	}
	if parsed.Model == "" {
		return resultcode.Fail(resultcode.BadRequest, "model is missing")
	}
	if parsed.MaxTokens < 0 {
		return resultcode.Fail(resultcode.BadRequest, "max_tokens is negative")
	}
	if len(parsed.Prompt) == 0 && len(parsed.Messages) == 0 {
		return resultcode.Fail(resultcode.BadRequest, "prompt or messages is missing")
	}
	return nil
}

// prepareModel sets up the attempt. The engine is always asked to stream, since
// only a stream can be resumed at its offset; a caller that wants one piece
// gets the chunks put together.
func (s *Server) prepareModel(j *job, r *http.Request, parsed modelRequest, body []byte) *resultcode.Failure {
	streamed, err := withStream(body)
	if err != nil {
		return resultcode.Fail(resultcode.BadRequest, "the body is not a JSON object")
	}
	prompt := append(parsed.Prompt[:len(parsed.Prompt):len(parsed.Prompt)], parsed.Messages...)
	j.prefix = xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
	output := s.estimates.mean(j.grain(), j.service.Document.Limits.MeanCost)
	if parsed.MaxTokens > 0 {
		output = min(output, float64(parsed.MaxTokens))
	}
	so := &soFar{prompt: float64(len(prompt)) / bytesPerToken, keep: j.preemptible(parsed)}
	j.cost = so.prompt + output
	j.stoppable, j.streams = so.keep, parsed.Stream
	j.served = so.end
	j.reread = so.reread
	path, header := r.URL.Path, http.Header{"Content-Type": {r.Header.Get("Content-Type")}}
	limits := j.service.Document.Limits
	var sink modelSink
	j.finish = func() { sink.end() }
	j.attempt = func(ctx context.Context, id ident.Attempt, address string) attempt.Result {
		if !so.begin() {
			// What a failed attempt has left in the sink must not become a part of
			// the next one's answer.
			sink = newSink(j.w, path, parsed.Stream)
		}
		body, err := so.body(streamed)
		if err != nil {
			return notRun(resultcode.Fail(resultcode.BadRequest, "").WithCause(err))
		}
		return s.Runner.Model(ctx, attempt.ModelRequest{
			Attempt: id, Address: address, Path: path, Header: header, Body: body, Unrepeatable: !j.repeatable(),
			FirstTokenTimeout: limits.FirstByteTimeout, NextTokenTimeout: limits.ProgressTimeout, StartOffset: so.tokens,
		}, &progress{sink: sink, so: so, report: func(tokens int) {
			s.Placer.Progress(j.w.request, so.cost(tokens))
		}})
	}
	return nil
}

func newSink(w *response, path string, stream bool) modelSink {
	if stream {
		return &streamer{w: w}
	}
	return &collector{w: w, chat: path == "/v1/chat/completions"}
}

// withStream sets "stream": true and leaves every other field as it came.
func withStream(body []byte) ([]byte, error) {
	return withField(body, "stream", json.RawMessage("true"))
}

// reportEvery is how many tokens pass between two reports of progress to the
// scheduler: about one a second at 67 ms between tokens.
const reportEvery = 16

// progress passes chunks on and reports the tokens from time to time.
type progress struct {
	sink     modelSink
	so       *soFar
	report   func(tokens int)
	tokens   int
	reported int
}

// Chunk implements attempt.Sink.
func (p *progress) Chunk(c attempt.Chunk) error {
	p.tokens += c.Tokens
	if p.tokens-p.reported >= reportEvery {
		p.reported = p.tokens
		p.report(p.tokens)
	}
	if err := p.so.take(c); err != nil {
		return err
	}
	return p.sink.Chunk(c)
}

// models lists the models that the caller's key may use.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	answer := newResponse(w, ident.NewRequest())
	key, failure := bearer(r)
	var snapshot *config.Snapshot
	if failure == nil {
		snapshot, failure = s.admitted(key)
	}
	if failure != nil {
		s.answerFailure(answer, "", failure)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, service := range snapshot.Services() {
		if _, ok := service.Authenticate(key); !ok {
			continue
		}
		for _, name := range service.Document.Models {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: string(service.Document.Service)})
		}
	}
	text, _ := json.Marshal(list) // strings cannot fail
	answer.Header().Set("Content-Type", "application/json")
	answer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = answer.Write(text)
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
