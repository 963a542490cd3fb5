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
)

// Defaults of ClientConfig.
const (
	DefaultTryTimeout  = 2 * time.Second
	DefaultCallTimeout = 20 * time.Second
	DefaultInFlight    = 32
	DefaultMaxBody     = 64 << 20
)

const (
	// retryBase and retryCap bound the full-jitter backoff between the tries of
	// one call.
	retryBase = 50 * time.Millisecond
	retryCap  = 2 * time.Second
	// judgedAfter is how long a try must have lasted for the end of its caller's
	// patience to count as the store's failure.
	judgedAfter = 250 * time.Millisecond
	// patience is how many times longer a try may take while the store is slow.
	patience = 2
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// URL is the base of the platform's HTTP binding, such as
	// "http://127.0.0.1:9000"; required.
	URL string
	// Token is sent as a bearer key; empty sends none.
	Token string
	// TryTimeout bounds one HTTP exchange; default 2s. It is doubled while the
	// store is slow.
	TryTimeout time.Duration
	// CallTimeout bounds a call with all its tries where its context has no
	// earlier deadline; default 20s.
	CallTimeout time.Duration
	// InFlight bounds the exchanges with one store at a time; default 32.
	InFlight int
	// HTTP makes the exchanges; default a client of its own without redirects.
	HTTP *http.Client
	// Clock defaults to the real one.
	Clock clock.Clock
	// Random returns a number in [0,1); default math/rand/v2.
	Random func() float64
	// Logger defaults to slog.Default.
	Logger *slog.Logger
	// Scope takes the metrics; default none.
	Scope tally.Scope
}

func (c *ClientConfig) applyDefaults() {
	if c.TryTimeout <= 0 {
		c.TryTimeout = DefaultTryTimeout
	}
	if c.CallTimeout <= 0 {
		c.CallTimeout = DefaultCallTimeout
	}
	if c.InFlight <= 0 {
		c.InFlight = DefaultInFlight
	}
	if c.HTTP == nil {
		c.HTTP = newHTTPClient(c.InFlight)
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

// newHTTPClient returns a client that never follows a redirect: the binding has
// none, and a redirected POST would be sent again as a GET.
func newHTTPClient(connections int) *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = connections
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Client speaks the HTTP/JSON binding. It implements Table, Objects, VMs and
// Weights, and is safe for concurrent use. Its calls wait out an outage for as
// long as their context allows.
type Client struct {
	config  ClientConfig
	table   *store
	objects *store
	vms     *store
	weights *store
}

var (
	_ Table   = (*Client)(nil)
	_ Objects = (*Client)(nil)
	_ VMs     = (*Client)(nil)
	_ Weights = (*Client)(nil)
)

// NewClient returns a Client. It makes no call.
func NewClient(c ClientConfig) *Client {
	c.applyDefaults()
	c.URL = strings.TrimSuffix(c.URL, "/")
	return &Client{
		config:  c,
		table:   newStore("table", c),
		objects: newStore("objects", c),
		vms:     newStore("vms", c),
		weights: newStore("weights", c),
	}
}

// Close drops the idle connections.
func (c *Client) Close() { c.config.HTTP.CloseIdleConnections() }

// store is what the client keeps for each store of the platform. Each has its
// own gate: the stores fail one by one.
type store struct {
	name    string
	config  ClientConfig
	gate    *gate
	budget  *retryBudget
	slots   chan struct{}
	slow    atomic.Bool
	metrics storeMetrics
}

// tryTimeout bounds the next try.
func (s *store) tryTimeout() time.Duration {
	if s.slow.Load() {
		return patience * s.config.TryTimeout
	}
	return s.config.TryTimeout
}

// observe notes whether the store is slow. It answers a store that takes longer
// than a try may for a long stretch: without it every try is given up, and the
// store counts as out though it would answer.
func (s *store) observe(took time.Duration, f *fault) {
	switch {
	case f == nil && took < s.config.TryTimeout/2:
		s.slow.Store(false)
	case f != nil && took >= s.config.TryTimeout:
		s.slow.Store(true)
	}
}

type storeMetrics struct {
	tries, failures, retries tally.Counter
	outage                   tally.Gauge
	latency                  tally.Timer
}

func newStore(name string, c ClientConfig) *store {
	scope := c.Scope.SubScope("platform").Tagged(map[string]string{"store": name})
	return &store{
		name:   name,
		config: c,
		gate:   newGate(c.Random),
		budget: newRetryBudget(),
		slots:  make(chan struct{}, c.InFlight),
		metrics: storeMetrics{
			tries:    scope.Counter("tries"),
			failures: scope.Counter("failures"),
			retries:  scope.Counter("retries"),
			outage:   scope.Gauge("outage"),
			latency:  scope.Timer("latency"),
		},
	}
}

// exchange is one HTTP exchange to be made.
type exchange struct {
	method, path string
	body         []byte
	contentType  string
}

// answer is a complete HTTP answer that the binding allows.
type answer struct {
	status int
	body   []byte
}

// fault is the error of a try without a usable answer.
type fault struct {
	cause error
	// sent tells that the store may have acted on the request.
	sent bool
	// throttled tells that the store asked for a slower pace; it is not out.
	throttled bool
}

func (f *fault) Error() string { return f.cause.Error() }

func (f *fault) Unwrap() error { return f.cause }

// try makes one exchange, as soon as the gate and a free slot allow it.
func (s *store) try(ctx context.Context, x exchange) (answer, *fault) {
	probe, err := s.enter(ctx)
	if err != nil {
		return answer{}, &fault{cause: err}
	}
	defer func() { <-s.slots }()
	started := s.config.Clock.Now()
	a, f := s.exchange(ctx, x)
	now := s.config.Clock.Now()
	s.observe(now.Sub(started), f)
	s.metrics.tries.Inc(1)
	s.metrics.latency.Record(now.Sub(started))
	s.judge(now, probe, verdictOf(ctx, f, now.Sub(started)))
	return a, f
}

func verdictOf(ctx context.Context, f *fault, took time.Duration) verdict {
	switch {
	case f == nil || f.throttled:
		return storeAnswered
	case ctx.Err() == nil:
		return storeFailed
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && took >= judgedAfter:
		return storeFailed
	}
	return storeUnjudged
}

func (s *store) judge(now time.Time, probe bool, v verdict) {
	if v == storeFailed {
		s.metrics.failures.Inc(1)
	}
	began, ended := s.gate.done(now, probe, v)
	if began {
		s.metrics.outage.Update(1)
		event.PlatformOutage.Log(s.config.Logger, "store", s.name)
	}
	if ended {
		s.metrics.outage.Update(0)
		event.PlatformRecovered.Log(s.config.Logger, "store", s.name)
	}
}

// enter waits for a slot and the gate's leave.
func (s *store) enter(ctx context.Context) (probe bool, err error) {
	for {
		select {
		case s.slots <- struct{}{}:
		case <-ctx.Done():
			return false, ctx.Err()
		}
		ok, probe, wait, changed := s.gate.pass(s.config.Clock.Now())
		if ok {
			return probe, nil
		}
		<-s.slots
		select {
		case <-ctx.Done():
			return false, merry.Prepend(ctx.Err(), s.name+" is out")
		case <-changed:
		case <-s.config.Clock.After(wait):
		}
	}
}

func (s *store) exchange(ctx context.Context, x exchange) (answer, *fault) {
	ctx, cancel := context.WithTimeout(ctx, s.tryTimeout())
	defer cancel()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), x.method, s.config.URL+x.path, bytes.NewReader(x.body))
	if err != nil {
		return answer{}, &fault{cause: err}
	}
	if x.contentType != "" {
		req.Header.Set("Content-Type", x.contentType)
	}
	if s.config.Token != "" {
		req.Header.Set("Authorization", "Bearer "+s.config.Token)
	}
	response, err := s.config.HTTP.Do(req)
	if err != nil {
		s.replaceConnections()
		// Do has returned, so connected is no longer written to.
		return answer{}, &fault{cause: err, sent: connected}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, DefaultMaxBody))
	if err != nil {
		s.replaceConnections()
		return answer{}, &fault{cause: err, sent: true}
	}
	return judgeStatus(answer{status: response.StatusCode, body: body})
}

