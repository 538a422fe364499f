package bvledger

import (
	"slices"

	"balsamvalve.example/bvplatform"
)

// doubtOwnership reads the head row when a call is for a later turn than this
// host expects, or asks for an answer that it does not have, and nothing is
// under way.
//
// It guards against a stale owner that has nothing to write and so never
// learns of its successor: it would refuse the caller's next turns as out of
// order for as long as the caller keeps asking, and not know answers that the
// caller was given elsewhere.
func (ledger *Ledger) doubtOwnership(program *program) {
	if !program.mayBeStale() || program.reloading {
		return
	}
	doubted := false
	for _, call := range program.queue {
		doubted = doubted || !call.doubted
		call.doubted = true
	}
	if doubted {
		ledger.read(program, false, HeadKey(program.key))
	}
}

// outdated reports whether the rows show that another host has written the
// head of a program that this host owned.
func (program *program) outdated(rows []bvplatform.Row) bool {
	if program.phase != phaseOwned {
		return false
	}
	return slices.ContainsFunc(rows, func(row bvplatform.Row) bool {
		return row.Key == HeadKey(program.key) && row.Version != program.headVersion
	})
}

// unburdened reports whether this host has nothing of the program but calls
// that were never started, so that reading it again loses nothing.
func (program *program) unburdened() bool {
	return program.running == nil && program.entry == nil && program.unkept() == 0 && !program.dirty &&
		program.ending == nil && len(program.fetching) == 0 && len(program.settlements) == 0 && len(program.used) == 0
}

// reload reads a program again that other hosts owned in the meantime, and
// keeps the calls that wait. To refuse them would let their callers notice
// that the program came back to a host that had it before.
func (ledger *Ledger) reload(program *program) {
	program.phase = phaseLoading
	ledger.load(program, program.head.Parent)
	ledger.schedule(program)
}
