package bvledger

import "balsamvalve.example/bvclock"

type phase int

const (
	phaseLoading phase = iota // its rows are being read
	phaseLoaded               // its rows were read, another host may own it
	phaseOwned                // claimed by this host
	phaseCold                 // claimed by this host, history not in memory
)

// program is the state of one program on this host.
type program struct {
	key              ProgramKey
	phase            phase
	awaitingRows     bool // a Load is in flight; no further step before its result
	head             head // current state; the durable row may be older
	headVersion      int64
	history          history
	turns            []*turn
	durableTurns     int   // number of committed turns
	fetching         []int // numbers of turns whose answers must be read again
	requests         map[string]int
	onceRecords      map[string]onceRecord
	settlements      []settlement
	queue            []*call
	running          *call
	reserved         int64 // cost of the running call
	lastCost         int64
	entry            *entry // in flight; one at a time, since each checks the version of the previous one
	pendingRead      bool   // the once records of head.Pending were read
	dirty            bool   // the head row must be written even if no turn finishes
	limits           Limits
	limitsKnown      bool
	ending           *ending
	activeAt         bvclock.Time
	releasedAt       bvclock.Time
	claimRequested   bool     // the program is to be claimed although no call is queued
	observedVersion  int64    // head version that ReclaimScan read; 0 if it did not open the program
	handover         bool     // the program is being handed over
	usedEndpoints    []string // endpoints that ran a call since the last entry
	durableEndpoints []string // endpoints in the durable head
	closed           bool
	wakeAt           bvclock.Time
}

// turn is a finished turn. Its messages are released from memory when it is committed,
// its answer when a later turn is committed.
type turn struct {
	request      string
	digest       string
	messages     []byte
	message      []byte
	answer       []byte
	hasAnswer    bool // answer is in memory
	unrepeatable bool // the answer also goes into a once record
	waiters      []*call
}

// ending is the end of a program in progress.
type ending struct {
	state   State
	callers []*call
	abortBy bvclock.Time
}

// settlement is the outcome of an unrepeatable request, to be written to its once record
// with the next entry.
type settlement struct {
	key string
	row onceRow
}

type onceRecord struct {
	row     onceRow
	version int64
	settled bool // row contains an outcome that is not written yet
}

// nextTurn returns the number of the turn that runs next.
func (program *program) nextTurn() int {
	return len(program.turns) + 1
}

// uncommitted returns how many finished turns are not committed.
func (program *program) uncommitted() int {
	return max(len(program.turns)-program.durableTurns, 0)
}

func (program *program) isRunning() bool {
	return program.running != nil && program.running.state == callRunning
}

// isIdle reports whether the program has no calls, no unwritten state, and no read or
// write in flight.
func (program *program) isIdle() bool {
	return len(program.queue) == 0 && program.running == nil && program.entry == nil &&
		program.uncommitted() == 0 && program.ending == nil && !program.awaitingRows && len(program.fetching) == 0 &&
		len(program.settlements) == 0 && !program.claimRequested
}

func (program *program) addTurn(turn *turn) {
	program.turns = append(program.turns, turn)
	program.head.Turns = len(program.turns)
	if turn.request != "" {
		program.requests[turn.request] = len(program.turns)
	}
}

// evict removes the state that can be read again from memory.
func (program *program) evict() {
	program.phase = phaseCold
	program.turns = nil
	program.requests = nil
	program.onceRecords = nil
	program.history = history{}
	program.durableTurns = 0
}
