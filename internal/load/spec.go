// Package load is a small load generator: it sends requests of several kinds to
// the daemons of a fleet, compares every response with what the emulated targets
// must have sent, and reports the results per stream.
package load

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"github.com/savorystall/savorystall/internal/ident"
)

// Spec is the content of a load file.
type Spec struct {
	// Duration is the time during which new requests are sent.
	Duration time.Duration `yaml:"duration" validate:"gt=0,lte=3600000000000"`
	// Daemons lists the base URLs of daemons. Requests are distributed over them
	// round-robin, as by a load balancer, unless a stream specifies its own.
	Daemons []string `yaml:"daemons" validate:"required,min=1,dive,url"`
	// Streams lists the kinds of requests, which are sent concurrently.
	Streams []Stream `yaml:"streams" validate:"required,min=1,dive"`
}

// Stream is one kind of request of one workspace.
type Stream struct {
	// Name labels the row of the report. Default: the workspace.
	Name      string          `yaml:"name"`
	Workspace ident.Workspace `yaml:"workspace" validate:"required"`
	// Key is the workspace's bearer key.
	Key string `yaml:"key" validate:"required"`
	// Model requests a streamed completion from this model.
	Model string `yaml:"model" validate:"required_without=Path"`
	// Operation is the operation of the service, sent in a header if set.
	Operation string `yaml:"operation"`
	// MaxTokens is the length of each answer. Default: 32.
	MaxTokens int `yaml:"max_tokens" validate:"gte=0,lte=100000"`
	// Method and Path describe a request to a plain service.
	Method string `yaml:"method"`
	Path   string `yaml:"path"`
	// Concurrent is the number of callers, each with one request in flight.
	Concurrent int `yaml:"concurrent" validate:"required,gte=1,lte=10000"`
	// Pause is the time between a response and the next request. Default: none.
	Pause time.Duration `yaml:"pause" validate:"gte=0"`
	// Daemons lists the base URLs for this stream. Default: Spec.Daemons.
	Daemons []string `yaml:"daemons" validate:"dive,url"`
}

const defaultMaxTokens = 32

// Parse parses and validates a load file; unknown keys are an error.
func Parse(text []byte) (Spec, error) {
	var s Spec
	if err := yaml.UnmarshalWithOptions(text, &s, yaml.Strict()); err != nil {
		return s, merry.Prepend(err, "load file")
	}
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(s); err != nil {
		return s, merry.Prepend(err, "load file")
	}
	for i := range s.Streams {
		stream := &s.Streams[i]
		if stream.Name == "" {
			stream.Name = string(stream.Workspace)
		}
		if stream.MaxTokens == 0 {
			stream.MaxTokens = defaultMaxTokens
		}
		if stream.Method == "" {
			stream.Method = "GET"
		}
		if len(stream.Daemons) == 0 {
			stream.Daemons = s.Daemons
		}
	}
	return s, nil
}
