// Package plainstandin simulates a plain service for tests and for the daemon's
// development mode. It echoes each request in a form that a client can verify,
// records the requests that it ran, and delays or fails a response on request.
package plainstandin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/savorystall/savorystall/internal/standin/garbage"
)

// Headers with which a request controls the stand-in, and headers of the target
// protocol.
const (
	// HeaderMark is the mark, a string by which a test recognizes the request. If
	// the header is absent, the query parameter "mark" is used.
	HeaderMark = "X-Standin-Mark"
	// HeaderDelay delays the response by a Go duration.
	HeaderDelay = "X-Standin-Delay"
	// HeaderFail selects a failure; its values are the Fail constants.
	HeaderFail = "X-Standin-Fail"
	// HeaderPadding adds this number of bytes to the response.
	HeaderPadding = "X-Standin-Padding"
	// HeaderNotProcessed is "true" on the response to a request that was not run.
	HeaderNotProcessed = "X-Savorystall-Not-Processed"
	// HeaderLeaving is "true" on a rejection by a service that is leaving.
	HeaderLeaving = "X-Savorystall-Leaving"
)

// Values of HeaderFail.
const (
	// FailError responds with status 500.
	FailError = "error"
	// FailReset runs the request and closes the connection without a response.
	FailReset = "reset"
	// FailDisconnect runs the request and closes the connection in the middle of
	// the response.
	FailDisconnect = "cut"
	// FailStall runs the request, sends part of the response and then nothing more.
	FailStall = "silent"
	// FailNoResponse runs the request and never responds.
	FailNoResponse = "mute"
	// FailReject responds that the request was not processed.
	FailReject = "refuse"
	// FailNoLength sends the response without Content-Length; the end of the
	// connection marks its end.
	FailNoLength = "unframed"
	// FailExtraBytes sends bytes behind the complete response, together with it.
	FailExtraBytes = "extra"
	// FailLateExtraBytes sends bytes behind the complete response after
	// extraBytesDelay, when the connection may have been reused.
	FailLateExtraBytes = "extra-late"
	// FailExtraResponse sends the response to another request behind the complete
	// response, together with it.
	FailExtraResponse = "extra-response"
	// FailLateExtraResponse sends the response to another request behind the complete
	// response after extraBytesDelay.
	FailLateExtraResponse = "extra-response-late"
	// FailWrongBody runs the request and sends a body that is not the response's.
	FailWrongBody = "wrong-body"
	// FailNotHTTP runs the request and sends bytes that are no response.
	FailNotHTTP = "not-http"
)

// extraBytesDelay is the delay of FailLateExtraBytes and FailLateExtraResponse.
const extraBytesDelay = 20 * time.Millisecond

// garbageFailures are the failures of which Config.GarbageFraction selects one.
var garbageFailures = []string{FailExtraBytes, FailLateExtraBytes, FailExtraResponse, FailLateExtraResponse, FailWrongBody, FailNotHTTP}

// Echo is the body of a response.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
	// BodySHA256 is the SHA-256 hash of the request body in hexadecimal.
	BodySHA256 string `json:"body_sha256"`
	Mark       string `json:"mark"`
	Padding    string `json:"padding,omitempty"`
}

// Config configures a Service.
type Config struct {
	// Delay is the delay before each response. Default: none.
	Delay time.Duration
	// MaxBody is the maximum size of a request body in bytes. Default: 8 MiB.
	MaxBody int64
	// GarbageFraction is the fraction of responses with bytes that are not the
	// response's. Default: none.
	GarbageFraction float64
	// GarbageSeed seeds the choice of these responses and bytes.
	GarbageSeed uint64
}

const defaultMaxBody = 8 << 20

// Service is a simulated plain service. It is an http.Handler.
type Service struct {
	cfg  Config
	stop chan struct{}

	mu        sync.Mutex
	runCounts map[string]int
	headers   map[string]http.Header
	totalRuns int
	leaving   bool
	rng       *rand.Rand
}

// New returns a Service. Close aborts its open requests.
func New(cfg Config) *Service {
	if cfg.MaxBody == 0 {
		cfg.MaxBody = defaultMaxBody
	}
	return &Service{
		cfg: cfg, stop: make(chan struct{}), runCounts: map[string]int{}, headers: map[string]http.Header{},
		rng: rand.New(rand.NewPCG(cfg.GarbageSeed, 0)),
	}
}

// Close aborts the requests that are delayed or stalled.
func (s *Service) Close() { close(s.stop) }

// RunCount returns the number of requests with this mark that were run.
func (s *Service) RunCount(mark string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCounts[mark]
}

// Header returns the header of the last request with this mark.
func (s *Service) Header(mark string) http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headers[mark].Clone()
}

