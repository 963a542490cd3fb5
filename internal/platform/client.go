package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/uber-go/tally/v4"

	"github.com/savorystall/savorystall/internal/clock"
	"github.com/savorystall/savorystall/internal/event"
	"github.com/savorystall/savorystall/internal/responsehead"
)

// Defaults of ClientConfig.
const (
	DefaultAttemptTimeout = 2 * time.Second
	DefaultCallTimeout    = 20 * time.Second
	DefaultMaxInFlight    = 32
	DefaultMaxBody        = 64 << 20
)

const (
	// retryBase and retryCap bound the full-jitter backoff between the attempts
	// of one call.
	retryBase = 50 * time.Millisecond
	retryCap  = 2 * time.Second
	// minConclusiveDuration is how long an attempt that ends at its caller's
	// deadline must have lasted to count as a failure of the store.
	minConclusiveDuration = 250 * time.Millisecond
	// slowTimeoutFactor multiplies the timeout of an attempt while the store is
	// slow.
	slowTimeoutFactor = 2
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// URL is the base URL of the platform's HTTP API, such as
	// "http://127.0.0.1:9000"; required.
	URL string
	// Token is sent as a bearer token; if it is empty, none is sent.
	Token string
	// AttemptTimeout bounds one HTTP request; default 2s. It is doubled while
	// the store is slow.
	AttemptTimeout time.Duration
	// CallTimeout bounds a call including all its attempts, unless its context
	// has an earlier deadline; default 20s.
	CallTimeout time.Duration
	// MaxInFlight bounds the concurrent requests to one store; default 32.
	MaxInFlight int
	// HTTP sends the requests; default a dedicated client that follows no
	// redirects.
	HTTP *http.Client
	// Clock defaults to the system clock.
	Clock clock.Clock
	// Random returns a number in [0,1); default math/rand/v2.
	Random func() float64
	// Logger defaults to slog.Default.
	Logger *slog.Logger
	// Scope receives the metrics; default none.
	Scope tally.Scope
}

