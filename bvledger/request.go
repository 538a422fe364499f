package bvledger

import (
	"errors"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

type callState int

const (
	callQueued    callState = iota // waits for its turn
	callPreparing                  // needs rows written before it may start
	callRunning                    // started
	callJoined                     // a repeat, waits for the outcome of the first
	callUnkept                     // has its answer, waits for the commit
)

type callKind int

const (
	kindCall callKind = iota
	kindFetch
	kindEnd
)

// call is a caller's call on its way through the ledger.
type call struct {
	Call
	kind        callKind
	state       callState
	program     *program
	arrived     bvclock.Time
	waitsSince  bvclock.Time // for rows to be written
	waitUntil   bvclock.Time // refused then, unless it has started
	keepUntil   bvclock.Time // told then that its answer isn't kept yet
	joined      []*call
	abandoned   bool
	historyCost int64 // that Cost has in it
	repeated    bool  // its answer is that of another submission
	aborted     bool
	sent        bool // MayStart said yes
	looked      bool // for the newest record of its request
	doubted     bool // whether this host still owns the program
	inserted    bool // its unrepeatable record is in the platform
	windowEnd   bvclock.Time
}

// timeout is when Tick must look at the call; 0 means never.
func (call *call) timeout() bvclock.Time {
	switch call.state {
	case callQueued, callPreparing:
		return earlier(call.waitUntil, call.Deadline)
	case callUnkept:
		return earlier(call.keepUntil, call.Deadline)
	case callJoined:
		return call.Deadline
	}
	return 0
}

// earlier returns the earlier of two times, where 0 means never.
func earlier(a, b bvclock.Time) bvclock.Time {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

func due(at, now bvclock.Time) bool {
	return at != 0 && !now.Before(at)
}

func (ledger *Ledger) emit(effect Effect) {
	ledger.effects = append(ledger.effects, effect)
}

// forget ends the ledger's interest in a call.
func (ledger *Ledger) forget(call *call) {
	delete(ledger.calls, call.ID)
}

func (ledger *Ledger) answer(call *call, answer []byte, turn int, repeated bool) {
	ledger.forget(call)
	if !call.abandoned {
		ledger.emit(Answer{Call: call.ID, Answer: answer, Turn: turn, Repeated: repeated})
	}
}

// refuse ends a call and those that joined it.
//
// A verdict is about the request, not about this submission of it. A caller
// that heard nothing and sends a booking again must not be told "not run" only
// because this submission didn't get far: the first one may have run at a
// host that is gone. Without that caller's word this host can't know. For a fetch
// there always was a first one.
func (ledger *Ledger) refuse(call *call, err *bvverdict.Error) {
	ledger.forget(call)
	told := err
	if (call.Resent || call.kind == kindFetch) && err.Verdict() == bvverdict.NotRun {
		told = bvverdict.New(bvverdict.MayHaveRun, err.Code(), "%s", err.Reason()).
			WithRetryAfter(err.RetryAfter()).WithCause(errors.Unwrap(err))
	}
	if !call.abandoned {
		ledger.emit(Refuse{Call: call.ID, Err: told})
	}
	for _, joined := range call.joined {
		ledger.refuse(joined, err)
	}
	call.joined = nil
}
