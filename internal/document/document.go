// Package document defines the YAML document in which a team configures one
// service: the workspaces and their shares, the operations and which of them must
// not run twice, the limits, the targets and, optionally, their desired state.
// docs/SERVICE-DOCUMENT.md is its reference.
//
// A Document is immutable once Parse has returned it.
package document

import (
	"cmp"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Kind determines how a service is called.
type Kind string

// Kinds of services.
const (
	// Model is a service of inference engines; callers specify a model.
	Model Kind = "model"
	// Plain is any other HTTP service; callers specify the service.
	Plain Kind = "plain"
)

// Class is the priority of a request among the requests of its workspace.
type Class string

// Classes of operations, in order of decreasing priority.
const (
	Interactive Class = "interactive"
	Standard    Class = "standard"
	Batch       Class = "batch"
)

// Fencing specifies whether the targets check the fencing token of an order.
type Fencing string

// Kinds of fencing.
const (
	// Enforced means that the targets refuse an order with an older token.
	Enforced Fencing = "enforced"
	// Ignored means that the targets accept any order.
	Ignored Fencing = "ignored"
)

// Defaults of fields that a document omits or sets to zero.
const (
	DefaultBodyBytes        = 8 << 20
	DefaultQueue            = 1000
	DefaultFirstByteTimeout = 30 * time.Second
	DefaultProgressTimeout  = 15 * time.Second
	DefaultDeadline         = 15 * time.Minute
	// DefaultModelCost is in tokens, DefaultPlainCost in milliseconds.
	DefaultModelCost    = 1000
	DefaultPlainCost    = 100
	DefaultLongestOrder = 30 * time.Second
	// DefaultOperation is the name of the operation of a model service whose
	// document lists no operations.
	DefaultOperation = "generate"
)

// OperationHeader is the request header in which the caller of a model service
// specifies the operation.
const OperationHeader = "X-Savorystall-Operation"

// Document is the configuration of one service.
type Document struct {
	// Service is unique in the fleet.
	Service ident.Service `yaml:"service" validate:"required,name"`
	Kind    Kind          `yaml:"kind" validate:"required,oneof=model plain"`
	// Models are the model names that callers of a model service can specify.
	Models     []string    `yaml:"models" validate:"max=1000,dive,model"`
	Workspaces []Workspace `yaml:"workspaces" validate:"required,min=1,dive"`
	Operations []Operation `yaml:"operations" validate:"max=1000,dive"`
	// Preemption allows a running request that is not interactive to be stopped in
	// favour of a waiting interactive one of another workspace, and to be resumed
	// later. The engines must support resuming at an offset (docs/ENGINE-API.md).
	Preemption bool     `yaml:"preemption"`
	Limits     Limits   `yaml:"limits"`
	Targets    []Target `yaml:"targets" validate:"required,min=1,dive"`
	// Orders is the desired state of the targets; if nil, it is not managed.
	Orders *Orders `yaml:"orders"`
}

// Workspace is one customer of the service.
type Workspace struct {
	Name ident.Workspace `yaml:"name" validate:"required,name"`
	// Weight is the workspace's share of the service while it is backlogged,
	// relative to the weights of the other workspaces.
	Weight float64 `yaml:"weight" validate:"gt=0,lte=1000000"`
	// Keys are bearer keys in the format of HashKey. More than one key allows
	// keys to be rotated without an interruption.
	Keys   []string        `yaml:"keys" validate:"required,min=1,max=16,dive,key"`
	Limits WorkspaceLimits `yaml:"limits"`
	// Targets restricts the workspace's requests to these targets; an empty list
	// allows all targets.
	Targets []ident.Target `yaml:"targets" validate:"max=1000"`
}

// WorkspaceLimits holds the limits of one workspace of the service.
type WorkspaceLimits struct {
	// Queue limits the requests that wait at one daemon; default limits.queue.
	Queue int `yaml:"queue" validate:"gte=0"`
	// Concurrent limits the requests that wait or run in the fleet; zero means no
	// limit.
	Concurrent int `yaml:"concurrent" validate:"gte=0"`
	// RequestsPerSecond limits the rate of requests that the fleet accepts; zero
	// means no limit.
	RequestsPerSecond float64 `yaml:"requests_per_second" validate:"gte=0"`
}

// Operation is one kind of request.
type Operation struct {
	Name string `yaml:"name" validate:"required,name"`
	// Class defaults to standard.
	Class Class `yaml:"class" validate:"omitempty,oneof=interactive standard batch"`
	// Method and Path are for plain services only. Path is a pattern: {name}
	// matches one segment, and /** at the end matches any remaining segments.
	Method string `yaml:"method" validate:"omitempty,oneof=GET HEAD POST PUT PATCH DELETE OPTIONS"`
	Path   string `yaml:"path" validate:"omitempty,startswith=/"`
	// Unrepeatable operations run at most once for each Idempotency-Key.
	Unrepeatable bool `yaml:"unrepeatable"`
	// KeyRequired rejects a request without an Idempotency-Key.
	KeyRequired bool `yaml:"key_required"`
	// Deadline defaults to limits.deadline.
	Deadline time.Duration `yaml:"deadline" validate:"gte=0"`
	// Default marks the operation of a model service that applies if the caller
	// specifies none.
	Default bool `yaml:"default"`
}

// Limits apply to every request of the service. Zero selects the default.
type Limits struct {
	// BodyBytes limits the body of a request; default 8 MiB.
	BodyBytes int64 `yaml:"body_bytes" validate:"gte=0"`
	// Queue limits the requests of a workspace that wait at one daemon;
	// default 1000.
	Queue int `yaml:"queue" validate:"gte=0"`
	// FirstByteTimeout limits the wait for a target's first byte; default 30s.
	FirstByteTimeout time.Duration `yaml:"first_byte_timeout" validate:"gte=0"`
	// ProgressTimeout limits the time without data during a response; default 15s.
	ProgressTimeout time.Duration `yaml:"progress_timeout" validate:"gte=0"`
	// Deadline limits the duration of a request from its arrival; default 15m.
	Deadline time.Duration `yaml:"deadline" validate:"gte=0"`
	// MeanCost is the cost assumed for a request before any cost was measured, in
	// tokens for a model (default 1000), otherwise in milliseconds (default 100).
	MeanCost float64 `yaml:"mean_cost" validate:"gte=0"`
}

// Target is one backend of the service.
type Target struct {
	// Name is unique within the service.
	Name ident.Target `yaml:"name" validate:"required,name"`
	Zone ident.Zone   `yaml:"zone" validate:"required,name"`
	// Address is IP:port.
	Address string `yaml:"address" validate:"required"`
	// Slots is how many requests the target runs concurrently.
	Slots int `yaml:"slots" validate:"gt=0,lte=100000"`
}

// Orders is the desired state of the targets.
type Orders struct {
	// Fencing has no default, because it depends on whether the targets check the
	// fencing token.
	Fencing Fencing `yaml:"fencing" validate:"required,oneof=enforced ignored"`
	// LongestOrder is the longest time that an order can be in transit; default
	// 30s. If fencing is ignored, a new lease holder waits that long first.
	LongestOrder time.Duration `yaml:"longest_order" validate:"gte=0"`
	Targets      []TargetOrder `yaml:"targets" validate:"required,min=1,dive"`
}

// TargetOrder is the complete desired state of one target: models and adapters
// that it does not list are to be unloaded.
type TargetOrder struct {
	Name ident.Target `yaml:"name" validate:"required,name"`
	// Models are to be loaded; each must be one of the service's models.
	Models   []string `yaml:"models" validate:"max=100,dive,model"`
	Adapters []string `yaml:"adapters" validate:"max=1000,dive,model"`
	// Version is the version of the models; if empty, the target chooses it.
	Version string `yaml:"version" validate:"omitempty,model"`
	// Role is a role that the engine defines, such as "prefill"; if empty, the
	// role is left unchanged.
	Role string `yaml:"role" validate:"omitempty,name"`
}

func (d *Document) applyDefaults() {
	d.Limits.applyDefaults(d.Kind)
	for i := range d.Workspaces {
		d.Workspaces[i].Limits.Queue = cmp.Or(d.Workspaces[i].Limits.Queue, d.Limits.Queue)
	}
	if d.Kind == Model && len(d.Operations) == 0 {
		d.Operations = []Operation{{Name: DefaultOperation, Default: true}}
	}
	for i := range d.Operations {
		d.Operations[i].Class = cmp.Or(d.Operations[i].Class, Standard)
		d.Operations[i].Deadline = cmp.Or(d.Operations[i].Deadline, d.Limits.Deadline)
	}
	if d.Orders != nil {
		d.Orders.LongestOrder = cmp.Or(d.Orders.LongestOrder, DefaultLongestOrder)
	}
}

func (l *Limits) applyDefaults(kind Kind) {
	l.BodyBytes = cmp.Or(l.BodyBytes, DefaultBodyBytes)
	l.Queue = cmp.Or(l.Queue, DefaultQueue)
	l.FirstByteTimeout = cmp.Or(l.FirstByteTimeout, DefaultFirstByteTimeout)
	l.ProgressTimeout = cmp.Or(l.ProgressTimeout, DefaultProgressTimeout)
	l.Deadline = cmp.Or(l.Deadline, DefaultDeadline)
	if kind == Model {
		l.MeanCost = cmp.Or(l.MeanCost, DefaultModelCost)
	} else {
		l.MeanCost = cmp.Or(l.MeanCost, DefaultPlainCost)
	}
}
