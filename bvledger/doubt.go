package bvledger

import (
	"balsamvalve.example/bvplatform"
	"slices"
)

// doubtOwnership reads the head row when a call is for a later turn than this
// host expects and nothing is under way.
//
// It guards against a stale owner that has nothing to write and so never
// learns of its successor: it would refuse the caller's next turns as out of
// order for as long as the caller keeps asking.
func (ledger *Ledger) doubtOwnership(program *program) {
	if program.phase != phaseOwned || program.running != nil || program.entry != nil || program.reloading {
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
		return row.Key == HeadKey(program.key) && row.Version > program.headVersion
	})
}
