// Package resultcode defines the numbered codes that callers receive when a request does not
// end in a complete response. docs/RESULT-CODES.md is generated from them, and a test checks
// that it is up to date.
package resultcode

import (
	"net/http"
	"time"
)

// Outcome is what is known about whether a target ran a request.
type Outcome string

const (
	// NotRun means that no byte of the request reached a target, or that the target's
	// protocol says that it did not process the request.
	NotRun Outcome = "not_run"
	// MayHaveRun means that the request may have been run, completely or in part.
	MayHaveRun Outcome = "may_have_run"
	// Ran means that the request is known to have been run.
	Ran Outcome = "ran"
)

// Code is one result code.
type Code struct {
	// Number is unique and never reused. 1xxx: the request itself, 2xxx: capacity and
	// limits, 3xxx: after dispatch, 4xxx: unrepeatable requests.
	Number int
	// Name is the stable machine-readable name.
	Name string
	// HTTPStatus is the status code of the response.
	HTTPStatus int
	// Outcome is what is known about whether the request was run.
	Outcome Outcome
	// Text is the human-readable message.
	Text string
	// RetryAfter is the default delay before a retry; with zero no Retry-After header is
	// sent.
	RetryAfter time.Duration
}

var codes []Code

func define(c Code) Code {
	codes = append(codes, c)
	return c
}

// All returns all codes in order of definition. The caller must not modify the slice.
func All() []Code { return codes }

// Codes for problems with the request itself. It was not run.
var (
	BadRequest             = define(Code{1001, "bad_request", http.StatusBadRequest, NotRun, "the request is malformed", 0})
	Unauthenticated        = define(Code{1002, "unauthenticated", http.StatusUnauthorized, NotRun, "the bearer key is missing or unknown", 0})
	Forbidden              = define(Code{1003, "forbidden", http.StatusForbidden, NotRun, "the bearer key is not one of this service", 0})
	UnknownService         = define(Code{1004, "unknown_service", http.StatusNotFound, NotRun, "no service or model has this name", 0})
	UnknownOperation       = define(Code{1005, "unknown_operation", http.StatusNotFound, NotRun, "the service has no operation for this method and path", 0})
	MethodNotAllowed       = define(Code{1006, "method_not_allowed", http.StatusMethodNotAllowed, NotRun, "the method is not allowed on this path", 0})
	BodyTooLarge           = define(Code{1007, "body_too_large", http.StatusRequestEntityTooLarge, NotRun, "the body is larger than the service allows", 0})
	BodyTimeout            = define(Code{1008, "body_timeout", http.StatusRequestTimeout, NotRun, "the body did not arrive in time", 0})
	UnsupportedMediaType   = define(Code{1009, "unsupported_media_type", http.StatusUnsupportedMediaType, NotRun, "the content type is not supported", 0})
	IdempotencyKeyRequired = define(Code{1010, "idempotency_key_required", http.StatusBadRequest, NotRun, "this operation needs an Idempotency-Key header", 0})
	IdempotencyKeyReused   = define(Code{1011, "idempotency_key_reused", http.StatusUnprocessableEntity, NotRun, "the Idempotency-Key was used before with another request", 0})
	HeadersTooLarge        = define(Code{1012, "headers_too_large", http.StatusRequestHeaderFieldsTooLarge, NotRun, "the headers are larger than allowed", 0})
	NotFound               = define(Code{1013, "not_found", http.StatusNotFound, NotRun, "no resource has this path", 0})
	CallerGone             = define(Code{1014, "caller_gone", 499, NotRun, "the caller left before the request was dispatched", 0})
	ConfigurationAbsent    = define(Code{1015, "configuration_absent", http.StatusServiceUnavailable, NotRun, "this daemon has no configuration yet", 2 * time.Second})
)

