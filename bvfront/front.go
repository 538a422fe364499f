// Package bvfront serves callers: it receives a request, finds its route, and forwards
// the request to an endpoint of the route's service.
//
// # Usage
//
//	front := bvfront.New(bvfront.Parts{Clock: clock, Wire: wire, State: state, ...})
//	server := bvfront.NewServer(front, log)
//	err := server.Serve(listener)
//
// # Status codes
//
// 503 and 429 mean that the request has not run and never will; they carry the time
// after which a retry can succeed. 429 is for a workspace beyond its usage cap. 502, 504
// and a broken connection promise nothing. 400 means that the request has no id, or more than
// one: no answer could be identified as its own. 401 means that no workspace holds the key, 404
// that no route, or no earlier turn, has the requested name; a host that can't be certain
// of that answers 503.
package bvfront

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"balsamvalve.example/bvbudget"
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvforward"
	"balsamvalve.example/bvhistory"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvquota"
	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvstream"
	"balsamvalve.example/bvsuspect"
)

// Wire reads and writes the headers that callers and endpoints use.
type Wire interface {
	ReadCall(header http.Header) bvroute.Call
	// Key returns the API key that a caller sends, or "".
	Key(header http.Header) string
	// SetWorkspace replaces the caller's key by the name of the workspace; an empty name
	// only removes the headers that the caller sent.
	SetWorkspace(header http.Header, name string)
	PrepareCall(header http.Header, endpoint string, remaining bvclock.Duration)
	// IsProtected reports whether a header must be forwarded even if the Connection
	// header names it.
	IsProtected(name string) bool
	SetUrgency(header http.Header, urgency int)
	PrepareAnswer(header http.Header)
	SetID(header http.Header, id string)
	SetRetryAfter(header http.Header, after bvclock.Duration)
}

// State is the desired state as known to this host.
type State interface {
	// Current returns the newest version, or nil before the first.
	Current() *bvroute.Table
	// View returns the newest version and how far it is confirmed.
	View() View
}

// View is a version of the desired state at one moment.
type View struct {
	Table *bvroute.Table // nil before the first
	// UpToDate: no newer version can exist that must already be in force here.
	UpToDate bool
	// KeysConfirmed: no key of this version can have been revoked for longer than the
	// bound allows.
	KeysConfirmed bool
}

// Store reports whether the platform's store can be reached.
type Store interface {
	// UnreachableFor returns how long the store has been unreachable; 0 if it is reachable.
	UnreachableFor() bvclock.Duration
}

// Dispatcher chooses endpoints. Its methods are safe for concurrent use.
type Dispatcher interface {
	// Admit decides whether a new program may begin at a service.
	Admit(service string, program bvdispatch.NewProgram) bvdispatch.Admission
	// AdmitsByTime reports whether programs' deadlines decide on their admission at a service.
	AdmitsByTime(service string) bool
	// ReportRefusal reports to the program's tracker that it was rejected because of its deadline.
	ReportRefusal(request *bvdispatch.Request, retryAfter bvclock.Duration)
	// IsOverdue reports whether a turn comes so late that its program is of no use
	// to its caller.
	IsOverdue(service, route string, timeLeft bvclock.Duration) bool
	// HasEarlierTurns reports whether the request's program is known to have had earlier turns.
	HasEarlierTurns(request *bvdispatch.Request) bool
	// MayHaveEarlierTurns reports whether that is known, or can't be found out.
	MayHaveEarlierTurns(request *bvdispatch.Request) bool
	Choose(service string, request *bvdispatch.Request) (bvplatform.Endpoint, bool)
	// Versions returns the software versions of a service's listed endpoints.
	Versions(service string) []string
	// OpenVersions returns the software versions of a service's endpoints that accept calls,
	// with the number of endpoints of each.
	OpenVersions(service string) map[string]int
	SetLoad(service, endpoint string, load bvroute.Load)
	EndCall(service, endpoint string, request *bvdispatch.Request, result bvdispatch.Result)
}

// Suspects are the requests that may crash endpoints.
type Suspects interface {
	RecordBrokenCall(call bvsuspect.BrokenCall)
	// RecordAnswer records that an endpoint has answered a request completely.
	RecordAnswer(answer bvsuspect.Answer)
	// RecordCheck records whether the endpoint of a broken call still runs.
	RecordCheck(call bvsuspect.BrokenCall, result bvforward.Liveness)
	// Decide decides what a request may do.
	Decide(content bvsuspect.Content) bvsuspect.Decision
	// Claim claims the right to run a request exclusively; EndClaim ends the run.
	Claim(ctx context.Context, decision bvsuspect.Decision) (*bvsuspect.Claim, error)
	EndClaim(claim *bvsuspect.Claim)
}

