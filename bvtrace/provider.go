// Package bvtrace traces requests through the hosts with OpenTelemetry.
//
// A Provider belongs to one daemon. The servers and clients of HTTP and gRPC
// start spans with it; the hops in between start theirs with Start, which takes
// the provider from the context. The trace id is also in log lines and in the
// Bv-Trace header of an answer, whether or not spans are exported.
//
// Spans hold no text of a prompt or an answer, no key and no member's name;
// programs are identified by a hash. An allowlist of exported attributes
// enforces this, so that a new version of a library can't add attributes.
//
// # Usage
//
//	provider, err := bvtrace.New(ctx, bvtrace.Config{Exporter: bvsetting.TraceOTLP, Address: "10.0.0.9:4318", Host: "host-1"})
//	defer provider.Shutdown(ctx)
//	ctx, span := bvtrace.Start(ctx, "permit")
//	span.SetHost("host-2")
//	permit, err := acquire(ctx)
//	span.End(err)
package bvtrace

import (
	"context"
	"fmt"
	"io"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"

	"balsamvalve.example/bvsetting"
)

// Resource attributes, named by the semantic conventions of OpenTelemetry.
const (
	serviceName    = "balsamvalve"
	serviceKey     = attribute.Key("service.name")
	hostKey        = attribute.Key("host.name")
	zoneKey        = attribute.Key("cloud.availability_zone")
	incarnationKey = attribute.Key("service.instance.id")
)

// Config sets the destination and the resource attributes of spans.
type Config struct {
	Exporter    bvsetting.TraceExporter
	Address     string    // IP and port of the OTLP collector's HTTP
	Output      io.Writer // of the stdout exporter
	Host        string
	Zone        string // availability zone
	Incarnation string // of the process
	// Spans, if not nil, receives the spans in place of the exporter that
	// Exporter names.
	Spans trace.SpanExporter
}

// Provider creates and exports the spans of a daemon.
type Provider struct {
	sdk *trace.TracerProvider
}

// New returns a provider. Without an exporter its spans are not recorded;
// their trace ids still correlate log lines.
func New(ctx context.Context, config Config) (*Provider, error) {
	exporter, err := config.exporter(ctx)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	options := []trace.TracerProviderOption{trace.WithResource(config.resource())}
	if exporter == nil {
		options = append(options, trace.WithSampler(trace.NeverSample()))
	} else {
		options = append(options, trace.WithBatcher(filteringExporter{exporter}))
	}
	return &Provider{sdk: trace.NewTracerProvider(options...)}, nil
}

func (config *Config) exporter(ctx context.Context) (trace.SpanExporter, error) {
	if config.Spans != nil {
		return config.Spans, nil
	}
	switch config.Exporter {
	case bvsetting.TraceStdout:
		return stdouttrace.New(stdouttrace.WithWriter(config.Output))
	case bvsetting.TraceOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(config.Address), otlptracehttp.WithInsecure())
	}
	return nil, nil
}

func (config *Config) resource() *resource.Resource {
	return resource.NewSchemaless(
		serviceKey.String(serviceName),
		hostKey.String(config.Host),
		zoneKey.String(config.Zone),
		incarnationKey.String(config.Incarnation),
	)
}

// TracerProvider returns the provider by which instrumented libraries start spans.
func (provider *Provider) TracerProvider() api.TracerProvider {
	return provider.sdk
}

// Shutdown exports the remaining spans; it stops when ctx is done.
func (provider *Provider) Shutdown(ctx context.Context) error {
	if err := provider.sdk.Shutdown(ctx); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	return nil
}

// Propagator returns a propagator that carries the trace context between
// processes, but no baggage, which could hold a member's content.
func Propagator() propagation.TextMapPropagator {
	return propagation.TraceContext{}
}
