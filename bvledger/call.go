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

// Limits are the cells of the operators' table that bind a program.
// Zero means unbounded.
type Limits struct {
	Budget int64            // work units that the program may spend in all
	Turns  int              // calls that the program may make
	Idle   bvclock.Duration // after which the program counts as lost and ends
}

// Call is one call of a program.
type Call struct {
	ID           CallID
	Key          ProgramKey
	Parent       string // program of the same member that started this one
	Request      string // the caller's id of the call, the same in a repeat
	Turn         int    // from 1, as the caller numbered it; 0 means the next
	Digest       string // of the body: a repeat must carry the same
	Unrepeatable bool
	Resent       bool   // the caller has sent the request before: a refusal then never says that it was not run
	FullHistory  bool   // Messages carry the whole history, not only what is new
	Messages     []byte // JSON array of the call's new messages
	Cost         int64  // most that the call can spend, in work units, without HistoryCost
	HistoryCost  int64  // what each byte of the history that comes before the call adds to Cost
	Deadline     bvclock.Time
	Limits       Limits
}

// Result is how a started call ended.
type Result struct {
	Answer   []byte // complete answer; nil with Err
	Message  []byte // JSON array of messages that the answer adds to the history
	Spent    int64  // work units
	Endpoint string // that may hold the program's cache now
	// Err is set when there is no complete answer; its verdict says whether
	// the call may have run.
	Err *bvverdict.Error
}

// Effect is something that the ledger wants done.
type Effect interface{ effect() }

// Load wants the program's rows read; the answer is given to HandleRows.
type Load struct {
	Key       ProgramKey
	Keys      []string // rows to read
	ScanTurns bool     // scan the prefix TurnPrefix(Key) too, to its end, after the rows are read
}

// Commit wants rows written; the outcome is given to HandleCommit. Entries of
// many programs may be written in one transaction.
type Commit struct {
	Entry Entry
}

// Start lets the call run now. History is the JSON array of messages that
// come before the call's own.
type Start struct {
	Call     CallID
	History  []byte
	Turn     int
	Epoch    int64
	Attained int64  // work units that the program has spent so far
	Endpoint string // that ran the program's last turn, if any
}

// Answer ends a call with a complete answer that is kept durably.
type Answer struct {
	Call     CallID
	Answer   []byte
	Repeated bool // the answer was kept before, this call ran nothing
	Turn     int
}

// Refuse ends a call with an error.
type Refuse struct {
	Call CallID
	Err  *bvverdict.Error
}

// Abort wants a started call stopped: its program ended or moved.
type Abort struct {
	Call CallID
}

// Release wants the endpoints told to drop the program's cache. Confirm each
// with ConfirmRelease. AnyEndpoint among them stands for all that could have run
// the program.
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
