package bvledger

import (
	"slices"

	"balsamvalve.example/bvplatform"
)

// verifyOwnership reads the head row again if a call is for a later turn than this host
// expects, or fetches an answer that it does not have, while no call runs and no entry
// is in flight.
//
// It guards against a stale owner that has nothing to write and so never detects its
// successor: it would refuse the caller's next turns as out of order as long as the
// caller retries, and would not find answers that the caller received from another
// host.
func (ledger *Ledger) verifyOwnership(program *program) {
	if !program.mayBeStale() || program.awaitingRows {
		return
	}
	unchecked := false
	for _, call := range program.queue {
		unchecked = unchecked || !call.ownerChecked
		call.ownerChecked = true
	}
	if unchecked {
		ledger.requestRows(program, false, HeadKey(program.key))
	}
}

// isOutdated reports whether the rows show that another host has written the head row
// of a program that this host owned.
func (program *program) isOutdated(rows []bvplatform.Row) bool {
	if program.phase != phaseOwned {
		return false
	}
	return slices.ContainsFunc(rows, func(row bvplatform.Row) bool {
		return row.Key == HeadKey(program.key) && row.Version != program.headVersion
	})
}

// isDiscardable reports whether this host's state of the program consists only of calls
// that were never started, so that it can be loaded again without loss.
func (program *program) isDiscardable() bool {
	return program.running == nil && program.entry == nil && program.uncommitted() == 0 && !program.dirty &&
		program.ending == nil && len(program.fetching) == 0 && len(program.settlements) == 0 && len(program.usedEndpoints) == 0
}

// reloadProgram reads a program again that other hosts owned in the meantime, and keeps
// its queued calls. Their callers would otherwise receive a refusal only because the
// program has returned to a former owner.
func (ledger *Ledger) reloadProgram(program *program) {
	program.phase = phaseLoading
	ledger.loadProgram(program, program.head.Parent)
	ledger.schedule(program)
}
