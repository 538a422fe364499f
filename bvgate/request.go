package bvgate

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// RequestID identifies a request within one Pool.
type RequestID uint64

// Work is engine work in generated tokens: see Cost.
type Work float64

// Request asks for a permit to make one call to an endpoint of the pool.
type Request struct {
	ID              RequestID
	Member          string
	Class           string       // row of the operators' table
	Program         string       // unique within the member
	Priority        int          // of the row; higher goes first within a member
	AttainedService Work         // service that the program had before this call
	PromptTokens    int          // whole prompt, history included
	OutputTokens    int          // estimate; 0 lets the pool use what it learned
	HistoryEndpoint string       // endpoint that ran the program's last turn, if any
	HistoryTokens   int          // tokens of the prompt which that endpoint had cached then
	Fingerprint     uint64       // of the request's content; 0 means none
	Deadline        bvclock.Time // 0 means none
	Unrepeatable    bool         // never granted twice
	Attempt         int          // times that it was sent before
}

//go:generate stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome tells the pool how a granted call ended.
type Outcome int

// The outcomes of a granted call.
const (
	Succeeded Outcome = iota // succeeded
	Canceled                 // canceled
	Refused                  // refused
	Crashed                  // crashed
	Silent                   // silent
	Unused                   // unused
)

// Finish is the report of a granted call that ended.
type Finish struct {
	ID           RequestID
	Outcome      Outcome
	PromptTokens int
	CachedTokens int // of the prompt, as the endpoint reported
	OutputTokens int
	// Pause is how long the program is expected to stay away; negative means
	// that the program has ended.
	Pause bvclock.Duration
}

// EndpointReport is what is known of an endpoint: from the list of endpoints
// and from its own lagging load reports.
type EndpointReport struct {
	Name        string
	Incarnation string       // differs with each start of the endpoint
	Slots       int          // calls that it batches at once; 0 takes none
	CacheTokens int          // prefix cache size
	Running     int          // calls as reported
	ReportedAt  bvclock.Time // when the report was made, on this host's clock
	Zone        string
	Leaving     bool
}

// MemberShare is a member's weight.
type MemberShare struct {
	Member string
	Weight float64
	// Rate and Concurrency bound the member; 0 means unbounded.
	Rate        float64 // calls a second
	Concurrency int     // granted calls
}

// Effect is something that the pool wants done.
type Effect interface{ effect() }

// Grant lets a request's owner call the endpoint.
type Grant struct {
	Request  RequestID
	Endpoint string
	// Alone is set for a suspect, which runs with no other call beside it.
	Isolated bool
	// Priority is to be passed to the endpoint; higher goes first.
	Priority int
	// Expires is when the permit lapses, on the pool's clock, unless Used is
	// reported before. An owner on another host can't compare it: it begins
	// the call within half of PermitWindow of its own clock, or gives the
	// permit back with Finish and Unused.
	Expires bvclock.Time
}

// Refusal is the final answer to a request that was not granted.
type Refusal struct {
	Request RequestID
	Err     *bvverdict.Error
}

// Release tells an endpoint to drop what it caches for a program.
type Release struct {
	Endpoint string
	Member   string
	Program  string
}

func (Grant) effect()   {}
func (Refusal) effect() {}
func (Release) effect() {}
