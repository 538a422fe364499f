package bvroute

import (
	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvclock"
)

// Call holds the metadata that a client sends with a request, besides method, path and
// body.
type Call struct {
	ID              string           // of this attempt of the client; globally unique
	Deadline        bvclock.Duration // how long the client waits from now on; 0: unspecified
	Affinity        string           // the same for requests that concern one object
	LastEventID     string           // ID of the last event that the client has of a resumed stream
	Resumes         string           // ID of the attempt that brought the first event of a resumed stream
	Model           string
	PromptTokens    int
	MaxOutputTokens int    // upper bound on the answer's tokens
	LengthHint      int    // the client's estimate of the answer's tokens; often far off
	Prefix          []Part // of the prompt, in order
	Program         string
	Session         string           // sequence of turns within the program
	ProgramDeadline bvclock.Duration // time left until the whole program should be finished; negative: it is over
	Budget          int              // tokens that all turns of the program may generate
	HasBudget       bool             // whether the client set a budget
	ParentTurn      string           // ID of the turn that this one continues
}

// firstTurnParts is the number of parts of the prompt of a program's first turn: one that it
// shares with other programs, and its own, which grows with later turns. Sub-agents add
// further parts.
const firstTurnParts = 2

// Continues reports whether the request indicates that the program had earlier turns. It
// does if it names a parent turn or if its prompt is a sub-agent's, but a later turn of the
// program's own session has as many parts as the first.
func (call *Call) Continues() bool {
	return call.ParentTurn != "" || len(call.Prefix) > firstTurnParts
}

// ResumesStream reports whether the client has received a part of the answer in an earlier
// attempt.
func (call *Call) ResumesStream() bool { return call.LastEventID != "" || call.Resumes != "" }

// Part is a part of a prompt, which an engine may have cached.
type Part struct {
	Key    uint64 // of its ID
	Tokens int
}

// PartKey returns the key of a part's ID.
func PartKey(id string) uint64 { return xxhash.Sum64String(id) }

// Answer holds the metadata that an endpoint sends with its answer, besides status and
// body.
type Answer struct {
	ID               string // of the request that it answers; "" if it names none, or several
	Sealed           bool   // has the endpoint's authentication code
	NotRun           bool   // the endpoint states that it did not run the request
	Load             Load
	HasLoad          bool
	InvalidLoad      string           // start of the text of a load report that can't be parsed; "": none
	KeepAlive        bvclock.Duration // how long the endpoint keeps an idle connection open; 0: unspecified
	ClosesConnection bool             // the endpoint closes the connection after this answer
}

// Load is the load that an endpoint reports, for all hosts together.
type Load struct {
	Running int
	Waiting int
	Slots   int
	Pace    int // how long work takes on its hardware now, in percent; 100: as usual, 0: not reported
}
