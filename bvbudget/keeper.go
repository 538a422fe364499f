// Package bvbudget keeps programs within their budgets of generated tokens, on
// all hosts together and whatever fails.
//
// Before a turn is sent, the most that it may generate is reserved in the
// program's row of the platform's store, in blocks by host: a host spends what
// it has reserved without asking. The sum of all blocks never passes the
// budget, so neither do the tokens that callers get, also when hosts die, wake
// from a freeze, or lose power together. What a host reserved and did not spend
// is given back when the program pauses and its budget runs low.
//
// # Usage
//
//	keeper := bvbudget.NewKeeper(store, incarnation, clock, log)
//	reservation, err := keeper.Reserve(ctx, bvbudget.Turn{Program: id, Budget: 4576, Most: 572})
//	defer reservation.Close()
//	reservation.Spend(22) // for each event, before it is handed on
//
// # Cost
//
// A turn costs a third to one write of the store. The rows of one program have
// one part, and programs are spread over parts, which each take few writes.
package bvbudget

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	maxTries = 6
	// returnAfter is how long a program pauses before its unspent tokens are
	// given back: half of what the users' sheets allow for settling.
	returnAfter = 500 * bvclock.Millisecond
	// forgetAfter is added to the time for which budgets are kept.
	forgetAfter = 30 * bvclock.Second
	// comeBack is when to try again while the store can't be reached.
	comeBack = 500 * bvclock.Millisecond
)

// Turn is what is reserved for.
type Turn struct {
	Program   string
	Budget    int // tokens of the whole program
	Most      int // tokens that the turn may generate
	Continues bool
	Retain    bvclock.Duration // how long the budget is kept after the last turn
}

// Keeper holds the accounts of all programs that this host has turns of. Make
// one with NewKeeper; it is safe for concurrent use.
type Keeper struct {
	store bvplatform.Store
	host  string
	clock bvclock.Clock
	log   logrus.FieldLogger

	mutex    sync.Mutex
	accounts map[string]*account
	writes   int64
}

// NewKeeper returns a Keeper. The incarnation must differ with each start of
// the process: what an earlier one reserved counts as spent.
func NewKeeper(store bvplatform.Store, incarnation string, clock bvclock.Clock, log logrus.FieldLogger) *Keeper {
	return &Keeper{store: store, host: incarnation, clock: clock, log: log, accounts: make(map[string]*account)}
}

// Reserve sets aside what a turn may spend. The error is a *bvverdict.Error:
// BudgetExceeded where the budget does not hold the turn, or a refusal while
// the store can't be asked.
func (keeper *Keeper) Reserve(ctx context.Context, turn Turn) (*Reservation, error) {
	account := keeper.open(turn)
	defer keeper.unwant(account, turn.Most)
	if reservation := keeper.takeFree(account, turn); reservation != nil {
		return reservation, nil
	}
	select {
	case account.turn <- struct{}{}:
		defer func() { <-account.turn }()
	case <-ctx.Done():
		return nil, bvverdict.Refuse(bvverdict.DeadlinePassed, "no time is left to reserve the budget").WithRetryAfter(comeBack)
	}
	return keeper.reserve(ctx, account, turn)
}

// open returns the program's account and counts the turn as waiting.
func (keeper *Keeper) open(turn Turn) *account {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	found := keeper.accounts[turn.Program]
	if found == nil {
		// A program's first turn: there is no row yet, as a rule. Where there
		// is one, the first write says so and shows it.
		found = &account{program: turn.Program, turn: make(chan struct{}, 1), known: !turn.Continues}
		keeper.accounts[turn.Program] = found
	}
	found.wanted += turn.Most
	found.most = turn.Most
	found.budget = turn.Budget
	found.retain = max(found.retain, turn.Retain)
	found.usedAt = keeper.clock.Now()
	return found
}

func (keeper *Keeper) unwant(account *account, most int) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	account.wanted -= most
}

// takeFree reserves from what this host has already, or returns nil.
func (keeper *Keeper) takeFree(account *account, turn Turn) *Reservation {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if account.free(keeper.host) < turn.Most {
		return nil
	}
	account.open += turn.Most
	return &Reservation{keeper: keeper, account: account, left: turn.Most}
}

