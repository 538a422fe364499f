package bvgate

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// RequestID identifies a request within one Pool.
type RequestID uint64

// Work is engine work in generated tokens: see Cost.
type Work float64

// Request is a request for a permit to make one call to an endpoint of the pool.
type Request struct {
	ID              RequestID
	Member          string
	Class           string       // row of the operators' table
	Program         string       // unique within the member
	Priority        int          // of the row; higher is served first within a member
	AttainedService Work         // attained by the program before this call
	PromptTokens    int          // of the whole prompt, including the history
	OutputTokens    int          // estimate; 0 lets the pool use its average
	HistoryEndpoint string       // endpoint of the program's last turn, if any
	HistoryTokens   int          // tokens of the prompt that this endpoint cached then
	Fingerprint     uint64       // of the request's content; 0 means none
	Deadline        bvclock.Time // 0 means none
	Unrepeatable    bool         // never granted twice
	Attempt         int          // how often the request was sent before
}

//go:generate stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome is how a granted call ended.
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

// Finish is the report on a granted call that ended.
type Finish struct {
	ID           RequestID
	Outcome      Outcome
	PromptTokens int
	CachedTokens int // of the prompt, as the endpoint reported
	OutputTokens int
	// Pause is the expected time until the program's next call; negative means that the
	// program has ended.
	Pause bvclock.Duration
}

// EndpointReport is the known state of an endpoint, from the list of endpoints and from
// its own lagging load reports.
type EndpointReport struct {
	Name        string
	Incarnation string       // differs for each start of the endpoint
	Slots       int          // maximum batch size; 0 takes no calls
	CacheTokens int          // prefix cache size
	Running     int          // calls, as reported
	ReportedAt  bvclock.Time // time of the report, on this host's clock
	Zone        string
	Leaving     bool
}

// MemberShare is a member's weight and its limits.
type MemberShare struct {
	Member string
	Weight float64
	// Rate and Concurrency limit the member; 0 means unlimited.
	Rate        float64 // calls per second
	Concurrency int     // granted calls
}

// Effect is an action that the pool's caller must carry out.
type Effect interface{ effect() }

// Grant permits a request's owner to call the endpoint.
type Grant struct {
	Request  RequestID
	Endpoint string
	// Isolated is set for a suspect, which runs with no other call beside it.
	Isolated bool
	// Priority is passed to the endpoint; higher runs first.
	Priority int
	// Expires is when the permit lapses, on the pool's clock, unless MarkUsed is called
	// before. An owner on another host can't compare it with its own clock: it starts
	// the call within half of PermitWindow by its own clock, or returns the permit with
	// Finish and Unused.
	Expires bvclock.Time
}

// Refusal is the final answer to a request that was not granted.
type Refusal struct {
	Request RequestID
	Err     *bvverdict.Error
}

// Release instructs an endpoint to drop a program's cached prefix.
type Release struct {
	Endpoint string
	Member   string
	Program  string
}

func (Grant) effect()   {}
func (Refusal) effect() {}
func (Release) effect() {}
