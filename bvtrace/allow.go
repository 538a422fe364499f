package bvtrace

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/sdk/trace"
)

// allowed are the attributes that are exported: this project's own, and those
// of the libraries that can hold nothing of a caller's. The path of a URL can:
// it has the program's id in it, or a question to a service.
var allowed = map[attribute.Key]bool{
	attributeProgram:  true,
	attributeHost:     true,
	attributeEndpoint: true,
	attributeVerdict:  true,
	attributeCode:     true,

	"http.request.method":       true,
	"http.route":                true,
	"http.response.status_code": true,
	"rpc.system":                true,
	"rpc.system.name":           true,
	"rpc.service":               true,
	"rpc.method":                true,
	"rpc.grpc.status_code":      true,
	"rpc.response.status_code":  true,
}

// allowing exports spans with allowed attributes only, and without events,
// links and the texts of errors.
type allowing struct {
	trace.SpanExporter
}

// ExportSpans implements trace.SpanExporter.
func (allowing allowing) ExportSpans(ctx context.Context, spans []trace.ReadOnlySpan) error {
	stripped := make([]trace.ReadOnlySpan, len(spans))
	for i, span := range spans {
		stripped[i] = strippedSpan{span}
	}
	return allowing.SpanExporter.ExportSpans(ctx, stripped)
}

type strippedSpan struct {
	trace.ReadOnlySpan
}

// Attributes implements trace.ReadOnlySpan.
func (span strippedSpan) Attributes() []attribute.KeyValue {
	var kept []attribute.KeyValue
	for _, pair := range span.ReadOnlySpan.Attributes() {
		if allowed[pair.Key] {
			kept = append(kept, pair)
		}
	}
	return kept
}

// Events implements trace.ReadOnlySpan.
func (strippedSpan) Events() []trace.Event { return nil }

// Links implements trace.ReadOnlySpan.
func (strippedSpan) Links() []trace.Link { return nil }

// Status implements trace.ReadOnlySpan.
func (span strippedSpan) Status() trace.Status {
	return trace.Status{Code: span.ReadOnlySpan.Status().Code}
}
