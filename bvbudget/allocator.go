// Package bvbudget limits programs to their budgets of generated tokens, across all hosts
// and under any failure.
//
// Before a turn is sent, the maximum that it may generate is reserved. A program's tokens
// are split into two parts, which together exceed the budget by at most one turn:
//
//   - One host, the program's grantor, grants the in-memory part from its memory (see
//     bvlease): a third of the budget and one turn's maximum, but no more than half of
//     both. It needs no store, so programs can start while the store is unavailable.
//     If the grantor fails, the rest of this part is lost.
//   - The stored part is in the program's row of the platform's store, where hosts reserve
//     blocks of it. It is for programs that spend more, and for those whose grantor has
//     failed.
//
// Where turns are retained, the in-memory part is one turn's maximum and the row has the
// whole budget, because such a turn must not be refused for good after a grantor was lost.
// The first host that needs the row reserves a third of it, so that the program can go on
// while the store is unavailable.
//
// A host spends the tokens it holds without a request to others, and lends some to other
// hosts that have turns of the program. It deducts the tokens before it sends them, so a
// lost reply loses tokens and never duplicates them. The tokens that callers get stay
// within these bounds even if hosts fail, resume after a freeze, or lose power together.
//
// Without grantors, the row holds the whole budget, which is never exceeded.
//
// Few programs need both parts whole: mostly those that loop endlessly.
//
// # Usage
//
//	allocator := bvbudget.NewAllocator(store, lenders, incarnation, clock, log)
//	allocator.SetGrantors(grantors) // without grantors, rows hold whole budgets
//	reservation, err := allocator.Reserve(ctx, bvbudget.Turn{Program: id, Budget: 4576, MaxTokens: 572})
//	defer reservation.Close()
//	reservation.Spend(22) // for each event, before it is delivered
//
// # Cost
//
// A program costs a datagram and its reply for each host that receives one of its turns,
// and a write to the store if its grantor is unavailable.
package bvbudget

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

const (
	// shards is the number of key ranges that programs are spread over. A range takes 200
	// writes a second, one after another; the users' fleets write a few hundred to
	// 1,500 a second.
	shards = 256
	// maxAttempts bounds the attempts of a reservation when writes of other hosts
	// conflict with it.
	maxAttempts = 8
	// defaultSettleTime is the time within which a turn's spending must be settled unless
	// SetSettleTime sets another.
	defaultSettleTime = bvclock.Second
	// returnFraction is the fraction of the settle time for which a program must be idle
	// before its unspent tokens are returned.
	returnFraction = 0.5
	// expiryMargin is added to the time for which budgets are retained.
	expiryMargin = 30 * bvclock.Second
	// retryAfter is when callers are to retry while the store can't be reached. Outages
	// last seconds, and callers retry only a few times.
	retryAfter = bvclock.Second
)

// Lenders are the other hosts, which may lend tokens.
type Lenders interface {
	// RequestTokens requests tokens from a host and waits for the reply for a short time.
	// The reply is passed to Allocator.AcceptTokens, also when it is late.
	RequestTokens(ctx context.Context, host string, request TokenRequest) Answer
	// AddressOfIncarnation returns the address of an incarnation of a host, unless the host
	// is silent.
	AddressOfIncarnation(incarnation string) (host string, reachable bool)
}

//go:generate stringer -type=Answer -linecomment -output=answer_string.go

// Answer is what became of a request for tokens.
type Answer int

// The answers.
const (
	NotAsked   Answer = iota // not asked, as the host is silent
	Unanswered               // not answered in time
	Undecided                // undecided, see TokenReply
	Answered                 // answered
)

// TokenRequest is a request of one host for tokens of another.
type TokenRequest struct {
	Program   string
	Tokens    int              // tokens that a turn lacks
	Partial   bool             // fewer are useful too
	Budget    int              // tokens of the whole program
	MaxTokens int              // maximum that the turn may generate
	Retain    bvclock.Duration // how long the budget is retained after the last turn
	Retained  bool             // the program's turns are retained
	AsGrantor bool             // the sender considers this host the program's grantor
}

// TokenReply is the reply to a TokenRequest.
type TokenReply struct {
	Tokens  int
	Holders []string // addresses of other hosts that may hold some
	// Split: this host grants a part of the budget from memory, as the first turn was not retained.
	Split bool
	// Undecided: there may be more tokens, which this host can neither grant nor deny. It
	// is the program's grantor but does not know what was granted before it started, or it
	// knows no grantor, or another one than the sender.
	Undecided bool
}

// Turn is a turn for which tokens are reserved.
type Turn struct {
	Program   string
	Budget    int              // tokens of the whole program
	MaxTokens int              // maximum that the turn may generate
	MinTokens int              // minimum that a turn with any output generates; 0: one
	Retained  bool             // the turns are retained, and must not be refused because a host was lost
	Retain    bvclock.Duration // how long the budget is retained after the last turn
}

