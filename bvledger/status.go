package bvledger

import "balsamvalve.example/bvclock"

// Programs returns the number of programs that this host holds.
func (ledger *Ledger) Programs() int {
	return len(ledger.programs)
}

// ProgramsOf returns the number of a member's programs that this host holds.
func (ledger *Ledger) ProgramsOf(member string) int {
	count := 0
	for key := range ledger.programs {
		if key.Member == member {
			count++
		}
	}
	return count
}

// Calls returns the number of calls without an outcome.
func (ledger *Ledger) Calls() int {
	return len(ledger.calls)
}

// Entries returns the number of entries without an outcome. A host that stops waits until
// it is 0.
func (ledger *Ledger) Entries() int {
	return len(ledger.entries)
}

// IsPlatformUnavailable reports whether the platform appears to be unreachable.
func (ledger *Ledger) IsPlatformUnavailable(now bvclock.Time) bool {
	return ledger.isPlatformSuspected(now)
}

// Status is the status of a program for operators.
type Status struct {
	State       State
	Owned       bool // claimed by this host
	Epoch       int64
	Turns       int
	Uncommitted int // finished turns that are not committed
	Spent       int64
	Drawn       int64 // budget drawn in blocks, spent or not
	Running     bool
	Waiting     int // queued calls
	Endpoint    string
}

// Status returns the status of a program; false if this host does not hold it.
func (ledger *Ledger) Status(key ProgramKey) (Status, bool) {
	program := ledger.programs[key]
	if program == nil {
		return Status{}, false
	}
	return Status{
		State:       program.head.State,
		Owned:       program.phase == phaseOwned || program.phase == phaseCold,
		Epoch:       program.head.Epoch,
		Turns:       program.head.Turns,
		Uncommitted: program.uncommitted(),
		Spent:       program.head.Spent,
		Drawn:       program.head.Drawn,
		Running:     program.isRunning(),
		Waiting:     len(program.queue),
		Endpoint:    program.head.Endpoint,
	}, true
}
