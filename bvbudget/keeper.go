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
// Of 1,511 programs of the users' calm days, 1.4% needed more than one half: the
// ones that loop without end.
//
// # Usage
//
//	keeper := bvbudget.NewKeeper(store, lenders, incarnation, clock, log)
//	reservation, err := keeper.Reserve(ctx, bvbudget.Turn{Program: id, Budget: 4576, Most: 572})
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
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// settled, where nobody says (users' sheets: 1,000 ms).
	defaultSettle = bvclock.Second
	// returnShare is the part of it for which a program pauses before its
	// unspent tokens are given back.
	returnShare = 0.5
	// forgetAfter is added to the time for which budgets are kept.
	forgetAfter = 30 * bvclock.Second
	// comeBack is when to try again while the store can't be reached. Outages
	// last seconds, and callers come back only a few times.
	comeBack = bvclock.Second
)

// Lenders are the other hosts.
type Lenders interface {
	// Ask waits a short time for a host to give up tokens; they come by
	// Keeper.Lent, also when they are late. A host that is known to be silent
	// is not asked; one that withholds tokens counts as not having answered.
	Ask(ctx context.Context, host string, want Want) (asked, answered bool)
	// Address returns where to ask an incarnation of a host, if it is heard.
	Address(incarnation string) (host string, heard bool)
}

// Want is what one host asks of another.
type Want struct {
	Program string
	Tokens  int              // that are missing for a turn
	Partial bool             // fewer are of use too
	Budget  int              // tokens of the whole program
	Most    int              // tokens that the turn may generate
	Retain  bvclock.Duration // how long the budget is kept after the last turn
	Grantor bool             // the asker takes this host for the program's grantor
}

// Given is the answer to a Want.
type Given struct {
	Tokens  int
	Holders []string // addresses of other hosts that may hold some
	// Withheld: there may be more, which this host can neither grant nor deny. It
	// is the program's grantor and can't tell what was granted before it started,
	// or it knows of none, or of another one than the asker does.
	Withheld bool
}

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
	store    bvplatform.Store
	lenders  Lenders
	grantors Grantors // nil: none
	host     string
	clock    bvclock.Clock
	log      logrus.FieldLogger
	settle   bvclock.Duration
	started  bvclock.Time

	mutex    sync.Mutex
	accounts map[string]*account
	grants   map[string]*grant                // of programs that this host grants for
	holders  *simplelru.LRU[uint64, []string] // addresses of hosts by hash of a program
	begun    []uint64                         // programs to tell other hosts of
	writes   int64
}

// NewKeeper returns a Keeper. The incarnation must differ with each start of
// the process: what an earlier one reserved counts as spent.
func NewKeeper(store bvplatform.Store, lenders Lenders, incarnation string, clock bvclock.Clock, log logrus.FieldLogger) *Keeper {
	keeper := &Keeper{
		store: store, lenders: lenders, host: incarnation, clock: clock, log: log,
		settle: defaultSettle, started: clock.Now(), accounts: make(map[string]*account),
		grants: make(map[string]*grant),
	}
	keeper.holders, _ = simplelru.NewLRU[uint64, []string](maxHolders, nil)
	return keeper
}

// SetSettle sets the time after which what a turn has spent must be settled. It
// is called before the first turn.
func (keeper *Keeper) SetSettle(settle bvclock.Duration) { keeper.settle = settle }

// returnAfter is how long a program pauses before its unspent tokens are given
// back.
func (keeper *Keeper) returnAfter() bvclock.Duration {
	return bvclock.Duration(float64(keeper.settle) * returnShare)
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
	found.budget = keeper.stored(turn)
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
	if account.free < turn.Most {
		return nil
	}
	account.free -= turn.Most
	account.open += turn.Most
	return &Reservation{keeper: keeper, account: account, left: turn.Most}
}

// reserve gets tokens until the turn fits: from a host that holds some, from
// the budget in the store, and last, bit by bit, from all hosts that hold some.
// The caller holds the account's turn.
func (keeper *Keeper) reserve(ctx context.Context, account *account, turn Turn) (*Reservation, error) {
	if reservation, _ := keeper.borrow(ctx, account, turn, false); reservation != nil {
		return reservation, nil
	}
	fresh, gathered := false, false
	for range maxTries {
		if reservation := keeper.takeFree(account, turn); reservation != nil {
			return reservation, nil
		}
		read, err := keeper.read(ctx, account)
		if err != nil {
			return keeper.gather(ctx, account, turn, err)
		}
		if read {
			continue // it may show tokens of this host's own
		}
		block, fits := keeper.plan(account, turn)
		switch {
		case !fits && !fresh:
			keeper.forget(account) // others may have given back since
			fresh = true
			continue
		case !fits && !gathered:
			reservation, sure := keeper.borrow(ctx, account, turn, true)
			switch {
			case reservation != nil:
				return reservation, nil
			case !sure:
				keeper.tell(account, turn, "budget is not known to be spent")
				return nil, unavailable(errUnanswered)
			}
			gathered = true
			continue // what was gathered and what the store has may hold it together
		case !fits:
			return nil, keeper.exceeded(account, turn)
		}
		err = keeper.write(ctx, account, block)
		var conflict *bvplatform.ConflictError
		if err != nil && !errors.As(err, &conflict) && !errors.Is(err, bvplatform.ErrUnknown) {
			return keeper.gather(ctx, account, turn, err)
		}
		if ctx.Err() != nil {
			return nil, unavailable(ctx.Err())
		}
	}
	return nil, unavailable(fmt.Errorf("gave up after %d tries", maxTries))
}

