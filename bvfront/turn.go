package bvfront

import (
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"balsamvalve.example/bvbudget"
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvhistory"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvshare"
	"balsamvalve.example/bvverdict"
)

// prepareTurn decides whether the request may run now, reserves the turn's tokens and
// loads its conversation, before the request is sent to an endpoint.
func (call *call) prepareTurn() error {
	if err := call.admit(); err != nil {
		return err
	}
	if err := call.admitRetained(); err != nil {
		return err
	}
	var group errgroup.Group
	if call.metadata.HasBudget && call.service.Engine != nil && call.metadata.Program != "" {
		group.Go(call.reserveTokens)
	}
	if call.route.Retained {
		group.Go(call.loadConversation)
	}
	if err := group.Wait(); err != nil {
		return err
	}
	// The quota comes last: requests refused earlier do not count against the cap.
	return call.chargeQuota()
}

// admit rejects a new program if the engines can't serve it in time.
func (call *call) admit() error {
	if call.service.Engine == nil || call.metadata.Continues() || call.resumesStream() {
		return nil
	}
	if call.isAdmittedByTime() && call.front.parts.Dispatcher.HasEarlierTurns(&call.placement) {
		return nil // the query also returns the program's earlier rejections
	}
	var standing bvshare.Standing
	program := call.newProgram()
	program.Standing = &standing
	admission := call.front.parts.Dispatcher.Admit(call.service.Name, program)
	if admission.Admitted || call.front.parts.Dispatcher.HasEarlierTurns(&call.placement) {
		return nil
	}
	call.front.parts.Counters.Add("programs_turned_away", 1)
	call.reportShare(standing)
	call.recordRejection(admission)
	return bvverdict.Refuse(bvverdict.Overloaded, "the engines of %s can't serve another program in time", call.service.Name).
		WithRetryAfter(admission.RetryAfter)
}

// newProgram describes the request's program to the dispatcher.
func (call *call) newProgram() bvdispatch.NewProgram {
	program := bvdispatch.NewProgram{Priority: call.priority(), Workspace: call.workspaceName()}
	program.Timed = bvdispatch.Timed{
		Route:                call.route.Name,
		Deadline:             call.metadata.ProgramDeadline,
		PromptTokens:         call.metadata.PromptTokens,
		ExpectedOutputTokens: call.metadata.LengthHint,
		Refusal:              call.placement.Refusal,
		RetryWithin:          bvclock.Duration(retryShare * float64(call.remaining())),
	}
	return program
}

// isAdmittedByTime reports whether the deadline of the request's program may decide on it.
func (call *call) isAdmittedByTime() bool {
	return call.metadata.ProgramDeadline != 0 && call.front.parts.Dispatcher.AdmitsByTime(call.service.Name)
}

// recordRejection records what a rejection is based on, for the log and the program's tracker.
func (call *call) recordRejection(admission bvdispatch.Admission) {
	call.rejection = &admission
	if admission.IsByTime() {
		call.front.parts.Counters.Add("programs_turned_away_by_time", 1)
		call.front.parts.Dispatcher.ReportRefusal(&call.placement, admission.RetryAfter)
	}
}

// rejectionFields returns what the rejection is based on, for the log.
func (call *call) rejectionFields() logrus.Fields {
	rejection := call.rejection
	return logrus.Fields{
		"reason":      rejection.Reason.String(),
		"projected":   rejection.Projected,
		"limit":       rejection.Limit,
		"calls":       rejection.Capacity.Calls,
		"slots":       rejection.Capacity.Slots,
		"age_ms":      int64(rejection.Capacity.Age),
		"deadline_ms": int64(call.metadata.ProgramDeadline),
		"waited_ms":   int64(call.placement.Refusal.Waited),
		"prompt":      call.metadata.PromptTokens,
		"expected":    call.metadata.LengthHint,
		"retry_ms":    int64(rejection.RetryAfter),
	}
}

// programDeadline returns when the request's program should have ended, or 0 if its caller
// has not stated that.
func (call *call) programDeadline() bvclock.Time {
	if call.metadata.ProgramDeadline == 0 {
		return 0
	}
	return call.arrived.Add(call.metadata.ProgramDeadline)
}

// admitRetained decides on a turn that can't be persisted now because the store is
// unreachable.
func (call *call) admitRetained() error {
	if !call.route.Retained {
		return nil
	}
	outage := call.front.parts.Store.UnreachableFor()
	if outage == 0 {
		return nil
	}
	retryAfter, run := decideTurn(outage, call.remaining(), call.route.Timeout)
	if call.front.parts.Without.Has(bvmechanism.Holding) {
		retryAfter, run = bvclock.Second, call.metadata.Continues()
	}
	if run {
		call.front.parts.Counters.Add("turns_held", 1)
		return nil
	}
	call.front.parts.Counters.Add("turns_sent_away", 1)
	return bvverdict.Refuse(bvverdict.PlatformUnavailable, "the turn can't be kept; the store has been away for %s", outage).
		WithRetryAfter(retryAfter)
}

func (call *call) reserveTokens() (err error) {
	maxTokens := call.metadata.MaxOutputTokens
	if maxTokens <= 0 {
		maxTokens = call.metadata.Budget
	}
	minTokens := 0
	if call.service.Engine != nil {
		minTokens = call.service.Engine.EventTokens
	}
	call.reservation, err = call.front.parts.Budgets.Reserve(call.ctx, bvbudget.Turn{
		Program:   call.scopedID(call.metadata.Program),
		Budget:    call.metadata.Budget,
		MaxTokens: maxTokens,
		MinTokens: minTokens,
		Retained:  call.route.Retained,
		Retain:    call.route.Retain,
	})
	return err
}

func (call *call) loadConversation() (err error) {
	call.input = call.body
	call.stream.collect = true
	call.chain, err = call.front.parts.Histories.Chain(call.ctx, call.scopedID(call.metadata.Program), call.scopedID(call.metadata.ParentTurn))
	if err != nil {
		return err
	}
	call.body = call.chain.Prompt(call.input)
	ran := call.chain.Placement()
	call.placement.HeldPrefix = bvdispatch.HeldPrefix{Endpoint: ran.Endpoint, Tokens: ran.Tokens}
	return nil
}

// spendTokens spends reserved tokens for the events that are about to be passed on. It
// returns false if they exceed the reservation: an engine may generate more tokens than
// requested, and those must not be passed on.
func (call *call) spendTokens() bool {
	events := call.stream.unspent
	call.stream.unspent = 0
	return call.reservation == nil || call.reservation.Spend(events*call.service.Engine.EventTokens)
}

// persistTurn stores a turn of a conversation. The caller gets the end of its answer only
// afterwards.
func (call *call) persistTurn() error {
	if !call.route.Retained {
		return nil
	}
	startedAt := call.front.parts.Clock.Now()
	defer func() { call.persistDuration = call.front.parts.Clock.Now().Sub(startedAt) }()
	return call.front.parts.Histories.Add(call.ctx, call.chain, bvhistory.FinishedTurn{
		ID:     call.scopedID(call.metadata.ID),
		Input:  call.input,
		Output: call.stream.data,
		Retain: call.route.Retain,
		Placement: bvhistory.Placement{
			Endpoint: bvdispatch.HashID(call.endpoint.ID()),
			Tokens:   call.placement.PromptTokens + call.generatedTokens(),
		},
	})
}

// generatedTokens returns the number of tokens that the answer has so far.
func (call *call) generatedTokens() int {
	if call.service.Engine == nil {
		return 0
	}
	return call.stream.count * call.service.Engine.EventTokens
}