// TotalRuns returns the number of requests that were run.
func (s *Service) TotalRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalRuns
}

// SetLeaving makes the service reject new requests, or accept them again.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// status is the response to GET /status.
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
	mark := requestMark(r)
	if !s.recordRun(mark, r.Header) {
		writeNotProcessed(w, s.isLeaving())
		return
	}
	if !s.delayResponse(r) {
		return
	}
	s.respond(w, r, newEcho(r, body, mark))
}

func writeNotProcessed(w http.ResponseWriter, leaving bool) {
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

func requestMark(r *http.Request) string {
	if mark := r.Header.Get(HeaderMark); mark != "" {
		return mark
	}
	return r.URL.Query().Get("mark")
}

// recordRun records that a request is run. It returns false if the request is
// rejected.
func (s *Service) recordRun(mark string, h http.Header) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || h.Get(HeaderFail) == FailReject {
		return false
	}
	s.runCounts[mark]++
	s.headers[mark] = h.Clone()
	s.totalRuns++
	return true
}

func newEcho(r *http.Request, body []byte, mark string) Echo {
	sum := sha256.Sum256(body)
	paddingSize, _ := strconv.Atoi(r.Header.Get(HeaderPadding))
	return Echo{
		Method:     r.Method,
		Path:       r.URL.Path,
		Query:      r.URL.RawQuery,
		BodySHA256: hex.EncodeToString(sum[:]),
		Mark:       mark,
		Padding:    Padding(mark, paddingSize),
	}
}

// Padding returns n bytes derived from the mark.
func Padding(mark string, n int) string {
	if n <= 0 {
		return ""
	}
	sum := sha256.Sum256([]byte(mark))
	block := hex.EncodeToString(sum[:])
	b := make([]byte, 0, n+len(block))
	for len(b) < n {
		b = append(b, block...)
	}
	return string(b[:n])
}

// delayResponse waits for the delay of the request. It returns false if the caller
// has disconnected.
func (s *Service) delayResponse(r *http.Request) bool {
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

func (s *Service) respond(w http.ResponseWriter, r *http.Request, echo Echo) {
	failure := s.failure(r)
	switch failure {
	case FailError:
		writeJSON(w, http.StatusInternalServerError, echo)
	case FailReset:
		panic(http.ErrAbortHandler)
	case FailNoResponse:
		s.blockUntilClosed(r)
	case FailDisconnect:
		writeHalf(w, echo)
		panic(http.ErrAbortHandler)
	case FailStall:
		writeHalf(w, echo)
		s.blockUntilClosed(r)
	case FailNoLength:
		writeWithoutLength(w, echo)
	case FailExtraBytes, FailLateExtraBytes, FailExtraResponse, FailLateExtraResponse, FailWrongBody, FailNotHTTP:
		writeGarbage(w, failure, echo)
	default:
		writeJSON(w, http.StatusOK, echo)
	}
}

// failure returns the failure that the request selects, or one of garbageFailures for
// the configured fraction of the other requests; empty if there is none.
func (s *Service) failure(r *http.Request) string {
	failure := r.Header.Get(HeaderFail)
	if failure != "" || s.cfg.GarbageFraction <= 0 {
		return failure
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rng.Float64() >= s.cfg.GarbageFraction {
		return ""
	}
	return garbageFailures[s.rng.IntN(len(garbageFailures))]
}

func (s *Service) blockUntilClosed(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.stop:
	}
	panic(http.ErrAbortHandler)
}

// writeHalf sends a header with the length of the complete response, but only the
// first half of the body.
func writeHalf(w http.ResponseWriter, echo Echo) {
	data, _ := json.Marshal(echo)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
}

func writeWithoutLength(w http.ResponseWriter, echo Echo) {
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

// writeGarbage sends a response with one of garbageFailures and closes the connection.
func writeGarbage(w http.ResponseWriter, failure string, echo Echo) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	send := func(text string) { _, _ = io.WriteString(conn, text) }
	sendLate := func(text string) {
		time.Sleep(extraBytesDelay)
		send(text)
	}
	data, _ := json.Marshal(echo)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(data))
	switch failure {
	case FailExtraBytes:
		send(head + string(data) + garbage.Words.Text(0))
	case FailLateExtraBytes:
		send(head + string(data))
		sendLate(garbage.Words.Text(0))
	case FailExtraResponse:
		send(head + string(data) + garbage.ForeignResponse.Text(0))
	case FailLateExtraResponse:
		send(head + string(data))
		sendLate(garbage.ForeignResponse.Text(0))
	case FailWrongBody:
		send(head + strings.Repeat("g", len(data)))
	case FailNotHTTP:
		send(garbage.Words.Text(0))
	}
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(code)
	_, _ = w.Write(data)
}
