// Package route holds the routes of a fleet: which service runs a request, whether it may be
// retried, how long it may take and which workspace it belongs to. A Table is one immutable
// version of the routes; a Holder keeps the newest one. The package does no I/O and does not
// depend on any platform's package: an adapter decodes the platform's document into a
// Document.
package route

import (
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorystall/savorystall/internal/ident"
	"github.com/savorystall/savorystall/internal/region"
	"github.com/savorystall/savorystall/internal/resultcode"
)

// RetryMode determines whether a request may be run more than once.
type RetryMode string

// Retry modes.
const (
	// Repeatable requests may be run more than once.
	Repeatable RetryMode = "repeatable"
	// AtMostOnce requests must not be run more than once.
	AtMostOnce RetryMode = "once"
	// Stream requests are answered by an event stream. One may be run again only if the
	// route is resumable, starting after the last event that was delivered.
	Stream RetryMode = "stream"
)

// WeightedService is one of the services among which a route divides its requests.
type WeightedService struct {
	Service ident.Service
	// Weight is proportional to the service's share of the requests.
	Weight float64
}

// Route maps the requests to a host whose path has a given prefix to services.
type Route struct {
	// Name is chosen by the operator and unique within a document.
	Name string
	// Host is compared case-insensitively and without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Services receive the requests; at least one has a positive weight.
	Services []WeightedService
	// Retry determines whether a request may be run more than once.
	Retry RetryMode
	// Resumable reports whether a stream may be continued at another target.
	Resumable bool
	// MaxAttempts bounds the number of targets that one request is sent to; at least 1.
	MaxAttempts int
	// Timeout bounds the total time of a request; zero selects the gateway's default.
	Timeout time.Duration
	// Objective is the latency objective for the response, or for the first event of a
	// stream; a later response is worth less. Zero means none.
	Objective time.Duration
	// MaxEventInterval is the longest acceptable time between two events of a stream.
	MaxEventInterval time.Duration
	// Priority orders routes by importance; 0 is the most important.
	Priority int
	// Public reports whether the route can be used without a key.
	Public bool
	// HasPromptParts reports whether requests list the parts of their prompts.
	HasPromptParts bool
	// Regions are those whose targets may run the requests.
	Regions region.Set
}

// Repeatable reports whether a request that may have run may be run again.
func (r *Route) Repeatable() bool {
	return r.Retry == Repeatable || r.Retry == Stream && r.Resumable
}

// Service is a service to which routes send requests.
type Service struct {
	Name ident.Service
	// MaxConnections bounds the connections of all callers together to one target; zero
	// means no bound.
	MaxConnections int
	// HealthPath is the path of a target's health check; empty if there is none.
	HealthPath string
	// Warmup is how long a target is cold after its start.
	Warmup time.Duration
	// ColdRate is how many requests a second a target tolerates while it is cold; zero means that
	// there is no limit.
	ColdRate float64
	// ServesModel reports that the targets are inference engines.
	ServesModel bool
	// Slots is how many requests one target runs concurrently; zero if not stated.
	Slots int
	// Memory is how many tokens one engine can hold; zero if not stated.
	Memory int
	// FetchPerToken is the time to copy one cached token from another engine; zero means
	// that engines do not copy from each other.
	FetchPerToken time.Duration
}

// Workspace is a customer and its keys.
type Workspace struct {
	// Name is not empty.
	Name ident.Workspace
	Keys []string
	// Priority replaces that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are those whose targets may run its requests.
	Regions region.Set
}

// Limits bounds what callers may send. A zero field sets no bound.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time to receive the headers, IdleTimeout how long a
	// connection may be idle.
	HeaderTimeout, IdleTimeout time.Duration
	// TokensPerSecond is the total throughput of all engines, with prompt tokens counted
	// once and generated tokens twice; zero if not stated.
	TokensPerSecond float64
}

