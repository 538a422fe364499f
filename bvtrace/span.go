package bvtrace

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"balsamvalve.example/bvverdict"
)

const tracerName = "balsamvalve.example/bvtrace"

// Attributes of this project's own spans.
const (
	attributeProgram  = attribute.Key("bv.program")
	attributeHost     = attribute.Key("bv.host")
	attributeEndpoint = attribute.Key("bv.endpoint")
	attributeVerdict  = attribute.Key("bv.verdict")
	attributeCode     = attribute.Key("bv.code")
)

// programHashBytes is the length of the exported prefix of a program's hash.
const programHashBytes = 8

// Span is one hop of a request. The zero value records nothing.
type Span struct {
	span trace.Span
}

// Start starts a child of the span in ctx, with the same provider. If ctx has no
// span, or one that is not recorded, Start returns a Span that records nothing, to
// avoid the cost.
func Start(ctx context.Context, name string) (context.Context, Span) {
	parent := trace.SpanFromContext(ctx)
	if !parent.IsRecording() {
		return ctx, Span{}
	}
	ctx, span := parent.TracerProvider().Tracer(tracerName).Start(ctx, name)
	return ctx, Span{span}
}

// SetProgram sets the program as a hash, which reveals neither its id nor its
// member.
func (span Span) SetProgram(member, program string) {
	if span.span != nil {
		span.span.SetAttributes(attributeProgram.String(hashProgram(member, program)))
	}
}

func hashProgram(member, program string) string {
	digest := sha256.Sum256([]byte(member + "\x00" + program))
	return hex.EncodeToString(digest[:programHashBytes])
}

// SetHost sets the host to which the request is sent.
func (span Span) SetHost(name string) {
	span.set(attributeHost, name)
}

// SetEndpoint sets the endpoint that is called.
func (span Span) SetEndpoint(name string) {
	span.set(attributeEndpoint, name)
}

func (span Span) set(key attribute.Key, value string) {
	if span.span != nil {
		span.span.SetAttributes(key.String(value))
	}
}

// End ends the span. Of an error it records only the verdict and the code, since
// the reason can hold a caller's text.
func (span Span) End(err error) {
	if span.span == nil {
		return
	}
	if err != nil {
		verdict := bvverdict.From(err)
		span.span.SetAttributes(attributeVerdict.String(verdict.Verdict().String()), attributeCode.String(verdict.Code().String()))
		span.span.SetStatus(codes.Error, "")
	}
	span.span.End()
}

// ID returns the id of the trace in ctx; empty if there is none.
func ID(ctx context.Context) string {
	if id := trace.SpanContextFromContext(ctx).TraceID(); id.IsValid() {
		return id.String()
	}
	return ""
}

// Inject adds the trace context to the headers of a request.
func Inject(ctx context.Context, header http.Header) {
	Propagator().Inject(ctx, propagation.HeaderCarrier(header))
}
