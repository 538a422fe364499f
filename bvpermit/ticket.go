package bvpermit

import (
	"context"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvpeer"
)

// Ticket is a request that the deciding host has received.
type Ticket struct {
	pool     *pool
	id       bvgate.RequestID
	decision chan *bvpeer.PermitDecision
}

// Decision delivers the grant or the refusal, once.
func (ticket *Ticket) Decision() <-chan *bvpeer.PermitDecision {
	return ticket.decision
}

func (ticket *Ticket) deliver(decision *bvpeer.PermitDecision) {
	select {
	case ticket.decision <- decision:
	default:
	}
}

// MarkUsed reports that the call was sent, so that the permit no longer lapses.
func (ticket *Ticket) MarkUsed() {
	ticket.pool.apply(func(now bvclock.Time) {
		ticket.pool.decisions.MarkUsed(now, ticket.id)
	})
}

// Finish reports how the call ended and frees its slot. A second report has no effect.
// After a crash, the suspects are sent to other hosts at once.
func (ticket *Ticket) Finish(finish *bvpeer.PermitFinish) {
	ticket.pool.apply(func(now bvclock.Time) {
		if _, found := ticket.pool.tickets[ticket.id]; !found {
			return
		}
		delete(ticket.pool.tickets, ticket.id)
		ticket.pool.decisions.Finish(now, bvgate.Finish{
			ID:           ticket.id,
			Outcome:      bvgate.Outcome(finish.GetOutcome()),
			PromptTokens: int(finish.GetPromptTokens()),
			CachedTokens: int(finish.GetCachedTokens()),
			OutputTokens: int(finish.GetOutputTokens()),
			Pause:        bvclock.Duration(finish.GetPauseMs()),
		})
	})
	if bvgate.Outcome(finish.GetOutcome()) == bvgate.Crashed {
		go ticket.pool.server.sendNewSuspects(context.Background(), ticket.pool.name)
	}
}

// Withdraw removes a request whose owner canceled it before the decision.
func (ticket *Ticket) Withdraw() {
	ticket.pool.apply(func(now bvclock.Time) {
		if _, found := ticket.pool.tickets[ticket.id]; !found {
			return
		}
		delete(ticket.pool.tickets, ticket.id)
		ticket.pool.decisions.Withdraw(now, ticket.id)
	})
}
