// Package bvcaller is the callers' HTTP API: the OpenAI-compatible chat
// completions, plain services by path, and the programs they belong to.
//
// # Usage
//
//	api := bvcaller.New(bvcaller.Parts{Entry: entry, Policy: policy, Ring: ring, BodyLimit: 16 << 20, Measure: counters, Log: log})
//	server := &http.Server{Handler: api.Handler()}
//
// # Headers
//
// An unchanged client of the chat API works without any of these.
//
//	Bv-Program       the program's id; without it the call forms a single-call program
//	Bv-Turn          the number of the call in its program, from 1
//	Bv-Parent        the program that started this one
//	Bv-Request       the caller's id of the request, the same when it is repeated
//	Bv-Class         the row of the operators' table
//	Bv-Deadline-Ms   how long the caller waits, in ms
//	Bv-Unrepeatable  true: the request runs at most once
//	Bv-Resent        true: the request was sent before; a refusal then never
//	                 has the verdict "not run"
//	Bv-History       append (default): the body has only new messages; full: all
//
// Each answer carries Bv-Trace, the trace id of the request in the log lines of
// all hosts.
package bvcaller

import (
	"context"
	"net/http"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"balsamvalve.example/bvkey"
	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvtrace"
)

// Entry forwards calls to the owners of their programs.
type Entry interface {
	Run(ctx context.Context, call *bvpeer.Call, emit func(*bvpeer.CallEvent) error) error
	Fetch(ctx context.Context, member, program, request string) ([]byte, error)
	EndProgram(ctx context.Context, member, program string) error
}

// Policy decides by the operators' table and the platform's lists whether a call is
// admitted.
type Policy interface {
	// Admit returns a *bvverdict.Error when the host must not accept new calls,
	// or when the member's row does not allow the model or service.
	Admit(member, class string, call *bvpeer.Call) error
}

// Parts are the dependencies of the API. All but Tracers must be set.
type Parts struct {
	Entry     Entry
	Policy    Policy
	Ring      *bvkey.Ring
	BodyLimit int64 // in bytes
	Measure   Measure
	Log       logrus.FieldLogger
	Tracers   trace.TracerProvider // nil: no spans
}

// API holds the handlers.
type API struct {
	entry     Entry
	policy    Policy
	ring      *bvkey.Ring
	bodyLimit int64
	measure   Measure
	log       logrus.FieldLogger
	tracers   trace.TracerProvider
}

// Measure counts the answers and refusals that callers receive.
type Measure interface {
	CountAnswer()
	CountRefusal(member string, err error)
}

// New returns the API.
func New(parts Parts) *API {
	tracers := parts.Tracers
	if tracers == nil {
		tracers = noop.NewTracerProvider()
	}
	return &API{
		entry:     parts.Entry,
		policy:    parts.Policy,
		ring:      parts.Ring,
		bodyLimit: parts.BodyLimit,
		measure:   parts.Measure,
		log:       parts.Log,
		tracers:   tracers,
	}
}

// Handler returns the routes.
func (api *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", api.requireMember(api.handleChat))
	mux.HandleFunc("/v1/services/{service}/{path...}", api.requireMember(api.handleService))
	mux.HandleFunc("DELETE /v1/programs/{program}", api.requireMember(api.handleEndProgram))
	mux.HandleFunc("GET /v1/programs/{program}/answers/{request}", api.requireMember(api.handleFetch))
	return otelhttp.NewHandler(mux, "caller",
		otelhttp.WithTracerProvider(api.tracers), otelhttp.WithPropagators(bvtrace.Propagator()))
}