func (c *ClientConfig) applyDefaults() {
	if c.AttemptTimeout <= 0 {
		c.AttemptTimeout = DefaultAttemptTimeout
	}
	if c.CallTimeout <= 0 {
		c.CallTimeout = DefaultCallTimeout
	}
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	if c.HTTP == nil {
		c.HTTP = newHTTPClient(c.MaxInFlight)
	}
	if c.Clock == nil {
		c.Clock = clock.Real
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
}

// newHTTPClient returns a client that never follows a redirect: the API has
// none, and a redirected POST would be repeated as a GET.
func newHTTPClient(maxIdleConns int) *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = maxIdleConns
	return &http.Client{
		Transport: responsehead.NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Client calls the platform's HTTP/JSON API. It implements Table, Objects, VMs
// and Weights, and is safe for concurrent use. During an outage its calls wait
// for the store to recover for as long as their context allows.
type Client struct {
	config  ClientConfig
	table   *storeClient
	objects *storeClient
	vms     *storeClient
	weights *storeClient
}

var (
	_ Table   = (*Client)(nil)
	_ Objects = (*Client)(nil)
	_ VMs     = (*Client)(nil)
	_ Weights = (*Client)(nil)
)

// NewClient returns a Client without making any call.
func NewClient(c ClientConfig) *Client {
	c.applyDefaults()
	c.URL = strings.TrimSuffix(c.URL, "/")
	return &Client{
		config:  c,
		table:   newStoreClient("table", c),
		objects: newStoreClient("objects", c),
		vms:     newStoreClient("vms", c),
		weights: newStoreClient("weights", c),
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.config.HTTP.CloseIdleConnections() }

// storeClient is the state of the client for one store of the platform. Each
// has its own circuit breaker because the stores fail independently.
type storeClient struct {
	name     string
	config   ClientConfig
	breaker  *circuitBreaker
	budget   *retryBudget
	inFlight chan struct{}
	slow     atomic.Bool
	metrics  storeMetrics
}

// attemptTimeout returns the timeout of the next attempt.
func (s *storeClient) attemptTimeout() time.Duration {
	if s.slow.Load() {
		return slowTimeoutFactor * s.config.AttemptTimeout
	}
	return s.config.AttemptTimeout
}

// updateSlow updates whether the store counts as slow. If a store's latency
// exceeds the timeout of an attempt for a long time, a fixed timeout would abort
// every attempt, and the store would count as unavailable although it answers.
func (s *storeClient) updateSlow(elapsed time.Duration, err *attemptError) {
	switch {
	case err == nil && elapsed < s.config.AttemptTimeout/2:
		s.slow.Store(false)
	case err != nil && elapsed >= s.config.AttemptTimeout:
		s.slow.Store(true)
	}
}

type storeMetrics struct {
	attempts, failures, retries tally.Counter
	outage                      tally.Gauge
	latency                     tally.Timer
}

func newStoreClient(name string, c ClientConfig) *storeClient {
	scope := c.Scope.SubScope("platform").Tagged(map[string]string{"store": name})
	return &storeClient{
		name:     name,
		config:   c,
		breaker:  newCircuitBreaker(c.Random),
		budget:   newRetryBudget(),
		inFlight: make(chan struct{}, c.MaxInFlight),
		metrics: storeMetrics{
			attempts: scope.Counter("tries"),
			failures: scope.Counter("failures"),
			retries:  scope.Counter("retries"),
			outage:   scope.Gauge("outage"),
			latency:  scope.Timer("latency"),
		},
	}
}

// httpRequest is an HTTP request to a store.
type httpRequest struct {
	method, path string
	body         []byte
	contentType  string
}

// storeResponse is a complete HTTP response.
type storeResponse struct {
	status int
	body   []byte
}

// attemptError is the error of an attempt without a usable response.
type attemptError struct {
	cause error
	// maybeApplied reports that the store may have acted on the request.
	maybeApplied bool
	// throttled reports that the store limited the request rate; it is
	// available.
	throttled bool
}

func (e *attemptError) Error() string { return e.cause.Error() }

func (e *attemptError) Unwrap() error { return e.cause }

// attempt sends a request once, as soon as the circuit breaker and the limit on
// concurrent requests allow it.
func (s *storeClient) attempt(ctx context.Context, req httpRequest) (storeResponse, *attemptError) {
	probe, err := s.acquire(ctx)
	if err != nil {
		return storeResponse{}, &attemptError{cause: err}
	}
	defer func() { <-s.inFlight }()
	started := s.config.Clock.Now()
	resp, attemptErr := s.roundTrip(ctx, req)
	now := s.config.Clock.Now()
	s.updateSlow(now.Sub(started), attemptErr)
	s.metrics.attempts.Inc(1)
	s.metrics.latency.Record(now.Sub(started))
	s.recordOutcome(now, probe, outcomeOf(ctx, attemptErr, now.Sub(started)))
	return resp, attemptErr
}

func outcomeOf(ctx context.Context, err *attemptError, elapsed time.Duration) callOutcome {
	switch {
	case err == nil || err.throttled:
		return outcomeAnswered
	case ctx.Err() == nil:
		return outcomeFailed
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && elapsed >= minConclusiveDuration:
		return outcomeFailed
	}
	return outcomeInconclusive
}

func (s *storeClient) recordOutcome(now time.Time, probe bool, outcome callOutcome) {
	if outcome == outcomeFailed {
		s.metrics.failures.Inc(1)
	}
	opened, closed := s.breaker.report(now, probe, outcome)
	if opened {
		s.metrics.outage.Update(1)
		event.PlatformOutage.Log(s.config.Logger, "store", s.name)
	}
	if closed {
		s.metrics.outage.Update(0)
		event.PlatformRecovered.Log(s.config.Logger, "store", s.name)
	}
}

// acquire waits until the limit on concurrent requests and the circuit breaker
// allow a request.
func (s *storeClient) acquire(ctx context.Context) (probe bool, err error) {
	for {
		select {
		case s.inFlight <- struct{}{}:
		case <-ctx.Done():
			return false, ctx.Err()
		}
		ok, probe, wait, changed := s.breaker.allow(s.config.Clock.Now())
		if ok {
			return probe, nil
		}
		<-s.inFlight
		select {
		case <-ctx.Done():
			return false, merry.Prepend(ctx.Err(), s.name+" is out")
		case <-changed:
		case <-s.config.Clock.After(wait):
		}
	}
}

func (s *storeClient) roundTrip(ctx context.Context, r httpRequest) (storeResponse, *attemptError) {
	ctx, cancel := context.WithTimeout(ctx, s.attemptTimeout())
	defer cancel()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.method, s.config.URL+r.path, bytes.NewReader(r.body))
	if err != nil {
		return storeResponse{}, &attemptError{cause: err}
	}
	if r.contentType != "" {
		req.Header.Set("Content-Type", r.contentType)
	}
	if s.config.Token != "" {
		req.Header.Set("Authorization", "Bearer "+s.config.Token)
	}
	response, err := s.config.HTTP.Do(req)
	if err != nil {
		s.closeIdleConnections()
		// Do has returned, so there are no concurrent writes to connected.
		return storeResponse{}, &attemptError{cause: err, maybeApplied: connected}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, DefaultMaxBody))
	if err != nil {
		s.closeIdleConnections()
		return storeResponse{}, &attemptError{cause: err, maybeApplied: true}
	}
	return checkStatus(storeResponse{status: response.StatusCode, body: body})
}

// closeIdleConnections closes the idle connections after an attempt without a
// response.
//
// A device on the network path may lose the state of all connections at once,
// so that they stop responding while new ones would work. If the idle ones were
// kept, each attempt would use the next dead one until its timeout, the store
// would count as unavailable, and with 32 idle connections and one probe at a
// time that would last for a minute. The failed attempt closes its own
// connection; the others are closed here, so that the next attempt opens a new
// one.
func (s *storeClient) closeIdleConnections() { s.config.HTTP.CloseIdleConnections() }

// checkStatus returns an error for the status codes of failed attempts. The API
// guarantees that a call answered with 429 or 503 had no effect; after any other
// 5xx status it may have had one.
func checkStatus(resp storeResponse) (storeResponse, *attemptError) {
	cause := merry.Errorf("status %d", resp.status)
	switch {
	case resp.status == http.StatusTooManyRequests:
		return resp, &attemptError{cause: cause, throttled: true}
	case resp.status == http.StatusServiceUnavailable:
		return resp, &attemptError{cause: cause}
	case resp.status >= http.StatusInternalServerError:
		return resp, &attemptError{cause: cause, maybeApplied: true}
	}
	return resp, nil
}

// waitForRetry waits for the backoff before the next attempt. It returns false
// if no further attempt may be made, because the context has ended or the retry
// budget is exhausted; ignoreBudget lifts the latter restriction.
func (s *storeClient) waitForRetry(ctx context.Context, attempt int, ignoreBudget bool) bool {
	if !s.budget.take() && !ignoreBudget {
		if s.budget.shouldLog() {
			event.PlatformRetriesExhausted.Log(s.config.Logger, "store", s.name)
		}
		return false
	}
	s.metrics.retries.Inc(1)
	return clock.Sleep(ctx, s.config.Clock, fullJitter(attempt, retryBase, retryCap, s.config.Random()))
}

// callIdempotent sends an idempotent request, and retries it until it is
// answered, the retry budget is exhausted or ctx ends.
func (s *storeClient) callIdempotent(ctx context.Context, req httpRequest) (storeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	for attempt := 0; ; attempt++ {
		resp, err := s.attempt(ctx, req)
		if err == nil {
			s.budget.recordSuccess()
			return resp, nil
		}
		if ctx.Err() != nil || !s.waitForRetry(ctx, attempt, false) {
			return storeResponse{}, &Unavailable{Cause: merry.Prepend(err, s.name)}
		}
	}
}

// decodeResponse decodes the body of a response with status 200; any other
// status is an error.
func decodeResponse(resp storeResponse, into any) error {
	if resp.status != http.StatusOK {
		return merry.Errorf("the platform refused the call: status %d: %.200s", resp.status, resp.body)
	}
	return merry.Prepend(json.Unmarshal(resp.body, into), "answer of the platform")
}
