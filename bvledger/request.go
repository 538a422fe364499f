package bvledger

import (
	"errors"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

type callState int

const (
	callQueued     callState = iota // waits for the turn before it
	callPreparing                   // waits for rows that must be written before it may start
	callRunning                     // started
	callJoined                      // a repeat, waits for the outcome of the original call
	callCommitting                  // has its answer, waits for the commit
)

type callKind int

const (
	kindCall callKind = iota
	kindFetch
	kindEnd
)

// call is a call and its state in the ledger.
type call struct {
	Call
	kind           callKind
	state          callState
	program        *program
	arrivedAt      bvclock.Time
	preparingSince bvclock.Time // first time that it waited for rows to be written
	waitUntil      bvclock.Time // when it is refused, unless it has started
	commitUntil    bvclock.Time // when it is refused if its answer is not committed
	joined         []*call
	abandoned      bool
	historyCost    int64 // part of Cost
	repeated       bool  // its answer is that of another submission
	aborted        bool
	startAllowed   bool // MayStart has returned true
	recordRead     bool // the record of its request was read again
	ownerChecked   bool // the head row was read again to verify that this host still owns the program
	recordInserted bool // its once record is durable
	windowEnd      bvclock.Time
}

// timeout returns when Tick must handle the call; 0 means never.
func (call *call) timeout() bvclock.Time {
	switch call.state {
	case callQueued, callPreparing:
		return earlier(call.waitUntil, call.Deadline)
	case callCommitting:
		return earlier(call.commitUntil, call.Deadline)
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

func isDue(at, now bvclock.Time) bool {
	return at != 0 && !now.Before(at)
}

func (ledger *Ledger) emit(effect Effect) {
	ledger.effects = append(ledger.effects, effect)
}

// removeCall removes a call that has its outcome.
func (ledger *Ledger) removeCall(call *call) {
	delete(ledger.calls, call.ID)
}

func (ledger *Ledger) answerCall(call *call, answer []byte, turn int, repeated bool) {
	ledger.removeCall(call)
	if !call.abandoned {
		ledger.emit(Answer{Call: call.ID, Answer: answer, Turn: turn, Repeated: repeated})
	}
}

// refuseCall refuses a call and those that joined it.
//
// A verdict applies to the request, not to this submission of it. A caller that received
// no answer and resends a booking must not get the verdict "not run" only because this
// submission did not start: the first one may have run on a host that has since failed.
// This host knows of an earlier submission only from the caller (Resent). A fetch always
// has one.
func (ledger *Ledger) refuseCall(call *call, err *bvverdict.Error) {
	ledger.removeCall(call)
	reported := err
	if (call.Resent || call.kind == kindFetch) && err.Verdict() == bvverdict.NotRun {
		reported = bvverdict.New(bvverdict.MayHaveRun, err.Code(), "%s", err.Reason()).
			WithRetryAfter(err.RetryAfter()).WithCause(errors.Unwrap(err))
	}
	if !call.abandoned {
		ledger.emit(Refuse{Call: call.ID, Err: reported})
	}
	for _, joined := range call.joined {
		ledger.refuseCall(joined, err)
	}
	call.joined = nil
}
