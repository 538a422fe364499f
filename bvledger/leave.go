package bvledger

import (
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// Leave starts to hand over this host's programs, each as soon as none of its calls and
// writes is in progress. Unlike after a crash, the next owner then neither counts an
// unsettled block as spent nor has to release the program's cache at every endpoint.
// Wait until Programs returns 0, for a bounded time: remaining programs are taken over
// like those of a crashed host.
func (ledger *Ledger) Leave(now bvclock.Time) {
	ledger.leaving = true
	keys := make([]ProgramKey, 0, len(ledger.programs))
	for key := range ledger.programs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	for _, key := range keys {
		ledger.advance(now, ledger.programs[key])
	}
}

func (ledger *Ledger) leaveProgram(now bvclock.Time, program *program) {
	owned := program.phase == phaseOwned || program.phase == phaseCold
	if !ledger.leaving || !owned || !program.isIdle() || program.dirty || program.head.State.IsEnded() {
		return
	}
	program.handover = true
	ledger.writeEntry(now, program)
}

// issueHandover issues an entry that removes the owner from the head row.
func (ledger *Ledger) issueHandover(now bvclock.Time, entry *entry) {
	program := entry.program
	entry.handover = true
	entry.head.Owner = ""
	ledger.issueEntry(now, entry, Entry{
		Checks: []bvplatform.Check{{Key: HeadKey(program.key), Version: program.headVersion}},
		Puts:   []bvplatform.Put{{Key: HeadKey(program.key), Value: encode(entry.head)}},
	})
}

// completeHandover updates the program's state after the handover has become durable.
// If a call has arrived in the meantime, the program is loaded and claimed again.
func (ledger *Ledger) completeHandover(program *program) {
	program.handover = false
	program.phase = phaseLoading
	if len(program.queue) == 0 {
		ledger.closeProgram(program)
		return
	}
	ledger.loadProgram(program, "")
}
