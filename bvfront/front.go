// Package bvfront serves callers by routes: it takes a request, finds its
// route, and passes it on to an endpoint of the route's service.
//
// # Usage
//
//	front := bvfront.New(bvfront.Parts{Clock: clock, Wire: wire, State: state, ...})
//	server := bvfront.NewServer(front, log)
//	err := server.Serve(listener)
//
// # What callers are told
//
// 503 and 429 mean that the request has not run and never will; they come with
// the time after which coming back can help; 429 is for a workspace beyond its usage cap. 502, 504 and a broken connection
// promise nothing. 401 means that no workspace holds the key, 404 that no route, or
// no earlier turn, has the name that was asked for; a host that can't be sure says 503.
package bvfront

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvbudget"
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvforward"
	"balsamvalve.example/bvhistory"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvquota"
	"balsamvalve.example/bvroute"
)

// Wire reads and writes the headers that callers and endpoints use.
type Wire interface {
	ReadCall(header http.Header) bvroute.Call
	// Key returns the API key that a caller shows, or "".
	Key(header http.Header) string
	// SetWorkspace puts the name of the workspace in place of the caller's key; an
	// empty name only removes what the caller sent.
	SetWorkspace(header http.Header, name string)
	PrepareCall(header http.Header, endpoint string, left bvclock.Duration)
	// IsProtected reports whether a header concerns more than one connection,
	// whatever the Connection header says.
	IsProtected(name string) bool
	SetUrgency(header http.Header, urgency int)
	PrepareAnswer(header http.Header)
	SetID(header http.Header, id string)
	SetRetryAfter(header http.Header, after bvclock.Duration)
}

// State is the desired state as far as this host knows it.
type State interface {
	// Current returns the newest version, or nil before the first.
	Current() *bvroute.Table
	// View returns the newest version with what is sure of it.
	View() View
}

// View is a version of the desired state at one moment.
type View struct {
	Table *bvroute.Table // nil before the first
	// Certain: there can't be a newer version that has been in force for longer than
	// its bound allows.
	Certain bool
	// KeysConfirmed: none of its keys can have been taken away for longer than the bound
	// allows.
	KeysConfirmed bool
}

// Store is the platform's store, as far as it decides what can be served.
type Store interface {
	// AwayFor returns for how long it could not be asked; 0: it can be.
	AwayFor() bvclock.Duration
}

// Dispatcher chooses endpoints. Its methods are safe for concurrent use.
type Dispatcher interface {
	Admit(service string, newcomer bvdispatch.NewProgram) (comeBack bvclock.Duration, admitted bool)
	// HasEarlierTurns reports whether the request's program had turns before this one.
	HasEarlierTurns(request *bvdispatch.Request) bool
	Choose(service string, request *bvdispatch.Request) (bvplatform.Endpoint, bool)
	SetLoad(service, endpoint string, load bvroute.Load)
	EndCall(service, endpoint string, request *bvdispatch.Request, result bvdispatch.Result)
	IsPoisonous(content uint64) bool
}

// Endpoints sends a request to an endpoint, once.
type Endpoints interface {
	Send(ctx context.Context, request *bvforward.Request) (*bvforward.Response, error)
}

// Budgets reserves what a program's turn may generate.
type Budgets interface {
	Reserve(ctx context.Context, turn bvbudget.Turn) (*bvbudget.Reservation, error)
}

// Histories keeps conversations.
type Histories interface {
	Chain(ctx context.Context, program, parent string) (bvhistory.Chain, error)
	Add(ctx context.Context, chain bvhistory.Chain, said bvhistory.FinishedTurn) error
}

// Quotas holds workspaces to their usage caps.
type Quotas interface {
	// Take decides on a request. Ask means that it could not be decided now.
	Take(request bvquota.Request) bvquota.Decision
}

// Counters count what is done.
type Counters interface {
	Add(name string, delta int64)
	Refused(member string, err error)
	Observe(name string, duration bvclock.Duration)
}

// Parts are what a Front works with. All fields must be set.
type Parts struct {
	Clock      bvclock.Clock
	Wire       Wire
	State      State
	Store      Store
	Dispatcher Dispatcher
	Endpoints  Endpoints
	Quotas     Quotas
	Budgets    Budgets
	Histories  Histories
	Counters   Counters
	Log        logrus.FieldLogger
	// Memory bounds the bytes that all calls hold at once, of requests and of answers;
	// 0 means no bound.
	Memory int64
	// Without are mechanisms that are switched off, for experiments.
	Without bvmechanism.Set
}

// Front serves callers. Make one with New; it is safe for concurrent use.
type Front struct {
	parts   Parts
	leaving atomic.Bool
	memory  memory
}

// HeldBytes returns how many bytes calls hold, of requests and of answers.
func (front *Front) HeldBytes() int64 { return front.memory.used.Load() }

// Leave makes each answer ask its caller to close the connection, so that
// callers move to other hosts before this one stops.
func (front *Front) Leave() { front.leaving.Store(true) }

// closing adds what Leave asks for to the head of an answer.
func (front *Front) closing(header http.Header) {
	if front.leaving.Load() {
		header.Set("Connection", "close")
	}
}

// New returns a Front.
func New(parts Parts) *Front {
	return &Front{parts: parts, memory: memory{limit: parts.Memory}}
}

// ServeHTTP implements http.Handler. It doesn't use http.ServeMux, which would
// clean paths and redirect: paths are passed on as they came.
func (front *Front) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	call := front.newCall(writer, request)
	defer call.close()
	call.boundConnection()
	err := call.serve()
	call.finish(err)
}
