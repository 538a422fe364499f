package bvledger

import "balsamvalve.example/bvclock"

// Programs returns how many programs this host holds.
func (ledger *Ledger) Programs() int {
	return len(ledger.programs)
}

// ProgramsOf returns how many programs of a member this host holds.
func (ledger *Ledger) ProgramsOf(member string) int {
	count := 0
	for key := range ledger.programs {
		if key.Member == member {
			count++
		}
	}
	return count
}

// Calls returns how many calls have no outcome yet.
func (ledger *Ledger) Calls() int {
	return len(ledger.calls)
}

// Entries returns how many entries have no outcome yet. A host that stops
// waits until there is none.
func (ledger *Ledger) Entries() int {
	return len(ledger.entries)
}

// Unavailable reports whether the platform seems out of reach.
func (ledger *Ledger) IsPlatformUnavailable(now bvclock.Time) bool {
	return ledger.suspected(now)
}

// Status is what operators may see of a program.
type Status struct {
	State       State
	Owned       bool // claimed by this host
	Epoch       int64
	Turns       int
	Uncommitted int // finished turns without their commit
	Spent       int64
	Drawn       int64 // budget reserved, spent or not
	Running     bool
	Waiting     int // calls
	Endpoint    string
}

// Status returns what this host knows of a program; false if nothing.
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
		Uncommitted: program.unkept(),
		Spent:       program.head.Spent,
		Drawn:       program.head.Drawn,
		Running:     program.isRunning(),
		Waiting:     len(program.queue),
		Endpoint:    program.head.Endpoint,
	}, true
}
