package telemetry

import (
	"context"
	"os"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/savorystall/savorystall/internal/settings"
)

// Names of the spans, one per hop. With documents, the span of the target hop is
// created by package attempt. With routes, a request has an ingress span, and a
// place and a target span for each attempt.
const (
	SpanIngress = "ingress"
	SpanQueue   = "queue"
	SpanGrant   = "grant"
	SpanPlace   = "place"
	SpanTarget  = "target"
)

// Tracing creates spans and propagates their context in W3C headers.
type Tracing struct {
	trace.Tracer
	// Propagator reads and writes traceparent and tracestate.
	Propagator propagation.TextMapPropagator
	provider   *sdktrace.TracerProvider
	file       *os.File
}

// NewTracing returns a Tracing with the exporters that the settings specify. Without
// an exporter the trace context of callers is still propagated to targets.
func NewTracing(ctx context.Context, daemon string, cfg settings.Trace) (*Tracing, error) {
	t := &Tracing{Propagator: propagation.TraceContext{}}
	if cfg.OTLP == "" && cfg.File == "" {
		// Recording spans without exporting them would take a tenth of the processor
		// time of a refused request.
		t.Tracer = noop.NewTracerProvider().Tracer("savorystall")
		return t, nil
	}
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.Sample))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "savorystalld"),
			attribute.String("service.instance.id", daemon),
		)),
	}
	if cfg.OTLP != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.OTLP))
		if err != nil {
			return nil, merry.Prepend(err, "trace exporter")
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	if cfg.File != "" {
		file, err := os.OpenFile(cfg.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, merry.Prepend(err, "trace file")
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return nil, merry.Prepend(err, "trace file")
		}
		t.file = file
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	t.provider = sdktrace.NewTracerProvider(options...)
	t.Tracer = t.provider.Tracer("savorystall")
	return t, nil
}

// Close exports the remaining spans and closes the file.
func (t *Tracing) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file != nil {
		_ = t.file.Close()
	}
	return err
}
