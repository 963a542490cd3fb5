// Package load is a small load client: it sends requests of several kinds to the
// daemons of a fleet, checks every answer against what the emulated targets must
// have said, and reports what callers received.
package load

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"github.com/savorystall/savorystall/internal/ident"
)

// Spec is a load file.
type Spec struct {
	// Duration is how long requests are started.
	Duration time.Duration `yaml:"duration" validate:"gt=0,lte=3600000000000"`
	// Daemons are base URLs of daemons. Requests go round them as through a
	// balancer, unless a stream names its own.
	Daemons []string `yaml:"daemons" validate:"required,min=1,dive,url"`
	// Streams are the kinds of requests that are sent side by side.
	Streams []Stream `yaml:"streams" validate:"required,min=1,dive"`
}

// Stream is one kind of request of one workspace.
type Stream struct {
	// Name is the row of the report; default the workspace.
	Name      string          `yaml:"name"`
	Workspace ident.Workspace `yaml:"workspace" validate:"required"`
	// Key is the workspace's bearer key.
	Key string `yaml:"key" validate:"required"`
	// Model makes the request a streamed completion.
	Model string `yaml:"model" validate:"required_without=Path"`
	// Operation names the operation of the model's service.
	Operation string `yaml:"operation"`
	// MaxTokens is the length of each answer. Default 32.
	MaxTokens int `yaml:"max_tokens" validate:"gte=0,lte=100000"`
	// Method and Path make the request a call of a plain service.
	Method string `yaml:"method"`
	Path   string `yaml:"path"`
	// Concurrent is how many requests are kept in flight.
	Concurrent int `yaml:"concurrent" validate:"required,gte=1,lte=10000"`
	// Pause is the time between an answer and the next request. Default none.
	Pause time.Duration `yaml:"pause" validate:"gte=0"`
	// Daemons are the base URLs that this stream goes to.
	Daemons []string `yaml:"daemons" validate:"dive,url"`
}

const defaultMaxTokens = 32

// Parse reads a load file strictly.
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