// Streams records where streams start, and finds it for callers that resume them.
type Streams interface {
	// Record records the start of a stream, and does not wait for it.
	Record(start bvstream.Start, retain bvclock.Duration) *bvstream.Recording
	// Find returns where a stream started.
	Find(ctx context.Context, query bvstream.Query) (bvstream.Origin, bvstream.Source, error)
	// EnsureStored reports whether an origin of streams is known to be stored. If not, it starts
	// to store it.
	EnsureStored(origin bvstream.HostOrigin) bool
}

// Endpoints sends requests to endpoints.
type Endpoints interface {
	// Send sends a request once.
	Send(ctx context.Context, request *bvforward.Request) (*bvforward.Response, error)
	// Check finds out whether an endpoint at which a call has just broken still runs.
	Check(ctx context.Context, endpoint bvplatform.Endpoint) bvforward.Liveness
}

// EndpointList is the list of endpoints that the dispatcher chooses from.
type EndpointList interface {
	// AsOf returns the time since which the list may have changed, or the start of the
	// process before the first full list.
	AsOf() bvclock.Time
	// IsFull reports whether the list has all endpoints.
	IsFull() bool
}

// Budgets reserves the tokens that a program's turn may generate.
type Budgets interface {
	Reserve(ctx context.Context, turn bvbudget.Turn) (*bvbudget.Reservation, error)
}

// Histories persists conversations.
type Histories interface {
	Chain(ctx context.Context, program, parent string) (bvhistory.Chain, error)
	Add(ctx context.Context, chain bvhistory.Chain, turn bvhistory.FinishedTurn) error
}

// Quotas enforces the usage caps of workspaces.
type Quotas interface {
	// Take grants or refuses a request. Ask means that no decision is possible now.
	Take(request bvquota.Request) bvquota.Decision
}

// Counters counts events and observes durations.
type Counters interface {
	Add(name string, delta int64)
	CountLimited(name, kind string, limit int)
	// Count counts one event of a kind.
	Count(name, kind string)
	CountRefusal(member string, err error)
	Observe(name string, duration bvclock.Duration)
}

// Parts are the components that a Front uses. All fields must be set.
type Parts struct {
	Clock      bvclock.Clock
	Wire       Wire
	State      State
	Store      Store
	Dispatcher Dispatcher
	Suspects   Suspects
	Streams    Streams
	Endpoints  Endpoints
	List       EndpointList
	Quotas     Quotas
	Budgets    Budgets
	Histories  Histories
	Counters   Counters
	Log        logrus.FieldLogger
	// Memory bounds the bytes that all calls hold at once, of requests and of answers;
	// 0 means no bound.
	Memory int64
	// LinkRate is the rate of the host's link, in bytes per second; 0 means unknown.
	LinkRate int64
	// Without has the mechanisms that are switched off for experiments.
	Without bvmechanism.Set
}

// Front serves callers. Make one with New; it is safe for concurrent use.
type Front struct {
	parts          Parts
	leaving        atomic.Bool
	endsAt         atomic.Int64    // when End is called; 0: not known
	ending         context.Context // ends with End
	end            context.CancelFunc
	memory         memory
	bulk           *rate.Limiter // of the bytes of long answers
	invalidReports logLimiter
}

// HeldBytes returns how many bytes calls hold, of requests and of answers.
func (front *Front) HeldBytes() int64 { return front.memory.used.Load() }

// Leave makes each answer ask its caller to close the connection, so that
// callers move to other hosts before this one stops.
func (front *Front) Leave() { front.leaving.Store(true) }

// EndAt announces when End is called. A request that is complete from now on, and whose time may last
// longer, is refused: it could not be served to its end.
func (front *Front) EndAt(at bvclock.Time) { front.endsAt.Store(int64(at)) }

// End ends all calls shortly before the process exits: their callers get an answer that states
// whether the request may have run, in place of a closed connection.
func (front *Front) End() { front.end() }

// errEnding is the cause of the end of calls by End. For them it is their deadline.
var errEnding = fmt.Errorf("the host stops: %w", context.DeadlineExceeded)

// addCloseHeader adds "Connection: close" to an answer's headers after Leave.
func (front *Front) addCloseHeader(header http.Header) {
	if front.leaving.Load() {
		header.Set("Connection", "close")
	}
}

// New returns a Front.
func New(parts Parts) *Front {
	front := &Front{parts: parts, memory: memory{limit: parts.Memory}, bulk: rate.NewLimiter(rate.Inf, bulkBurstBytes)}
	front.ending, front.end = context.WithCancel(context.Background())
	front.SetLinkRate(parts.LinkRate)
	return front
}

// ServeHTTP implements http.Handler. It doesn't use http.ServeMux, which would
// clean paths and redirect: paths are forwarded unchanged.
func (front *Front) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	call := front.newCall(writer, request)
	defer call.close()
	call.setDeadlines()
	call.finish(call.serveRecovered())
}
