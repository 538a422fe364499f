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

// session connects one call's caller stream to the ledger.
type session struct {
	owner       *Owner
	id          bvledger.CallID
	call        *bvpeer.Call
	row         bvtable.Row
	submittedAt bvclock.Time
	deadline    bvclock.Time
	context     context.Context // of the run, which outlives the caller's stream

	mutex      sync.Mutex
	events     []*bvpeer.CallEvent
	wake       chan struct{}
	err        error
	done       bool
	callerGone bool // the caller disconnected
	cancelRun  context.CancelFunc
	span       bvtrace.Span // of the current phase
}

func newSession(owner *Owner, call *bvpeer.Call) *session {
	return &session{owner: owner, call: call, wake: make(chan struct{}, 1)}
}

// ledgerCall converts the call for the ledger.
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

// serviceCost is the cost of a plain service call, in work units.
const serviceCost = 1

// historyCostOf is the cost per byte of the persisted history.
func historyCostOf(call *bvpeer.Call) int64 {
	if call.GetModel() == nil || call.GetFullHistory() {
		return 0
	}
	return 1
}

// costOf is the upper bound of a call's cost in tokens. A token is at least one byte,
// so the bytes of the prompt bound its tokens; the ledger adds those of the history.
func costOf(call *bvpeer.Call) int64 {
	model := call.GetModel()
	if model == nil {
		return serviceCost
	}
	return int64(len(model.GetMessages())) + int64(model.GetMaxTokens())
}

// startSpan ends the span of the call's previous phase and starts the next.
func (session *session) startSpan(name string) context.Context {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	session.span.End(nil)
	ctx, span := bvtrace.Start(session.context, name)
	session.span = span
	return ctx
}

// handleEffect carries out the ledger's decision on the call.
func (session *session) handleEffect(effect bvledger.Effect) {
	switch effect := effect.(type) {
	case bvledger.Start:
		go session.execute(effect)
	case bvledger.Answer:
		session.finish(&bvpeer.Finished{
			Answer:   effect.Answer,
			Repeated: effect.Repeated,
			Turn:     int32(effect.Turn),
		})
	case bvledger.Refuse:
		session.fail(effect.Err)
	case bvledger.Abort:
		session.abortRun()
	}
}

func (session *session) finish(finished *bvpeer.Finished) {
	session.observeAnswer(finished.GetTurn(), finished.GetRepeated())
	session.push(&bvpeer.CallEvent{Event: &bvpeer.CallEvent_Finished{Finished: finished}}, true, nil)
	session.owner.unregister(session.id)
}

func (session *session) fail(err *bvverdict.Error) {
	session.push(nil, true, err)
	session.owner.unregister(session.id)
}

func (session *session) abortRun() {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.cancelRun != nil {
		session.cancelRun()
	}
}

// emit queues an event for the caller's stream. It never blocks: a caller that reads
// slowly must delay neither the endpoint nor the end of the call.
func (session *session) emit(event *bvpeer.CallEvent) {
	session.push(event, false, nil)
}

func (session *session) push(event *bvpeer.CallEvent, done bool, err error) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.done {
		return
	}
	if event != nil && !session.callerGone {
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

// forward sends events until the call has ended or the caller has disconnected.
func (session *session) forward(ctx context.Context, send func(*bvpeer.CallEvent) error) error {
	for {
		events, done, err := session.takeEvents()
		for _, event := range events {
			if err := send(event); err != nil {
				session.markCallerGone()
				return err
			}
		}
		if done {
			return err
		}
		select {
		case <-session.wake:
		case <-ctx.Done():
			session.markCallerGone()
			return bvverdict.New(bvverdict.MayHaveRun, bvverdict.Canceled, "caller disconnected").WithCause(ctx.Err())
		}
	}
}

func (session *session) takeEvents() (events []*bvpeer.CallEvent, done bool, err error) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	events = session.events
	session.events = nil
	return events, session.done, session.err
}

// markCallerGone records that the caller disconnected; the running call continues.
func (session *session) markCallerGone() {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	session.callerGone = true
	session.events = nil
}

func (session *session) isCallerGone() bool {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	return session.callerGone
}
