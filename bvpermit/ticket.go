package bvpermit

import (
	"context"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvpeer"
)

// Ticket is one request in the hands of the deciding host.
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
	ticket.pool.do(func(now bvclock.Time) {
		ticket.pool.decisions.MarkUsed(now, ticket.id)
	})
}

// Finish reports how the call ended and gives its slot back. A second report
// changes nothing. Other hosts are told of a crash at once.
func (ticket *Ticket) Finish(finish *bvpeer.PermitFinish) {
	ticket.pool.do(func(now bvclock.Time) {
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
		go ticket.pool.server.tellSuspects(context.Background(), ticket.pool.name)
	}
}

// Withdraw takes back a request whose owner gave up before the decision.
func (ticket *Ticket) Withdraw() {
	ticket.pool.do(func(now bvclock.Time) {
		if _, found := ticket.pool.tickets[ticket.id]; !found {
			return
		}
		delete(ticket.pool.tickets, ticket.id)
		ticket.pool.decisions.Withdraw(now, ticket.id)
	})
}
