package bvfront

import (
	"golang.org/x/sync/errgroup"

	"balsamvalve.example/bvbudget"
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvhistory"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvverdict"
)

// prepareTurn decides whether the request may run now, reserves a turn's tokens and
// gets its conversation, all before anything is sent.
func (call *call) prepareTurn() error {
	if err := call.admit(); err != nil {
		return err
	}
	if err := call.admitKept(); err != nil {
		return err
	}
	var group errgroup.Group
	if call.metadata.HasBudget && call.service.Engine != nil && call.metadata.Program != "" {
		group.Go(call.reserve)
	}
	if call.route.Retained {
		group.Go(call.loadConversation)
	}
	if err := group.Wait(); err != nil {
		return err
	}
	// Last, since what is refused before does not count against the cap.
	return call.takeQuota()
}

// admit turns a new program away where the engines can't serve it in time.
func (call *call) admit() error {
	if call.service.Engine == nil || call.metadata.Continues() {
		return nil
	}
	newcomer := bvdispatch.NewProgram{Priority: call.priority(), Workspace: call.workspaceName()}
	comeBack, admitted := call.front.parts.Dispatcher.Admit(call.service.Name, newcomer)
	if admitted || call.front.parts.Dispatcher.HasEarlierTurns(&call.placement) {
		return nil
	}
	call.front.parts.Counters.Add("programs_turned_away", 1)
	return bvverdict.Refuse(bvverdict.Overloaded, "the engines of %s can't serve another program in time", call.service.Name).
		WithRetryAfter(comeBack)
}

// admitKept decides on a turn that can't be kept now, since the store is away.
func (call *call) admitKept() error {
	if !call.route.Retained {
		return nil
	}
	away := call.front.parts.Store.AwayFor()
	if away == 0 {
		return nil
	}
	comeBack, run := holdTurn(away, call.left(), call.route.Timeout)
	if call.front.parts.Without.Has(bvmechanism.Holding) {
		comeBack, run = bvclock.Second, call.metadata.Continues()
	}
	if run {
		call.front.parts.Counters.Add("turns_held", 1)
		return nil
	}
	call.front.parts.Counters.Add("turns_sent_away", 1)
	return bvverdict.Refuse(bvverdict.PlatformUnavailable, "the turn can't be kept; the store has been away for %s", away).
		WithRetryAfter(comeBack)
}

func (call *call) reserve() (err error) {
	most := call.metadata.MaxOutputTokens
	if most <= 0 {
		most = call.metadata.Budget
	}
	call.reservation, err = call.front.parts.Budgets.Reserve(call.ctx, bvbudget.Turn{
		Program:   call.scoped(call.metadata.Program),
		Budget:    call.metadata.Budget,
		MaxTokens: most,
		Continues: call.metadata.Continues(),
		Retain:    call.route.Retain,
	})
	return err
}

func (call *call) loadConversation() (err error) {
	call.input = call.body
	call.stream.keep = true
	call.chain, err = call.front.parts.Histories.Chain(call.ctx, call.scoped(call.metadata.Program), call.scoped(call.metadata.ParentTurn))
	if err != nil {
		return err
	}
	call.body = call.chain.Prompt(call.input)
	ran := call.chain.Placement()
	call.placement.HeldPrefix = bvdispatch.HeldPrefix{Endpoint: ran.Endpoint, Tokens: ran.Tokens}
	return nil
}

// spend counts the events that are about to be handed on. What is not reserved
// must not be: an engine may generate more than it was asked for.
func (call *call) spend() bool {
	fresh := call.stream.fresh
	call.stream.fresh = 0
	return call.reservation == nil || call.reservation.Spend(fresh*call.service.Engine.EventTokens)
}

// keepTurn makes a turn of a conversation durable. The caller sees the end of
// its answer only after it.
func (call *call) keepTurn() error {
	if !call.route.Retained {
		return nil
	}
	began := call.front.parts.Clock.Now()
	defer func() { call.keptFor = call.front.parts.Clock.Now().Sub(began) }()
	return call.front.parts.Histories.Add(call.ctx, call.chain, bvhistory.FinishedTurn{
		ID:     call.scoped(call.metadata.ID),
		Input:  call.input,
		Output: call.stream.data,
		Retain: call.route.Retain,
		Placement: bvhistory.Placement{
			Endpoint: bvdispatch.HashID(call.at.ID()),
			Tokens:   call.placement.PromptTokens + call.generated(),
		},
	})
}

// generated is how many tokens the answer has so far.
func (call *call) generated() int {
	if call.service.Engine == nil {
		return 0
	}
	return call.stream.count * call.service.Engine.EventTokens
}
