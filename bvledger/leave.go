package bvledger

import (
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// Leave has this host give up its programs, each as soon as nothing of it is
// under way. The next owner then neither counts an unsettled block as spent
// nor has to release the program's cache everywhere, as after a crash. Wait
// until Programs is 0, within a bound: what is left is taken over like the
// programs of a host that died.
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
	if !ledger.leaving || !owned || !program.idle() || program.dirty || program.head.State.IsEnded() {
		return
	}
	program.handover = true
	ledger.write(now, program)
}

// handOver writes a head row without an owner.
func (ledger *Ledger) handOver(now bvclock.Time, entry *entry) {
	program := entry.program
	entry.handover = true
	entry.head.Owner = ""
	ledger.issue(now, entry, Entry{
		Checks: []bvplatform.Check{{Key: HeadKey(program.key), Version: program.headVersion}},
		Puts:   []bvplatform.Put{{Key: HeadKey(program.key), Value: encode(entry.head)}},
	})
}

// handedOver takes in that the program has no owner now. A call that came in
// the meantime has it claimed anew.
func (ledger *Ledger) handedOver(program *program) {
	program.handover = false
	program.phase = phaseLoading
	if len(program.queue) == 0 {
		ledger.close(program)
		return
	}
	ledger.load(program, "")
}
