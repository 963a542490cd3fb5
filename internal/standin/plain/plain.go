// Package plainstandin takes the place of a plain service in tests and in the
// daemon's development mode. It echoes what it received in a form that a client
// can verify, records what it ran, and is slow or fails on demand.
package plainstandin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers by which a request asks the stand-in to misbehave.
const (
	// HeaderMark is the mark of a request; the query parameter "mark" is taken
	// where the header is absent.
	HeaderMark = "X-Standin-Mark"
	// HeaderDelay holds the answer back for a Go duration.
	HeaderDelay = "X-Standin-Delay"
	// HeaderFail is one of the Fail words.
	HeaderFail = "X-Standin-Fail"
	// HeaderPadding adds a number of bytes to the answer.
	HeaderPadding = "X-Standin-Padding"
	// HeaderNotProcessed is "true" on an answer to a request that was not run.
	HeaderNotProcessed = "X-Savorystall-Not-Processed"
	// HeaderLeaving is "true" on a refusal of a service that is leaving.
	HeaderLeaving = "X-Savorystall-Leaving"
)

// Words of HeaderFail.
const (
	// FailError answers with status 500.
	FailError = "error"
	// FailReset runs the request and closes the connection without an answer.
	FailReset = "reset"
	// FailCut runs the request and closes the connection within the answer.
	FailCut = "cut"
	// FailSilent runs the request, sends a part of the answer and then nothing.
	FailSilent = "silent"
	// FailMute runs the request and never answers.
	FailMute = "mute"
	// FailRefuse answers that the request was not processed.
	FailRefuse = "refuse"
	// FailUnframed answers without a length; the end of the connection is the
	// end of the answer.
	FailUnframed = "unframed"
)

// Echo is the body of an answer.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
	// BodySHA256 is the hash of the request's body in hexadecimal.
	BodySHA256 string `json:"body_sha256"`
	Mark       string `json:"mark"`
	Padding    string `json:"padding,omitempty"`
}

// Config describes one stand-in.
type Config struct {
	// Delay holds each answer back. Default: none.
	Delay time.Duration
	// MaxBody bounds a request's body in bytes. Default: 8 MiB.
	MaxBody int64
}

const defaultMaxBody = 8 << 20

// Service is a stand-in. It is an http.Handler.
type Service struct {
	cfg  Config
	stop chan struct{}

	mu      sync.Mutex
	ran     map[string]int
	headers map[string]http.Header
	total   int
	leaving bool
}

// New returns a stand-in.
func New(cfg Config) *Service {
	if cfg.MaxBody == 0 {
		cfg.MaxBody = defaultMaxBody
	}
	return &Service{cfg: cfg, stop: make(chan struct{}), ran: map[string]int{}, headers: map[string]http.Header{}}
}

// Close ends the requests that hang.
func (s *Service) Close() { close(s.stop) }

// Ran returns how often a request with this mark was run.
func (s *Service) Ran(mark string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[mark]
}

// Header returns the header of the last request with this mark.
func (s *Service) Header(mark string) http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headers[mark].Clone()
}

// Total returns how many requests were run.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// SetLeaving makes the service refuse new work, or take it again.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// status is the answer to GET /status.
type status struct {
	Leaving bool `json:"leaving"`
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/status" {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, http.StatusOK, status{Leaving: s.leaving})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.MaxBody))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	mark := markOf(r)
	if !s.begin(mark, r.Header) {
		refuse(w, s.isLeaving())
		return
	}
	if !s.wait(r) {
		return
	}
	s.answer(w, r, echoOf(r, body, mark))
}

func refuse(w http.ResponseWriter, leaving bool) {
	w.Header().Set(HeaderNotProcessed, "true")
	if leaving {
		w.Header().Set(HeaderLeaving, "true")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Service) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func markOf(r *http.Request) string {
	if mark := r.Header.Get(HeaderMark); mark != "" {
		return mark
	}
	return r.URL.Query().Get("mark")
}

// begin records a run. It returns false where the request is refused.
func (s *Service) begin(mark string, h http.Header) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || h.Get(HeaderFail) == FailRefuse {
		return false
	}
	s.ran[mark]++
	s.headers[mark] = h.Clone()
	s.total++
	return true
}

func echoOf(r *http.Request, body []byte, mark string) Echo {
	sum := sha256.Sum256(body)
	padding, _ := strconv.Atoi(r.Header.Get(HeaderPadding))
	return Echo{
		Method:     r.Method,
		Path:       r.URL.Path,
		Query:      r.URL.RawQuery,
		BodySHA256: hex.EncodeToString(sum[:]),
		Mark:       mark,
		Padding:    Padding(mark, padding),
	}
}

// Padding returns n bytes that depend on the mark.
func Padding(mark string, n int) string {
	if n <= 0 {
		return ""
	}
	sum := sha256.Sum256([]byte(mark))
	unit := hex.EncodeToString(sum[:])
	b := make([]byte, 0, n+len(unit))
	for len(b) < n {
		b = append(b, unit...)
	}
	return string(b[:n])
}

// wait holds the answer back. It returns false where the caller left.
func (s *Service) wait(r *http.Request) bool {
	delay := s.cfg.Delay
	if d, err := time.ParseDuration(r.Header.Get(HeaderDelay)); err == nil {
		delay = d
	}
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	case <-s.stop:
		panic(http.ErrAbortHandler)
	}
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, echo Echo) {
	switch r.Header.Get(HeaderFail) {
	case FailError:
		writeJSON(w, http.StatusInternalServerError, echo)
	case FailReset:
		panic(http.ErrAbortHandler)
	case FailMute:
		s.hang(r)
	case FailCut:
		writePart(w, echo)
		panic(http.ErrAbortHandler)
	case FailSilent:
		writePart(w, echo)
		s.hang(r)
	case FailUnframed:
		writeUnframed(w, echo)
	default:
		writeJSON(w, http.StatusOK, echo)
	}
}

func (s *Service) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.stop:
	}
	panic(http.ErrAbortHandler)
}

// writePart announces the whole answer and sends the first half of it.
func writePart(w http.ResponseWriter, echo Echo) {
	data, _ := json.Marshal(echo)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
}

func writeUnframed(w http.ResponseWriter, echo Echo) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	data, _ := json.Marshal(echo)
	_, _ = buf.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
	_, _ = buf.Write(data)
	_ = buf.Flush()
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(code)
	_, _ = w.Write(data)
}
