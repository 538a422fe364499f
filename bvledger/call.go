package bvledger

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// CallID identifies a call within one Ledger, so within one host.
type CallID uint64

// ProgramKey names a program; programs of two members never share a key.
type ProgramKey struct {
	Member  string
	Program string
}

// Limits are the limits of a program from the operators' table. Zero means unbounded.
type Limits struct {
	Budget int64            // work units that the program may spend in all
	Turns  int              // calls that the program may make
	Idle   bvclock.Duration // after which the program counts as abandoned and ends
}

// Call is one call of a program.
type Call struct {
	ID           CallID
	Key          ProgramKey
	Parent       string // program of the same member that started this one
	Request      string // the caller's id of the call, the same in a repeat
	Turn         int    // from 1, as numbered by the caller; 0 means the next one
	Digest       string // of the body: a repeat must have the same
	Unrepeatable bool
	Resent       bool   // the caller has sent the request before: its refusal is then never "not run"
	FullHistory  bool   // Messages contains the whole history, not only the new messages
	Messages     []byte // JSON array of the call's new messages
	Cost         int64  // maximum that the call can spend, in work units, without HistoryCost
	HistoryCost  int64  // added to Cost for each byte of the history before the call
	Deadline     bvclock.Time
	Limits       Limits
}

// Result is the outcome of a started call.
type Result struct {
	Answer   []byte // complete answer; nil with Err
	Message  []byte // JSON array of messages that the answer adds to the history
	Spent    int64  // work units
	Endpoint string // endpoint that may hold the program's cache now
	// Err is set when there is no complete answer; its verdict states whether the
	// call may have run.
	Err *bvverdict.Error
}

// Effect is an action that the caller must carry out for the ledger.
type Effect interface{ effect() }

// Load asks for rows of the program to be read. Pass the result to HandleRows.
type Load struct {
	Key       ProgramKey
	Keys      []string // rows to read
	ScanTurns bool     // after reading the rows, also scan the prefix TurnPrefix(Key) to its end
}

// Commit asks for rows to be written. Pass the outcome to HandleCommit. Entries of many
// programs may be written in one transaction.
type Commit struct {
	Entry Entry
}

// Start asks for the call to be run now. History is the JSON array of the messages
// before the call's own.
type Start struct {
	Call     CallID
	History  []byte
	Turn     int
	Epoch    int64
	Attained int64  // work units that the program has spent so far
	Endpoint string // endpoint that ran the program's last turn, if any
}

// Answer ends a call with a complete answer that is durable.
type Answer struct {
	Call     CallID
	Answer   []byte
	Repeated bool // the answer is that of an earlier call; this one did not run
	Turn     int
}

// Refuse ends a call with an error.
type Refuse struct {
	Call CallID
	Err  *bvverdict.Error
}

// Abort asks for a started call to be stopped: its program has ended or moved to
// another host.
type Abort struct {
	Call CallID
}

// Release asks for the program's cache to be dropped at the endpoints. Confirm each
// with ConfirmRelease. AnyEndpoint stands for every endpoint that could have run the
// program.
type Release struct {
	Key       ProgramKey
	Endpoints []string
}

func (Load) effect()    {}
func (Commit) effect()  {}
func (Start) effect()   {}
func (Answer) effect()  {}
func (Refuse) effect()  {}
func (Abort) effect()   {}
func (Release) effect() {}
