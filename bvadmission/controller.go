// Package bvadmission decides which new programs may start while the engines of a service
// have more work than they can finish in time.
//
// Calls beside each other slow each other down, so the load share up to which a program can
// end in time follows from how much longer than on idle engines it may take. A Controller
// learns the slowdown from the turns that end, and lowers its limits while turns end after
// their program's deadline. It handles surges of several times the load that the engines
// can serve in time, of one route or of all. It uses no network and no clock.
// docs/design/admission-by-time.md compares it with other rules.
//
// # Usage
//
//	var controller bvadmission.Controller
//	decision := controller.Admit(now, program, capacity)
//	if !decision.Admitted {
//		return decision.RetryAfter
//	}
//	controller.RecordTurn(now, turn) // whenever a turn ends
package bvadmission

import "balsamvalve.example/bvclock"

const (
	// FixedLimit is the load share up to which programs are admitted while nothing else is
	// known: a few calls beyond the slots wait little longer than their prompts take to be
	// read.
	FixedLimit = 1.2
	// minLimit bounds the limit from below: at this load share calls hardly slow each other
	// down, so programs that end late there are late for another reason.
	minLimit = 0.3
	// minTurns is the number of ended turns from which the slowdown counts as known.
	minTurns = 5
	// callerSlack is the time that callers allow a program, as a multiple of its duration on
	// idle engines. No header states that duration; the correction by late turns makes up
	// for callers that allow less or more.
	callerSlack = 1.6
	// safety is the part of its time that a program is planned to use, since programs vary.
	safety = 0.95
	// engineShare is the part of a program's time on idle engines that its calls take; the
	// pauses between them do not get longer under load.
	engineShare = 0.6
	// maxReserve is the largest part of the limit that only the most urgent programs may use.
	maxReserve = 0.4
	// dueExtra is added to the limit, as a part of it, for a program that retries at the time
	// that it was given, so that it goes before new ones.
	dueExtra = 0.05
)

// Controller decides on the new programs of one service. The zero value has learned nothing.
// It is not safe for concurrent use.
type Controller struct {
	slowdown   slowdown
	correction correction
	sizes      sizes
	demand     demand
	returns    returns
}

// Admit decides whether a new program may start.
func (controller *Controller) Admit(now bvclock.Time, program Program, capacity Capacity) Decision {
	controller.demand.add(now, program.Priority)
	if program.Waited == 0 {
		controller.sizes.add(program.Route, program.total())
	}
	decision := Decision{Reason: FixedLoadLimit, Limit: FixedLimit, Projected: capacity.LoadShare()}
	if program.HasDeadline() && capacity.isKnown() && controller.slowdown.count >= minTurns {
		decision.Reason, decision.Limit = CannotEndInTime, controller.limit(now, program)
	}
	if decision.Projected < decision.Limit {
		decision.Admitted, decision.Reason = true, HasCapacity
	}
	return decision
}

// limit returns the load share up to which a program can end in time. Programs that are
// small for their route have a higher limit: each has the same worth to its caller, and more
// of them end in time with the same capacity.
func (controller *Controller) limit(now bvclock.Time, program Program) float64 {
	stretch := callerSlack * safety * float64(program.left()) / float64(program.total())
	limit := controller.slowdown.loadShareAt(1 + (stretch-1)/engineShare)
	limit *= controller.sizes.preference(program.Route, program.total()) * controller.correction.factor()
	limit = min(max(limit, minLimit), FixedLimit)
	if program.Priority > 0 {
		limit *= 1 - maxReserve*controller.demand.urgentShare(now)
	}
	if program.isDue() {
		limit *= 1 + dueExtra
	}
	return limit
}

// RecordStart records that a program was admitted.
func (controller *Controller) RecordStart(now bvclock.Time) { controller.returns.recordStart(now) }

// RetryAfter returns the time after which the caller of a rejected program should retry.
func (controller *Controller) RetryAfter(now bvclock.Time, program Program) bvclock.Duration {
	retryAfter := program.DueIn
	if retryAfter <= 0 {
		retryAfter = controller.returns.assign(now, program.Priority, program.RetryWithin)
	}
	return program.clampRetry(retryAfter)
}

// RecordTurn records a turn that has ended.
func (controller *Controller) RecordTurn(now bvclock.Time, turn Turn) {
	controller.slowdown.add(now, turn)
	controller.correction.add(turn)
}

// IsOverdue reports whether a turn with this time left belongs to a program that is late by
// more than the total time that it had, so that its end is of no use to its caller.
func (controller *Controller) IsOverdue(route string, timeLeft bvclock.Duration) bool {
	return timeLeft < 0 && controller.sizes.isBeyond(route, -timeLeft)
}
