package bvroute

import (
	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvclock"
)

// Call is what a client says of a request, besides method, path and body.
type Call struct {
	ID              string           // of this attempt of the client; unique for all time
	Deadline        bvclock.Duration // that the client waits from now on; 0: it did not say
	Affinity        string           // the same for requests that concern one object
	LastEventID     string           // id of the last event that the client has of a resumed stream
	Model           string
	PromptTokens    int
	MaxOutputTokens int    // most tokens that the answer may have
	LengthHint      int    // the client's estimate of the answer's tokens; often far off
	Prefix          []Part // of the prompt, in order
	Program         string
	Session         string           // one line of a program's turns
	ProgramDeadline bvclock.Duration // until the whole program should be finished
	Budget          int              // tokens that all turns of the program may generate
	HasBudget       bool             // whether the client named a budget
	ParentTurn      string           // id of the turn that this one continues
}

// firstTurnParts is how many parts the prompt of a program's first turn has: what it
// shares with others, and its own, which grows with later turns. Sub-agents add to them.
const firstTurnParts = 2

// Continues reports whether the prompt shows that the program had turns before this
// one. It does for sub-agents, and not for later turns of a program's own line.
func (call *Call) Continues() bool {
	return call.ParentTurn != "" || len(call.Prefix) > firstTurnParts
}

// Part is a part of a prompt, which an engine may have cached.
type Part struct {
	Key    uint64 // of its id
	Tokens int
}

// PartKey returns the key of a part's id.
func PartKey(id string) uint64 { return xxhash.Sum64String(id) }

// Answer is what an endpoint says of its answer, besides status and body.
type Answer struct {
	ID               string // of the request that it answers
	Sealed           bool   // bears the endpoint's authentication code
	NotRun           bool   // the endpoint says that it did not run the request
	Load             Load
	HasLoad          bool
	KeepAlive        bvclock.Duration // how long the endpoint keeps an idle connection; 0: it did not say
	ClosesConnection bool             // the endpoint closes the connection after this answer
}

// Load is an endpoint's load as it tells it, for all hosts together.
type Load struct {
	Running int
	Waiting int
	Slots   int
}
