package bvledger

import "balsamvalve.example/bvclock"

type phase int

const (
	phaseLoading phase = iota // its rows are being read
	phaseLoaded               // its rows are known, another host may own it
	phaseOwned                // claimed by this host
	phaseCold                 // claimed by this host, history not in memory
)

// program is the state of one program on this host.
type program struct {
	key         ProgramKey
	phase       phase
	reloading   bool // some rows are being read again
	head        head // wanted; the durable one may lag
	headVersion int64
	history     history
	turns       []*turn
	durable     int   // turns that are committed
	fetching    []int // turns whose answers must be read again
	requests    map[string]int
	once        map[string]onceRecord
	settlements []settlement
	queue       []*call
	running     *call
	reserved    int64 // of the running call
	lastCost    int64
	entry       *entry // under way; one at a time, since each builds on the version of the last
	looked      bool   // for the newest record of head.Pending
	dirty       bool   // the head must be written soon
	limits      Limits
	limitsKnown bool
	ending      *ending
	activeAt    bvclock.Time
	releasedAt  bvclock.Time
	reclaimed   bool     // is to be claimed although no call waits
	sighted     int64    // head version that ReclaimScan judged by
	handover    bool     // is to be given up
	used        []string // endpoints that ran a call since the last entry
	placed      []string // endpoints in the durable head
	gone        bool
	wakeAt      bvclock.Time
}

// turn is a turn that has finished. Its messages leave memory with the
// commit, its answer when a later turn is committed.
type turn struct {
	request  string
	digest   string
	messages []byte
	message  []byte
	answer   []byte
	held     bool // answer is in memory
	once     bool // an unrepeatable record is to be answered with it
	waiters  []*call
}

// ending is a program's end under way.
type ending struct {
	state   State
	callers []*call
	abortBy bvclock.Time
}

// settlement is the outcome of an unrepeatable record, to be written with the
// next entry.
type settlement struct {
	key string
	row onceRow
}

type onceRecord struct {
	row     onceRow
	version int64
	settled bool // row is ahead of the platform by a settlement
}

// nextTurn is the number of the turn that runs next.
func (program *program) nextTurn() int {
	return len(program.turns) + 1
}

// unkept is how many finished turns lack their commit.
func (program *program) unkept() int {
	return max(len(program.turns)-program.durable, 0)
}

func (program *program) isRunning() bool {
	return program.running != nil && program.running.state == callRunning
}

// idle reports whether nothing of the program is under way.
func (program *program) idle() bool {
	return len(program.queue) == 0 && program.running == nil && program.entry == nil &&
		program.unkept() == 0 && program.ending == nil && !program.reloading && len(program.fetching) == 0 &&
		len(program.settlements) == 0 && !program.reclaimed
}

func (program *program) addTurn(turn *turn) {
	program.turns = append(program.turns, turn)
	program.head.Turns = len(program.turns)
	if turn.request != "" {
		program.requests[turn.request] = len(program.turns)
	}
}

// evict takes out of memory what can be read again.
func (program *program) evict() {
	program.phase = phaseCold
	program.turns = nil
	program.requests = nil
	program.once = nil
	program.history = history{}
	program.durable = 0
}
