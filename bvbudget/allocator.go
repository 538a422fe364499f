// Package bvbudget keeps programs within their budgets of generated tokens, on
// all hosts together and whatever fails.
//
// Before a turn is sent, the most that it may generate is reserved. A program's
// tokens come in two halves, each of half its budget and half of a turn at its
// most, so that together they pass the budget by one turn at most:
//
//   - One host, the program's grantor, grants the first half from its memory
//     (see bvlease). It needs no store, so programs also begin while the store is
//     away. If the grantor dies, what is left of this half is lost.
//   - The second half stands in the program's row of the platform's store, where
//     hosts reserve blocks of it. It is for programs that spend more, and for
//     those whose grantor is lost.
//
// A host spends what it has got without asking, and gives parts of it to other
// hosts that have turns of the program: what is given is first taken off here,
// so an answer that is lost loses tokens and never doubles them. So the tokens
// that callers get stay within these bounds, also when hosts die, wake from a
// freeze, or lose power together.
//
// Without grantors, the row holds the whole budget, and it is never passed.
//
// Few programs need more than one half: mostly those that loop without end.
//
// # Usage
//
//	allocator := bvbudget.NewAllocator(store, lenders, incarnation, clock, log)
//	allocator.SetGrantors(grantors) // without it, the store records whole budgets
//	reservation, err := allocator.Reserve(ctx, bvbudget.Turn{Program: id, Budget: 4576, MaxTokens: 572})
//	defer reservation.Close()
//	reservation.Spend(22) // for each event, before it is handed on
//
// # Cost
//
// A program costs a datagram and its answer for each host that gets one of its
// turns, and a write of the store where its grantor is not to be had.
package bvbudget