// gather gets a turn's tokens bit by bit from other hosts, where the store failed.
func (keeper *Keeper) gather(ctx context.Context, account *account, turn Turn, cause error) (*Reservation, error) {
	if reservation, _ := keeper.borrow(ctx, account, turn, true); reservation != nil {
		return reservation, nil
	}
	return nil, unavailable(cause)
}

// errUnanswered means that enough tokens of the program may be left: a living
// host that holds some did not answer, or the program's grantor is lost or can't
// tell. That the budget is spent would end the program, and might be wrong.
var errUnanswered = errors.New("a host that has tokens of the program did not answer")

func unavailable(cause error) error {
	return bvverdict.Refuse(bvverdict.PlatformUnavailable, "the program's budget can't be reserved").
		WithRetryAfter(comeBack).WithCause(cause)
}

// plan returns the block to reserve: for all turns that wait here if it fits,
// else for this one.
func (keeper *Keeper) plan(account *account, turn Turn) (block int, fits bool) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	budget := keeper.stored(turn)
	if block, fits = account.record.grow(budget, account.wanted-account.free, turn.Most); fits {
		return block, true
	}
	return account.record.grow(budget, turn.Most-account.free, turn.Most)
}

func (keeper *Keeper) exceeded(account *account, turn Turn) error {
	keeper.tell(account, turn, "budget is spent")
	return bvverdict.Refuse(bvverdict.BudgetExceeded, "the program's budget of %d tokens does not hold another turn", turn.Budget)
}

// tell logs what was decided about a budget, and what decided it.
func (keeper *Keeper) tell(account *account, turn Turn, decision string) {
	grantor, _ := keeper.grantor(turn.Program)
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.log.WithFields(logrus.Fields{
		"program": turn.Program, "budget": turn.Budget, "stored": account.budget, "reserved": account.record.total(),
		"reserved_here": account.credited, "free_here": account.free, "most": turn.Most, "row_version": account.version,
		"grantor": grantor,
	}).Info(decision)
}

func (account *account) key() string {
	return fmt.Sprintf("budget/%02x/%s", xxhash.Sum64String(account.program)%shards, account.program)
}

// read gets the record where it is not known; it reports whether it did.
func (keeper *Keeper) read(ctx context.Context, account *account) (bool, error) {
	keeper.mutex.Lock()
	known := account.known
	keeper.mutex.Unlock()
	if known {
		return false, nil
	}
	rows, err := keeper.store.Read(ctx, account.key())
	if err != nil {
		return false, err
	}
	return true, keeper.learn(account, rows[0])
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
	account.learn(keeper.host, record, row.Version)
	return nil
}

// write changes this host's entry in the record, if nobody else has changed
// the record. A rise is credited when the store has confirmed it; what a fall
// gives back is taken off before it is sent, and credited again only when it
// surely was not carried out.
func (keeper *Keeper) write(ctx context.Context, account *account, change int) error {
	keeper.mutex.Lock()
	if change < 0 {
		account.free += change
		account.credited += change
	}
	record := account.record.with(keeper.host, account.credited+max(change, 0))
	record.Expires = time.Now().Unix() + int64((account.retain+forgetAfter)/bvclock.Second)
	version := account.version
	keeper.writes++
	keeper.mutex.Unlock()
	newVersion, err := keeper.store.Commit(ctx, bvplatform.Transaction{
		Checks: []bvplatform.Check{{Key: account.key(), Version: version}},
		Puts:   []bvplatform.Put{{Key: account.key(), Value: record.encode()}},
	})
	return keeper.wrote(account, change, record, newVersion, err)
}

func (keeper *Keeper) wrote(account *account, change int, record Record, version int64, err error) error {
	var conflict *bvplatform.ConflictError
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	switch {
	case err == nil:
		account.record, account.version, account.known, account.doubt = record, version, true, false
		if change > 0 {
			account.credited += change
			account.free += change
			keeper.begun = append(keeper.begun, xxhash.Sum64String(account.program))
		}
		return nil
	case errors.Is(err, bvplatform.ErrUnknown):
		account.known, account.doubt = false, true
		return err
	case change < 0:
		account.free -= change
		account.credited -= change
	}
	account.known = false
	if !errors.As(err, &conflict) || len(conflict.Rows) != 1 {
		return err
	}
	current, unreadable := decode(conflict.Rows[0].Value)
	if unreadable != nil {
		return errors.Join(err, unreadable)
	}
	account.learn(keeper.host, current, conflict.Rows[0].Version)
	return err
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
