package bvtrace

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/sdk/trace"
)

// exportedAttributes are the attributes that are exported: this project's own, and
// those of the libraries that can't hold a caller's data. The path of a URL can:
// it contains the id of a program or a query to a service.
var exportedAttributes = map[attribute.Key]bool{
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

// filteringExporter exports spans with allowed attributes only, and without events,
// links and the texts of errors.
type filteringExporter struct {
	trace.SpanExporter
}

// ExportSpans implements trace.SpanExporter.
func (exporter filteringExporter) ExportSpans(ctx context.Context, spans []trace.ReadOnlySpan) error {
	stripped := make([]trace.ReadOnlySpan, len(spans))
	for i, span := range spans {
		stripped[i] = strippedSpan{span}
	}
	return exporter.SpanExporter.ExportSpans(ctx, stripped)
}

type strippedSpan struct {
	trace.ReadOnlySpan
}

// Attributes implements trace.ReadOnlySpan.
func (span strippedSpan) Attributes() []attribute.KeyValue {
	var kept []attribute.KeyValue
	for _, pair := range span.ReadOnlySpan.Attributes() {
		if exportedAttributes[pair.Key] {
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
