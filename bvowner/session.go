package bvowner

import (
	"context"
	"sync"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvtable"
	"balsamvalve.example/bvtrace"
	"balsamvalve.example/bvverdict"
)

// session is one call between its caller's stream and the ledger.
type session struct {
	owner    *Owner
	id       bvledger.CallID
	call     *bvpeer.Call
	row      bvtable.Row
	began    bvclock.Time
	deadline bvclock.Time
	context  context.Context // of the run, which outlives the caller's

	mutex  sync.Mutex
	events []*bvpeer.CallEvent
	wake   chan struct{}
	err    error
	done   bool
	gone   bool // the caller went away
	abort  context.CancelFunc
	span   bvtrace.Span // of what it waits for or does
}

func newSession(owner *Owner, call *bvpeer.Call) *session {
	return &session{owner: owner, call: call, wake: make(chan struct{}, 1)}
}

// ledgerCall translates the call for the ledger.
func (session *session) ledgerCall() bvledger.Call {
	call := session.call
	return bvledger.Call{
		ID:           session.id,
		Key:          bvledger.ProgramKey{Member: call.GetMember(), Program: call.GetProgram()},
		Parent:       call.GetParent(),
		Request:      call.GetRequest(),
		Turn:         int(call.GetTurn()),
		Digest:       call.GetDigest(),
		Unrepeatable: call.GetUnrepeatable(),
		Resent:       call.GetResent(),
		FullHistory:  call.GetFullHistory(),
		Messages:     call.GetModel().GetMessages(),
		Cost:         costOf(call),
		HistoryCost:  historyCostOf(call),
		Deadline:     session.deadline,
		Limits:       limitsOf(session.row),
	}
}

func limitsOf(row bvtable.Row) bvledger.Limits {
	return bvledger.Limits{Budget: row.Budget, Turns: row.Turns, Idle: row.Idle}
}

// serviceCost is what a call of a plain service costs, in work units.
const serviceCost = 1

// historyCostOf is what a byte of the kept history adds to a call's cost.
func historyCostOf(call *bvpeer.Call) int64 {
	if call.GetModel() == nil || call.GetFullHistory() {
		return 0
	}
	return 1
}

// costOf bounds what a call can spend, in tokens. A token is at least one
// byte, so the bytes of the prompt bound its tokens; the ledger adds those of
// the history.
func costOf(call *bvpeer.Call) int64 {
	model := call.GetModel()
	if model == nil {
		return serviceCost
	}
	return int64(len(model.GetMessages())) + int64(model.GetMaxTokens())
}

// enter ends the span of what the call did up to now and begins the next.
func (session *session) enter(name string) context.Context {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	session.span.End(nil)
	ctx, span := bvtrace.Start(session.context, name)
	session.span = span
	return ctx
}

// take takes over what the ledger decided for the call.
func (session *session) take(effect bvledger.Effect) {
	switch effect := effect.(type) {
	case bvledger.Start:
		go session.start(effect)
	case bvledger.Answer:
		session.finish(&bvpeer.Finished{
			Answer:   effect.Answer,
			Repeated: effect.Repeated,
			Turn:     int32(effect.Turn),
		})
	case bvledger.Refuse:
		session.fail(effect.Err)
	case bvledger.Abort:
		session.stop()
	}
}

func (session *session) finish(finished *bvpeer.Finished) {
	session.answered(finished.GetTurn(), finished.GetRepeated())
	session.push(&bvpeer.CallEvent{Event: &bvpeer.CallEvent_Finished{Finished: finished}}, true, nil)
	session.owner.unregister(session.id)
}

func (session *session) fail(err *bvverdict.Error) {
	session.push(nil, true, err)
	session.owner.unregister(session.id)
}

func (session *session) stop() {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.abort != nil {
		session.abort()
	}
}

// emit hands an event to the caller's stream. It never blocks: a caller that
// reads slowly must not hold up the endpoint, nor the end of the call.
func (session *session) emit(event *bvpeer.CallEvent) {
	session.push(event, false, nil)
}

func (session *session) push(event *bvpeer.CallEvent, done bool, err error) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.done {
		return
	}
	if event != nil && !session.gone {
		session.events = append(session.events, event)
	}
	if done {
		session.done = true
		session.err = err
		session.span.End(err)
	}
	select {
	case session.wake <- struct{}{}:
	default:
	}
}

// forward sends events until the call has ended or the caller has gone.
func (session *session) forward(ctx context.Context, send func(*bvpeer.CallEvent) error) error {
	for {
		events, done, err := session.drain()
		for _, event := range events {
			if err := send(event); err != nil {
				session.leave()
				return err
			}
		}
		if done {
			return err
		}
		select {
		case <-session.wake:
		case <-ctx.Done():
			session.leave()
			return bvverdict.New(bvverdict.MayHaveRun, bvverdict.Canceled, "the caller went away").WithCause(ctx.Err())
		}
	}
}

func (session *session) drain() (events []*bvpeer.CallEvent, done bool, err error) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	events = session.events
	session.events = nil
	return events, session.done, session.err
}

// leave notes that the caller went away; what is under way goes on.
func (session *session) leave() {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	session.gone = true
	session.events = nil
}

func (session *session) isGone() bool {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	return session.gone
}