// Document is a complete route configuration.
type Document struct {
	// Version orders documents; a higher one replaces a lower one.
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// RequireKeys reports whether requests to routes that are not public need a key.
	RequireKeys bool
	Limits      Limits
}

// Table is a document indexed for lookups. It is immutable.
type Table struct {
	Document
	hosts    map[string][]*Route
	services map[ident.Service]*Service
	keys     map[string]*Workspace
}

// NewTable validates a document and builds its table. The error describes the first invalid
// field.
func NewTable(d Document) (*Table, error) {
	t := &Table{
		Document: d,
		hosts:    map[string][]*Route{},
		services: map[ident.Service]*Service{},
		keys:     map[string]*Workspace{},
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := t.validate(r); err != nil {
			return nil, merry.Prependf(err, "route %q", r.Name)
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for i := range d.Workspaces {
		if d.Workspaces[i].Name == Anonymous {
			return nil, merry.Errorf("workspace %d has no name", i+1)
		}
		for _, key := range d.Workspaces[i].Keys {
			t.keys[key] = &d.Workspaces[i]
		}
	}
	return t, nil
}

func (t *Table) validate(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return merry.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	}
	if r.MaxAttempts < 1 {
		return merry.Errorf("attempts is %d, at least 1 is needed", r.MaxAttempts)
	}
	total := 0.0
	for _, s := range r.Services {
		if s.Weight < 0 {
			return merry.Errorf("service %q has a negative weight", s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		return merry.New("no service has a weight above zero")
	}
	return nil
}

// Find returns the route of the host with the longest prefix that matches the path. The path
// is compared as the caller escaped it.
func (t *Table) Find(host, path string) (*Route, bool) {
	var best *Route
	for _, r := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// hostName removes the port from a host and converts it to lower case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Service returns the service with the given name.
func (t *Table) Service(name ident.Service) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Anonymous stands for the workspace of requests that need no key and have no known one. No workspace of
// a document has this name.
const Anonymous ident.Workspace = ""

// Identify returns the workspace of a request. Public routes, and documents that require no
// keys, accept requests from anyone; a known key still identifies its workspace.
func (t *Table) Identify(r *Route, key string) (ident.Workspace, *resultcode.Failure) {
	if w, ok := t.keys[key]; ok && key != "" {
		return w.Name, nil
	}
	if r.Public || !t.RequireKeys {
		return Anonymous, nil
	}
	return "", resultcode.Fail(resultcode.Unauthenticated, "")
}

// AllowedRegions returns the regions in which a request of a workspace on a route may run: those
// that both allow.
func (t *Table) AllowedRegions(r *Route, key string) region.Set {
	if w, ok := t.keys[key]; ok && key != "" {
		return r.Regions.Intersect(w.Regions)
	}
	return r.Regions
}

// Priority returns the priority of the requests of a workspace on a route.
func (t *Table) Priority(r *Route, key string) int {
	if w, ok := t.keys[key]; ok && w.HasPriority {
		return w.Priority
	}
	return r.Priority
}

// Choose selects the service of one request at random by weight; random is in [0,1). A
// service without a usable target is skipped if another one has a usable target, since a
// request sent to it could only be refused.
func (r *Route) Choose(random float64, usable func(ident.Service) bool) ident.Service {
	if s, ok := r.pickWeighted(random, usable); ok {
		return s
	}
	s, _ := r.pickWeighted(random, func(ident.Service) bool { return true })
	return s
}

func (r *Route) pickWeighted(random float64, usable func(ident.Service) bool) (ident.Service, bool) {
	total := 0.0
	for _, s := range r.Services {
		if usable(s.Service) {
			total += s.Weight
		}
	}
	remaining := random * total
	for _, s := range r.Services {
		if !usable(s.Service) || s.Weight == 0 {
			continue
		}
		if remaining -= s.Weight; remaining < 0 {
			return s.Service, true
		}
	}
	return "", false
}