// reserve enlarges this host's block until the turn fits. The caller holds the
// account's turn.
func (keeper *Keeper) reserve(ctx context.Context, account *account, turn Turn) (*Reservation, error) {
	fresh := false
	for range maxTries {
		if reservation := keeper.takeFree(account, turn); reservation != nil {
			return reservation, nil
		}
		if err := keeper.read(ctx, account); err != nil {
			return nil, unavailable(err)
		}
		granted, fits := keeper.plan(account, turn)
		if !fits && !fresh {
			keeper.forget(account) // others may have given back since
			fresh = true
			continue
		}
		if !fits {
			return nil, keeper.exceeded(account, turn)
		}
		err := keeper.write(ctx, account, granted)
		var conflict *bvplatform.ConflictError
		if err != nil && !errors.As(err, &conflict) && !errors.Is(err, bvplatform.ErrUnknown) {
			return nil, unavailable(err)
		}
		if ctx.Err() != nil {
			return nil, unavailable(ctx.Err())
		}
	}
	return nil, unavailable(fmt.Errorf("gave up after %d tries", maxTries))
}

func unavailable(cause error) error {
	return bvverdict.Refuse(bvverdict.PlatformUnavailable, "the program's budget can't be reserved").
		WithRetryAfter(comeBack).WithCause(cause)
}

// plan returns the block to ask for: for all turns that wait here if it fits,
// else for this one.
func (keeper *Keeper) plan(account *account, turn Turn) (granted int, fits bool) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	bound := account.spent + account.open
	if granted, fits = account.record.grow(keeper.host, turn.Budget, bound, account.wanted, turn.Most); fits {
		return granted, true
	}
	return account.record.grow(keeper.host, turn.Budget, bound, turn.Most, turn.Most)
}

func (keeper *Keeper) exceeded(account *account, turn Turn) error {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.log.WithFields(logrus.Fields{
		"program": turn.Program, "budget": turn.Budget, "reserved": account.record.total(),
		"spent_here": account.spent, "most": turn.Most, "row_version": account.version,
	}).Info("budget is spent")
	return bvverdict.Refuse(bvverdict.BudgetExceeded, "the program's budget of %d tokens does not hold another turn", turn.Budget)
}

func (account *account) key() string {
	return fmt.Sprintf("budget/%02x/%s", xxhash.Sum64String(account.program)%shards, account.program)
}

// read gets the record where it is not known.
func (keeper *Keeper) read(ctx context.Context, account *account) error {
	keeper.mutex.Lock()
	known := account.known
	keeper.mutex.Unlock()
	if known {
		return nil
	}
	rows, err := keeper.store.Read(ctx, account.key())
	if err != nil {
		return err
	}
	return keeper.learn(account, rows[0])
}

func (keeper *Keeper) forget(account *account) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	account.known = false
}

func (keeper *Keeper) learn(account *account, row bvplatform.Row) error {
	record, err := decode(row.Value)
	if err != nil {
		return err
	}
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if row.Version != account.version {
		account.doubt = false // a write in doubt took effect, or never will
	}
	account.record, account.version, account.known = record, row.Version, true
	return nil
}

// write replaces this host's block in the record, if nobody else has changed
// it. After an answer that was lost, the record counts as unknown: the write
// may still take effect, and the next one is conditional on what is read.
func (keeper *Keeper) write(ctx context.Context, account *account, granted int) error {
	keeper.mutex.Lock()
	record := account.record.with(keeper.host, granted)
	record.Touched = time.Now().Unix()
	version := account.version
	account.known = false
	keeper.writes++
	keeper.mutex.Unlock()
	newVersion, err := keeper.store.Commit(ctx, bvplatform.Transaction{
		Checks: []bvplatform.Check{{Key: account.key(), Version: version}},
		Puts:   []bvplatform.Put{{Key: account.key(), Value: record.encode()}},
	})
	var conflict *bvplatform.ConflictError
	if errors.As(err, &conflict) && len(conflict.Rows) == 1 {
		return errors.Join(err, keeper.learn(account, conflict.Rows[0]))
	}
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if err != nil {
		account.doubt = account.doubt || errors.Is(err, bvplatform.ErrUnknown)
		return err
	}
	account.record, account.version, account.known, account.doubt = record, newVersion, true, false
	return nil
}

// Writes returns how many writes were tried so far.
func (keeper *Keeper) Writes() int64 {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.writes
}

// Len returns how many programs have an account here.
func (keeper *Keeper) Len() int {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return len(keeper.accounts)
}