import (
	"context"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

const (
	// shards is the number of parts that programs are spread over. A part
	// takes 200 writes a second, one after another; at the users' sizes, a
	// few hundred to 1,500 a second come together.
	shards = 256
	// maxTries bounds how often a reservation is tried again after another
	// host's write came first.
	maxTries = 8
	// defaultSettle is the time after which what a turn has spent must be
	// settled, where nobody says.
	defaultSettle = bvclock.Second
	// returnShare is the part of it for which a program pauses before its
	// unspent tokens are given back.
	returnShare = 0.5
	// forgetAfter is added to the time for which budgets are kept.
	forgetAfter = 30 * bvclock.Second
	// retryAfter is when to try again while the store can't be reached. Outages
	// last seconds, and callers come back only a few times.
	retryAfter = bvclock.Second
)

// Lenders are the other hosts.
type Lenders interface {
	// RequestTokens waits a short time for a host to give up tokens; they come by
	// Allocator.AcceptTokens, also when they are late. A host that is known to be silent
	// is not asked; one that withholds tokens counts as not having answered.
	RequestTokens(ctx context.Context, host string, want TokenRequest) (asked, answered bool)
	// AddressOfIncarnation returns where to ask an incarnation of a host, if it is heard.
	AddressOfIncarnation(incarnation string) (host string, heard bool)
}

// TokenRequest is what one host asks of another.
type TokenRequest struct {
	Program   string
	Tokens    int              // that are missing for a turn
	Partial   bool             // fewer are of use too
	Budget    int              // tokens of the whole program
	MaxTokens int              // tokens that the turn may generate
	Retain    bvclock.Duration // how long the budget is kept after the last turn
	AsGrantor bool             // the asker takes this host for the program's grantor
}

// TokenReply is the answer to a TokenRequest.
type TokenReply struct {
	Tokens  int
	Holders []string // addresses of other hosts that may hold some
	// Undecided: there may be more, which this host can neither grant nor deny. It
	// is the program's grantor and can't tell what was granted before it started,
	// or it knows of none, or of another one than the asker does.
	Undecided bool
}

// Turn is what is reserved for.
type Turn struct {
	Program   string
	Budget    int // tokens of the whole program
	MaxTokens int // tokens that the turn may generate
	Continues bool
	Retain    bvclock.Duration // how long the budget is kept after the last turn
}

// Allocator holds the accounts of all programs that this host has turns of. Make
// one with NewAllocator; it is safe for concurrent use.
type Allocator struct {
	store    bvplatform.Store
	lenders  Lenders
	grantors Grantors // nil: none
	host     string
	clock    bvclock.Clock
	log      logrus.FieldLogger
	settle   bvclock.Duration
	started  bvclock.Time
	keeps    bool // what it holds, for experiments

	mutex    sync.Mutex
	accounts map[string]*account
	grants   map[string]*grant                // of programs that this host grants for
	holders  *simplelru.LRU[uint64, []string] // addresses of hosts by hash of a program
	begun    []uint64                         // programs to tell other hosts of
	writes   int64
}

// NewAllocator returns an Allocator. The incarnation must differ with each start of
// the process: what an earlier one reserved counts as spent.
func NewAllocator(store bvplatform.Store, lenders Lenders, incarnation string, clock bvclock.Clock, log logrus.FieldLogger) *Allocator {
	allocator := &Allocator{
		store: store, lenders: lenders, host: incarnation, clock: clock, log: log,
		settle: defaultSettle, started: clock.Now(), accounts: make(map[string]*account),
		grants: make(map[string]*grant),
	}
	allocator.holders, _ = simplelru.NewLRU[uint64, []string](maxHolders, nil)
	return allocator
}

// SetSettleTime sets the time after which what a turn has spent must be settled. It
// is called before the first turn.
func (allocator *Allocator) SetSettleTime(settle bvclock.Duration) { allocator.settle = settle }

// SetLending tells whether this host gives up what it holds to other hosts; it does
// unless an experiment says otherwise.
func (allocator *Allocator) SetLending(lending bool) { allocator.keeps = !lending }

// returnAfter is how long a program pauses before its unspent tokens are given
// back.
func (allocator *Allocator) returnAfter() bvclock.Duration {
	return bvclock.Duration(float64(allocator.settle) * returnShare)
}

// Reserve sets aside what a turn may spend. The error is a *bvverdict.Error:
// BudgetExceeded where the budget does not hold the turn, or a refusal while
// the store can't be asked.
func (allocator *Allocator) Reserve(ctx context.Context, turn Turn) (*Reservation, error) {
	account := allocator.open(turn)
	defer allocator.stopWaiting(account, turn.MaxTokens)
	if reservation := allocator.takeFree(account, turn); reservation != nil {
		return reservation, nil
	}
	select {
	case account.turn <- struct{}{}:
		defer func() { <-account.turn }()
	case <-ctx.Done():
		return nil, bvverdict.Refuse(bvverdict.DeadlinePassed, "no time is left to reserve the budget").WithRetryAfter(retryAfter)
	}
	return allocator.reserve(ctx, account, turn)
}

// open returns the program's account and counts the turn as waiting.
func (allocator *Allocator) open(turn Turn) *account {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	found := allocator.accounts[turn.Program]
	if found == nil {
		// There is no row yet, as a rule: the grantor has tokens left. Where there is
		// one, the first write says so and shows it, for as many calls as reading it.
		// With a reading first, a day of 11,700 turns took 3,300 calls to the store
		// more.
		found = &account{program: turn.Program, turn: make(chan struct{}, 1), known: true}
		allocator.accounts[turn.Program] = found
	}
	found.wanted += turn.MaxTokens
	found.most = turn.MaxTokens
	found.budget = allocator.stored(turn)
	found.retain = max(found.retain, turn.Retain)
	found.usedAt = allocator.clock.Now()
	return found
}

func (allocator *Allocator) stopWaiting(account *account, most int) {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	account.wanted -= most
}

// takeFree reserves from what this host has already, or returns nil.
func (allocator *Allocator) takeFree(account *account, turn Turn) *Reservation {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	if account.free < turn.MaxTokens {
		return nil
	}
	account.free -= turn.MaxTokens
	account.open += turn.MaxTokens
	return &Reservation{allocator: allocator, account: account, left: turn.MaxTokens}
}

// WriteCount returns how many writes were tried so far.
func (allocator *Allocator) WriteCount() int64 {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	return allocator.writes
}

// Len returns how many programs have an account here.
func (allocator *Allocator) Len() int {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	return len(allocator.accounts)
}
