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

// maxModelBody is the body size limit that applies before the service, and thus
// its own limit, is known.
const maxModelBody = 32 << 20

// bytesPerToken is the ratio for estimating prompt tokens from bytes. It only
// affects the charge until the engine reports the actual count.
const bytesPerToken = 4

// prefixBytes is the length of the start of a prompt that its prefix hash covers.
const prefixBytes = 256

// modelRequest holds the fields of the request JSON that the ingress evaluates.
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

// handleModel serves completions and chat completions.
func (s *Server) handleModel(w http.ResponseWriter, r *http.Request) {
	resp := newResponse(w, ident.NewRequest())
	j, failure := s.acceptModel(resp, r)
	if failure != nil {
		s.writeFailure(resp, "", failure)
		return
	}
	s.run(r, j)
}

// acceptModel performs all checks that do not need a target and returns the job.
func (s *Server) acceptModel(w *response, r *http.Request) (*job, *resultcode.Failure) {
	snapshot, key, failure := s.snapshotForCaller(r)
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
	if failure := parseModelRequest(body, &parsed); failure != nil {
		return nil, failure
	}
	service, ok := snapshot.ByModel(parsed.Model)
	if !ok {
		return nil, resultcode.Fail(resultcode.UnknownService, "model %q", parsed.Model)
	}
	ws, failure := authenticate(snapshot, service, key)
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
	j.digest = requestDigest(r, op.Name, body)
	if failure := s.prepareModel(j, r, parsed, body); failure != nil {
		return nil, failure
	}
	return j, nil
}

// snapshotForCaller returns the active configuration and the caller's API key.
func (s *Server) snapshotForCaller(r *http.Request) (*config.Snapshot, string, *resultcode.Failure) {
	key, failure := bearerToken(r)
	if failure != nil {
		return nil, "", failure
	}
	snapshot, failure := s.snapshotForKey(key)
	return snapshot, key, failure
}

// snapshotForKey returns the active configuration if it contains the key. Before
// any configuration is active, it fails with ConfigurationAbsent, because a valid
// key cannot be told from an unknown one. The head must be read before the
// snapshot: otherwise it could already belong to the first configuration while
// the snapshot is still empty, and a valid key would be rejected as unknown.
func (s *Server) snapshotForKey(key string) (*config.Snapshot, *resultcode.Failure) {
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

func parseModelRequest(body []byte, parsed *modelRequest) *resultcode.Failure {
	if !utf8.Valid(body) {
		// The decoder would substitute replacement characters for invalid bytes, while the
		// engine receives the body unchanged and might read a different prompt or fail.
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

// prepareModel sets the functions and the cost of a model job. The engine is
// always asked for a stream, because only a stream can be resumed at its offset.
// For a caller that did not ask for a stream the chunks are joined.
func (s *Server) prepareModel(j *job, r *http.Request, parsed modelRequest, body []byte) *resultcode.Failure {
	streamBody, err := withStreaming(body)
	if err != nil {
		return resultcode.Fail(resultcode.BadRequest, "the body is not a JSON object")
	}
	prompt := append(parsed.Prompt[:len(parsed.Prompt):len(parsed.Prompt)], parsed.Messages...)
	j.prefixHash = xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
	output := s.costs.mean(j.estimateKey(), j.service.Document.Limits.MeanCost)
	if parsed.MaxTokens > 0 {
		output = min(output, float64(parsed.MaxTokens))
	}
	resume := &resumeState{promptCost: float64(len(prompt)) / bytesPerToken, keepText: j.allowsPreemption(parsed)}
	j.cost = resume.promptCost + output
	j.preemptible, j.streaming = resume.keepText, parsed.Stream
	j.servedCost = resume.endAttempt
	j.reprocessedTokens = resume.reprocessedTokens
	path, header := r.URL.Path, http.Header{"Content-Type": {r.Header.Get("Content-Type")}}
	limits := j.service.Document.Limits
	var sink modelSink
	j.completeResponse = func() { sink.finish() }
	j.runAttempt = func(ctx context.Context, id ident.Attempt, address string) attempt.Result {
		if !resume.beginAttempt() {
			// The output of a failed attempt must not become part of the response
			// of the next one.
			sink = newSink(j.w, path, parsed.Stream)
		}
		body, err := resume.resumeBody(streamBody)
		if err != nil {
			return notRunResult(resultcode.Fail(resultcode.BadRequest, "").WithCause(err))
		}
		return s.Runner.Model(ctx, attempt.ModelRequest{
			Attempt: id, Address: address, Path: path, Header: header, Body: body, Unrepeatable: !j.repeatable(),
			FirstTokenTimeout: limits.FirstByteTimeout, NextTokenTimeout: limits.ProgressTimeout, StartOffset: resume.preemptedTokens,
		}, &progressReporter{sink: sink, resume: resume, report: func(tokens int) {
			s.Placer.Progress(j.w.requestID, resume.attemptCost(tokens))
		}})
	}
	return nil
}

func newSink(w *response, path string, stream bool) modelSink {
	if stream {
		return &sseWriter{w: w}
	}
	return &collector{w: w, chat: path == "/v1/chat/completions"}
}

// withStreaming sets "stream": true and preserves all other fields.
func withStreaming(body []byte) ([]byte, error) {
	return withField(body, "stream", json.RawMessage("true"))
}

// progressReportTokens is the number of tokens between two progress reports to the
// scheduler: about one report per second at 67 ms per token.
const progressReportTokens = 16

// progressReporter forwards chunks to a sink and periodically reports the number
// of tokens.
type progressReporter struct {
	sink         modelSink
	resume       *resumeState
	report       func(tokens int)
	tokens       int
	lastReported int
}

// Chunk implements attempt.Sink.
func (p *progressReporter) Chunk(c attempt.Chunk) error {
	p.tokens += c.Tokens
	if p.tokens-p.lastReported >= progressReportTokens {
		p.lastReported = p.tokens
		p.report(p.tokens)
	}
	if err := p.resume.addChunk(c); err != nil {
		return err
	}
	return p.sink.Chunk(c)
}

// handleModelList lists the models that the caller's key may use.
func (s *Server) handleModelList(w http.ResponseWriter, r *http.Request) {
	resp := newResponse(w, ident.NewRequest())
	snapshot, key, failure := s.snapshotForCaller(r)
	if failure != nil {
		s.writeFailure(resp, "", failure)
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
	text, _ := json.Marshal(list) // marshaling strings cannot fail
	resp.Header().Set("Content-Type", "application/json")
	resp.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = resp.Write(text)
}

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
