package enginestandin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/savorystall/savorystall/internal/ident"
)

const (
	maxBody          = 8 << 20
	defaultMaxTokens = 16
)

// generate serves a new completion or chat request.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var g generation
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&g); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s := newStream(r, &g)
	offset, ok := e.offset(r, s, &g)
	if !ok {
		writeError(w, http.StatusBadRequest, "the answer so far does not fit the offset")
		return
	}
	s.produced = offset
	verdict := e.accept(s, r.Header.Get("Traceparent"))
	if verdict.status != 0 {
		verdict.write(w)
		return
	}
	defer e.detach(s, verdict.reader)
	c := connection{engine: e, stream: s, reader: verdict.reader, fault: verdict.fault, w: w, r: r}
	if g.Stream {
		if offset > 0 {
			w.Header().Set(HeaderContinued, strconv.Itoa(offset))
		}
		c.follow(offset)
		return
	}
	c.whole()
}

// offset returns how many tokens of the answer were generated before; ok is false
// where the text does not hold just these.
func (e *Engine) offset(r *http.Request, s *stream, g *generation) (offset int, ok bool) {
	text := r.Header.Get("Last-Event-ID")
	if text == "" || e.cfg.NoContinue {
		return 0, true
	}
	offset, err := strconv.Atoi(text)
	if err != nil || offset <= 0 || offset >= s.total || g.Answer != Text(s.prompt, offset) {
		return 0, false
	}
	return offset, true
}

func newStream(r *http.Request, g *generation) *stream {
	attempt := r.Header.Get(HeaderAttempt)
	if attempt == "" {
		attempt = "anonymous-" + string(ident.NewAttempt())
	}
	s := &stream{
		attempt: attempt,
		model:   g.Model,
		prompt:  g.text(),
		chat:    g.Messages != nil,
		created: time.Now().Unix(),
		total:   g.MaxTokens,
		readers: map[chan struct{}]struct{}{},
	}
	if s.total <= 0 {
		s.total = defaultMaxTokens
	}
	return s
}

// verdict is what becomes of a new request.
type verdict struct {
	// status is zero for an accepted request.
	status int
	text   string
	// refused marks a request that was not processed.
	refused, leaving bool
	reader           chan struct{}
	fault            *Fault
}

func (v verdict) write(w http.ResponseWriter) {
	if v.refused {
		writeRefusal(w, v.leaving)
		return
	}
	writeError(w, v.status, v.text)
}

func (e *Engine) accept(s *stream, trace string) verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.streams[s.attempt]; known {
		e.counts.Repeated++
		return verdict{status: http.StatusConflict, text: "the attempt is known"}
	}
	fault := e.takeFault(s.prompt)
	full := len(e.running)+len(e.waiting) >= e.cfg.Slots+e.cfg.Queue
	if e.leaving || full || (fault != nil && fault.Kind == FaultRefuse) {
		e.counts.Refused++
		return verdict{status: http.StatusServiceUnavailable, refused: true, leaving: e.leaving}
	}
	if models := e.models(); models != nil && !slices.Contains(models, s.model) {
		e.counts.Refused++
		return verdict{status: http.StatusNotFound, text: "the model is not loaded"}
	}
	e.ran[s.prompt]++
	e.traces[s.prompt] = trace
	e.counts.Started++
	if s.produced > 0 {
		e.counts.Continued++
		e.counts.Reread += PromptTokens(s.prompt) + s.produced
	}
	if fault != nil && fault.Kind == FaultFail {
		return verdict{status: http.StatusInternalServerError, text: "the engine failed"}
	}
	e.streams[s.attempt] = s
	e.waiting = append(e.waiting, s)
	e.cache.store(Prefix(s.prompt), time.Now())
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return verdict{reader: e.attach(s), fault: fault}
}

// resume serves the rest of a stream after the offset in Last-Event-ID.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil || offset < 0 {
		writeError(w, http.StatusBadRequest, "Last-Event-ID is not an offset")
		return
	}
	e.mu.Lock()
	s, ok := e.streams[mux.Vars(r)["attempt"]]
	if !ok || s.canceled || offset > s.total {
		e.mu.Unlock()
		writeError(w, http.StatusNotFound, "no such stream")
		return
	}
	e.counts.Resumed++
	c := connection{engine: e, stream: s, reader: e.attach(s), fault: e.takeFault(s.prompt), w: w, r: r}
	e.mu.Unlock()
	defer e.detach(s, c.reader)
	c.follow(offset)
}

// cancel ends a stream.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[mux.Vars(r)["attempt"]]
	if !ok {
		writeError(w, http.StatusNotFound, "no such stream")
		return
	}
	e.cancelStream(s)
	w.WriteHeader(http.StatusNoContent)
}

// serveStatus answers with figures that are StatusLag old.
func (e *Engine) serveStatus(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refreshStatus(time.Now())
	writeJSON(w, http.StatusOK, e.status)
}