// replaceConnections drops the idle connections after a try without an answer.
//
// It guards against connections that something on the way has forgotten: all
// of them go silent at once while new ones would work. Without it each try
// takes the next silent one and waits out its time, the store counts as out,
// and with 32 idle connections and one probe at a time it stays so for a
// minute. The try's own connection is closed by its end; the others are closed
// here, so that the next try makes a new one.
func (s *store) replaceConnections() { s.config.HTTP.CloseIdleConnections() }

// judgeStatus separates what the binding defines from what it leaves open. The
// binding promises that a call answered by 429 or 503 had no effect.
func judgeStatus(a answer) (answer, *fault) {
	cause := merry.Errorf("status %d", a.status)
	switch {
	case a.status == http.StatusTooManyRequests:
		return a, &fault{cause: cause, throttled: true}
	case a.status == http.StatusServiceUnavailable:
		return a, &fault{cause: cause}
	case a.status >= http.StatusInternalServerError:
		return a, &fault{cause: cause, sent: true}
	}
	return a, nil
}

// pause waits before the next try. It returns false where there is to be none:
// the context ended, or the budget is spent and the call is not exempt.
func (s *store) pause(ctx context.Context, try int, exempt bool) bool {
	if !s.budget.take() && !exempt {
		if s.budget.report() {
			event.PlatformRetriesExhausted.Log(s.config.Logger, "store", s.name)
		}
		return false
	}
	s.metrics.retries.Inc(1)
	select {
	case <-ctx.Done():
		return false
	case <-s.config.Clock.After(fullJitter(try, retryBase, retryCap, s.config.Random())):
		return true
	}
}

// repeat makes an exchange that has the same effect when it is made twice, and
// tries again until it is answered, the budget is spent or ctx ends.
func (s *store) repeat(ctx context.Context, x exchange) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	for try := 0; ; try++ {
		a, f := s.try(ctx, x)
		if f == nil {
			s.budget.succeeded()
			return a, nil
		}
		if ctx.Err() != nil || !s.pause(ctx, try, false) {
			return answer{}, &Unavailable{Cause: merry.Prepend(f, s.name)}
		}
	}
}

// decodeAnswer reads the body of a 200.
func decodeAnswer(a answer, into any) error {
	if a.status != http.StatusOK {
		return merry.Errorf("the platform refused the call: status %d: %.200s", a.status, a.body)
	}
	return merry.Prepend(json.Unmarshal(a.body, into), "answer of the platform")
}