// Allocator holds the accounts of all programs of which this host has turns. Make one with
// NewAllocator; it is safe for concurrent use.
type Allocator struct {
	store           bvplatform.Store
	lenders         Lenders
	grantors        Grantors // nil: none
	incarnation     string
	clock           bvclock.Clock
	wallTime        func() time.Time // the rows' expiry is compared by other hosts
	log             logrus.FieldLogger
	settleTime      bvclock.Duration
	started         bvclock.Time
	lendingDisabled bool // for experiments

	mutex            sync.Mutex
	accounts         map[string]*account
	grants           map[string]*grant                // of programs that this host grants for
	holders          *simplelru.LRU[uint64, []string] // addresses of hosts by hash of a program
	reservedPrograms []uint64                         // hashes of programs to report to other hosts
	writes           int64
	nextGrantSweep   bvclock.Time
	sweeper          bvplatform.Sweeper // used by Sweep only
}

// NewAllocator returns an Allocator. The incarnation must differ with each start of the
// process: tokens that an earlier one reserved count as spent.
func NewAllocator(store bvplatform.Store, lenders Lenders, incarnation string, clock bvclock.Clock, log logrus.FieldLogger) *Allocator {
	allocator := &Allocator{
		store: store, lenders: lenders, incarnation: incarnation, clock: clock, wallTime: time.Now, log: log,
		settleTime: defaultSettleTime, started: clock.Now(), accounts: make(map[string]*account),
		grants: make(map[string]*grant),
	}
	allocator.holders, _ = simplelru.NewLRU[uint64, []string](maxHolderPrograms, nil)
	return allocator
}

// SetSettleTime sets the time within which a turn's spending must be settled. It is called
// before the first turn.
func (allocator *Allocator) SetSettleTime(settleTime bvclock.Duration) {
	allocator.settleTime = settleTime
}

// SetLending sets whether this host lends the tokens that it holds to other hosts, which
// only experiments disable.
func (allocator *Allocator) SetLending(lending bool) { allocator.lendingDisabled = !lending }

// returnDelay returns how long a program must be idle before its unspent tokens are
// returned.
func (allocator *Allocator) returnDelay() bvclock.Duration {
	return bvclock.Duration(float64(allocator.settleTime) * returnFraction)
}

// Reserve reserves the maximum that a turn may spend. The error is a *bvverdict.Error:
// BudgetExceeded if the budget does not cover the turn, or a refusal while the store can't
// be reached.
func (allocator *Allocator) Reserve(ctx context.Context, turn Turn) (*Reservation, error) {
	account := allocator.openAccount(turn)
	defer allocator.removeWaiting(account, turn.MaxTokens)
	if reservation := allocator.reserveFree(account, turn); reservation != nil {
		return reservation, nil
	}
	select {
	case account.lock <- struct{}{}:
		defer func() { <-account.lock }()
	case <-ctx.Done():
		return nil, bvverdict.Refuse(bvverdict.DeadlinePassed, "no time is left to reserve the budget").WithRetryAfter(retryAfter)
	}
	return allocator.obtainTokens(ctx, account, turn)
}

// openAccount returns the program's account and counts the turn as waiting.
func (allocator *Allocator) openAccount(turn Turn) *account {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	found := allocator.accounts[turn.Program]
	if found == nil {
		// As a rule there is no row yet, because the grantor has tokens left. If there is
		// one, the first write conflicts and returns it, for as many calls as a read.
		// Reading first took 3,300 more calls to the store on a day of 11,700 turns.
		found = &account{program: turn.Program, lock: make(chan struct{}, 1), known: true}
		allocator.accounts[turn.Program] = found
	}
	found.waiting += turn.MaxTokens
	found.maxTokens = turn.MaxTokens
	found.budget = allocator.storedBudget(found, turn)
	found.retain = max(found.retain, turn.Retain)
	found.rowRetain = max(found.rowRetain, turn.rowRetention())
	found.lastUsed = allocator.clock.Now()
	return found
}

func (allocator *Allocator) removeWaiting(account *account, maxTokens int) {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	account.waiting -= maxTokens
}

// reserveFree reserves from the tokens that this host already holds, or returns nil.
func (allocator *Allocator) reserveFree(account *account, turn Turn) *Reservation {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	if account.free < turn.MaxTokens {
		return nil
	}
	account.free -= turn.MaxTokens
	account.reserved += turn.MaxTokens
	return &Reservation{allocator: allocator, account: account, remaining: turn.MaxTokens}
}

// WriteCount returns how many writes were attempted so far.
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
