// Package document is the YAML document that a team writes for one service: the
// workspaces and the share that each is owed, the operations and which of them
// must not run twice, the limits, the targets and, where wanted, their state.
// docs/SERVICE-DOCUMENT.md is its reference.
//
// A Document is immutable once Parse has returned it.
package document

import (
	"cmp"
	"time"

	"github.com/savorystall/savorystall/internal/ident"
)

// Kind says how a service is called.
type Kind string

// Kinds of services.
const (
	// Model is a service of model engines; callers name a model.
	Model Kind = "model"
	// Plain is any other HTTP service; callers name the service.
	Plain Kind = "plain"
)

// Class orders the requests of one workspace.
type Class string

// Classes of operations, the most urgent first.
const (
	Interactive Class = "interactive"
	Standard    Class = "standard"
	Batch       Class = "batch"
)

// Fencing says whether the targets check the fencing number of an order.
type Fencing string

// Kinds of fencing.
const (
	// Enforced targets refuse an order that carries an older number.
	Enforced Fencing = "enforced"
	// Ignored means that the targets take any order.
	Ignored Fencing = "ignored"
)

// Defaults of fields that a document leaves out or sets to zero.
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
	// DefaultOperation is the name of the operation that a model service gets
	// when its document lists none.
	DefaultOperation = "generate"
)

// OperationHeader is the request header by which the caller of a model service
// names the operation.
const OperationHeader = "X-Savorystall-Operation"

// Document is everything that is configured about one service.
type Document struct {
	// Service is unique in the fleet.
	Service ident.Service `yaml:"service" validate:"required,name"`
	Kind    Kind          `yaml:"kind" validate:"required,oneof=model plain"`
	// Models are the names by which callers reach a model service.
	Models     []string    `yaml:"models" validate:"max=1000,dive,model"`
	Workspaces []Workspace `yaml:"workspaces" validate:"required,min=1,dive"`
	Operations []Operation `yaml:"operations" validate:"max=1000,dive"`
	// Preemption allows to stop a running request that is not interactive for a
	// waiting interactive one of another workspace, and to go on with it later.
	// The engines must be able to go on at an offset (docs/ENGINE-API.md).
	Preemption bool     `yaml:"preemption"`
	Limits     Limits   `yaml:"limits"`
	Targets    []Target `yaml:"targets" validate:"required,min=1,dive"`
	// Orders is the wanted state of the targets; nil leaves them alone.
	Orders *Orders `yaml:"orders"`
}

// Workspace is one customer of the service.
type Workspace struct {
	Name ident.Workspace `yaml:"name" validate:"required,name"`
	// Weight is the share owed while backlogged, relative to the others.
	Weight float64 `yaml:"weight" validate:"gt=0,lte=1000000"`
	// Keys are bearer keys in the form of HashKey. Several allow a change of
	// key without a gap.
	Keys   []string        `yaml:"keys" validate:"required,min=1,max=16,dive,key"`
	Limits WorkspaceLimits `yaml:"limits"`
}

// WorkspaceLimits bound one workspace of the service.
type WorkspaceLimits struct {
	// Queue bounds the requests that wait at one daemon; default limits.queue.
	Queue int `yaml:"queue" validate:"gte=0"`
	// Concurrent bounds the requests that wait or run in the fleet; zero means no
	// bound.
	Concurrent int `yaml:"concurrent" validate:"gte=0"`
	// RequestsPerSecond bounds the requests that the fleet accepts; zero means no
	// bound.
	RequestsPerSecond float64 `yaml:"requests_per_second" validate:"gte=0"`
}

// Operation is one kind of request.
type Operation struct {
	Name string `yaml:"name" validate:"required,name"`
	// Class defaults to standard.
	Class Class `yaml:"class" validate:"omitempty,oneof=interactive standard batch"`
	// Method and Path belong to plain services only. Path is a pattern: {name}
	// stands for one segment, and /** at the end for any rest.
	Method string `yaml:"method" validate:"omitempty,oneof=GET HEAD POST PUT PATCH DELETE OPTIONS"`
	Path   string `yaml:"path" validate:"omitempty,startswith=/"`
	// Unrepeatable operations run at most once for each Idempotency-Key.
	Unrepeatable bool `yaml:"unrepeatable"`
	// KeyRequired refuses a request without an Idempotency-Key.
	KeyRequired bool `yaml:"key_required"`
	// Deadline defaults to limits.deadline.
	Deadline time.Duration `yaml:"deadline" validate:"gte=0"`
	// Default marks the operation of a model service that applies where the
	// caller names none.
	Default bool `yaml:"default"`
}

// Limits bound every request of the service. Zero takes the default.
type Limits struct {
	// BodyBytes bounds the body of a request; default 8 MiB.
	BodyBytes int64 `yaml:"body_bytes" validate:"gte=0"`
	// Queue bounds the requests of a workspace that wait at one daemon;
	// default 1000.
	Queue int `yaml:"queue" validate:"gte=0"`
	// FirstByteTimeout bounds the wait for a target's first byte; default 30s.
	FirstByteTimeout time.Duration `yaml:"first_byte_timeout" validate:"gte=0"`
	// ProgressTimeout bounds the silence within an answer; default 15s.
	ProgressTimeout time.Duration `yaml:"progress_timeout" validate:"gte=0"`
	// Deadline bounds a request from its arrival; default 15m.
	Deadline time.Duration `yaml:"deadline" validate:"gte=0"`
	// MeanCost is the cost assumed for a request before any was measured, in
	// tokens for a model (default 1000), else in milliseconds (default 100).
	MeanCost float64 `yaml:"mean_cost" validate:"gte=0"`
}

// Target is one back end of the service.
type Target struct {
	// Name is unique within the service.
	Name ident.Target `yaml:"name" validate:"required,name"`
	Zone ident.Zone   `yaml:"zone" validate:"required,name"`
	// Address is IP:port.
	Address string `yaml:"address" validate:"required"`
	// Slots is how many requests the target runs at a time.
	Slots int `yaml:"slots" validate:"gt=0,lte=100000"`
}

// Orders is the wanted state of the targets.
type Orders struct {
	// Fencing has no default: whether targets check the number must be known.
	Fencing Fencing `yaml:"fencing" validate:"required,oneof=enforced ignored"`
	// LongestOrder bounds how long an order can be on its way; default 30s. A
	// new holder waits it out where fencing is ignored.
	LongestOrder time.Duration `yaml:"longest_order" validate:"gte=0"`
	Targets      []TargetOrder `yaml:"targets" validate:"required,min=1,dive"`
}

// TargetOrder is the wanted state of one target. It is absolute: what it does
// not list is to be unloaded.
type TargetOrder struct {
	Name ident.Target `yaml:"name" validate:"required,name"`
	// Models are to be loaded; each must be one of the service's models.
	Models   []string `yaml:"models" validate:"max=100,dive,model"`
	Adapters []string `yaml:"adapters" validate:"max=1000,dive,model"`
	// Version is the version of the models; empty leaves it to the target.
	Version string `yaml:"version" validate:"omitempty,model"`
	// Role is a word that the engine knows, such as "prefill"; empty leaves it.
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