// Codes for capacity and limits. The request was not run.
var (
	QueueFull          = define(Code{2001, "queue_full", http.StatusTooManyRequests, NotRun, "the workspace's queue is full", time.Second})
	RateLimited        = define(Code{2002, "rate_limited", http.StatusTooManyRequests, NotRun, "the workspace is over its own rate limit", time.Second})
	ConcurrencyLimited = define(Code{2003, "concurrency_limited", http.StatusTooManyRequests, NotRun, "the workspace is over its own concurrency limit", time.Second})
	FleetFull          = define(Code{2004, "fleet_full", http.StatusServiceUnavailable, NotRun, "the fleet is full", 2 * time.Second})
	DeadlineUnmet      = define(Code{2005, "deadline_unmet", http.StatusServiceUnavailable, NotRun, "the deadline cannot be met", 2 * time.Second})
	DeadlinePassed     = define(Code{2006, "deadline_passed", http.StatusGatewayTimeout, NotRun, "the deadline passed while the request waited", 2 * time.Second})
	NoTarget           = define(Code{2007, "no_target", http.StatusServiceUnavailable, NotRun, "the service has no usable target", 2 * time.Second})
	Stopping           = define(Code{2008, "stopping", http.StatusServiceUnavailable, NotRun, "this daemon is stopping", time.Second})
	DaemonBusy         = define(Code{2010, "daemon_busy", http.StatusServiceUnavailable, NotRun, "this daemon has too little processor time; another one may serve the request at once", 0})
	ObjectiveUnmet     = define(Code{2011, "objective_unmet", http.StatusServiceUnavailable, NotRun, "the prompt alone takes longer than its objective", 2 * time.Second})
	StreamUnknown      = define(Code{2012, "stream_unknown", http.StatusServiceUnavailable, NotRun, "it is not known which software version began the stream; begin it anew", 0})
	StreamVersionGone  = define(Code{2013, "stream_version_gone", http.StatusServiceUnavailable, NotRun, "no target of the software version that began the stream is left; begin it anew", 0})
	RequestHeld        = define(Code{2014, "request_held", http.StatusServiceUnavailable, NotRun, "targets have ended each time that they ran this request, or others with the same parts; it is held back", 5 * time.Minute})
	ZonesEvacuated     = define(Code{2015, "zones_evacuated", http.StatusServiceUnavailable, NotRun, "all targets that may run the request are in evacuated availability zones", 2 * time.Second})
	RegionNotAllowed   = define(Code{2016, "region_not_allowed", http.StatusServiceUnavailable, NotRun, "the service has no target in a region that the route and the workspace allow", 2 * time.Second})
	TargetsPaused      = define(Code{2017, "targets_paused", http.StatusServiceUnavailable, NotRun, "all targets that may run the request have asked this daemon for a pause", time.Second})
	TargetRefused      = define(Code{2009, "target_refused", http.StatusServiceUnavailable, NotRun, "no target accepted the request", time.Second})
)

// Codes for failures after dispatch. A target may have received the request.
var (
	ConnectionLost = define(Code{3001, "connection_lost", http.StatusBadGateway, MayHaveRun, "the connection to the target broke before its answer began", 0})
	TargetStalled  = define(Code{3002, "target_stalled", http.StatusGatewayTimeout, MayHaveRun, "the target made no progress in time", 0})
	AnswerCut      = define(Code{3003, "answer_cut", http.StatusBadGateway, MayHaveRun, "the answer ended before its end mark", 0})
	TargetProtocol = define(Code{3004, "target_protocol", http.StatusBadGateway, MayHaveRun, "the target's answer broke its protocol", 0})
	TargetError    = define(Code{3005, "target_error", http.StatusBadGateway, MayHaveRun, "the target reported an error", 0})
	Internal       = define(Code{3006, "internal", http.StatusInternalServerError, MayHaveRun, "the daemon failed on this request", 0})
	DaemonStopped  = define(Code{3008, "daemon_stopped", http.StatusGatewayTimeout, MayHaveRun, "this daemon has stopped before the target's answer was complete", 0})
	NeighbourLost  = define(Code{3007, "neighbour_lost", http.StatusBadGateway, MayHaveRun, "the daemon that the connection was passed on to ended before its answer", 0})
)

// Codes for unrepeatable requests.
var (
	StoreUnavailable = define(Code{4001, "store_unavailable", http.StatusServiceUnavailable, NotRun, "the platform's table is out of reach, so the request could not be claimed", 2 * time.Second})
	OutcomeUnknown   = define(Code{4002, "outcome_unknown", http.StatusConflict, MayHaveRun, "an earlier attempt with this key may have run and its outcome is not known", 0})
	InProgress       = define(Code{4003, "in_progress", http.StatusConflict, MayHaveRun, "an earlier attempt with this key is in progress", time.Second})
	AlreadyRan       = define(Code{4004, "already_ran", http.StatusConflict, Ran, "the request with this key ran and its answer was not kept", 0})
)
