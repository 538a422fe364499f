package bvfleet

import (
	"balsamvalve.example/bvadmission"
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvmechanism"
)

// admit decides on a new program, by the host's pool or by the oracle.
func (simulation *simulation) admit(host *host, program *program) (bvclock.Duration, bool) {
	if simulation.load.Oracle {
		return simulation.admitByOracle(program)
	}
	request := bvdispatch.NewProgram{Priority: program.kind.Priority, Workspace: program.workspace}
	request.Timed = bvdispatch.Timed{
		Route: program.kind.Name, PromptTokens: program.promptTokens, ExpectedOutputTokens: int(program.turns[0].output),
		RetryWithin: simulation.turnTimeout() / retryAfterShare,
	}
	if simulation.load.ReportsPace {
		request.Deadline = program.startedAt.Add(program.timeLimit).Sub(simulation.now)
	}
	isTracked := simulation.load.Trackers && !simulation.load.Disabled.Has(bvmechanism.Returns)
	if isTracked && program.refusedAt != 0 {
		request.Refusal = bvadmission.Refusal{Waited: simulation.now.Sub(program.refusedAt), DueIn: max(program.dueAt.Sub(simulation.now), 0)}
	}
	admission := host.pool.Decide(simulation.now, request)
	if isTracked && admission.IsByTime() && program.refusedAt == 0 {
		program.refusedAt = simulation.now
	}
	program.dueAt = simulation.now.Add(admission.RetryAfter)
	return admission.RetryAfter, admission.Admitted
}

// recordTurn records a turn that has ended at the host that served it.
func (simulation *simulation) recordTurn(call *call) {
	if !simulation.load.ReportsPace {
		return
	}
	program := call.program
	simulation.hosts[call.host].pool.RecordTurn(simulation.now, bvadmission.Turn{
		EngineTime: simulation.now.Sub(call.sentAt), OutputTokens: int(program.turns[program.turnIndex].output),
		LoadShare: call.request.LoadShare, TimeLeft: program.startedAt.Add(program.timeLimit).Sub(simulation.now),
	})
}

// urgency returns the rank of a program's next turn among those that wait at an engine.
func (simulation *simulation) urgency(host *host, program *program) int {
	if host.pool.IsOverdue(program.kind.Name, program.startedAt.Add(program.timeLimit).Sub(simulation.now)) {
		return bvdispatch.OverdueUrgency
	}
	return bvdispatch.Urgency(program.kind.Priority, program.turnIndex > 0)
}
