package bvbudget

import (
	"context"
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

// reserve gets tokens until the turn fits: from a host that holds some, from
// the budget in the store, and last, bit by bit, from all hosts that hold some.
// The caller holds the account's turn.
func (allocator *Allocator) reserve(ctx context.Context, account *account, turn Turn) (*Reservation, error) {
	if reservation, _ := allocator.borrow(ctx, account, turn, false); reservation != nil {
		return reservation, nil
	}
	var search search
	for range maxTries {
		if reservation := allocator.takeFree(account, turn); reservation != nil {
			return reservation, nil
		}
		read, err := allocator.read(ctx, account)
		if err != nil {
			return allocator.gather(ctx, account, turn, err)
		}
		if read {
			search.fresh = true
			continue // it may show tokens of this host's own
		}
		if block, fits := allocator.plan(account, turn); fits {
			search.fresh, err = allocator.reserveBlock(ctx, account, block)
		} else {
			reservation, err := allocator.search(ctx, account, turn, &search)
			if reservation != nil || err != nil {
				return reservation, err
			}
		}
		if err != nil {
			return allocator.gather(ctx, account, turn, err)
		}
		if ctx.Err() != nil {
			return nil, unavailable(ctx.Err())
		}
	}
	return nil, unavailable(fmt.Errorf("gave up after %d tries", maxTries))
}

// reserveBlock tries to reserve a block in the row. That another host's write came
// first is no error: the row is known then as it is. Nor is it that the answer was
// lost: the next look at the row tells.
func (allocator *Allocator) reserveBlock(ctx context.Context, account *account, block int) (fresh bool, err error) {
	err = allocator.write(ctx, account, block)
	var conflict *bvplatform.ConflictError
	if errors.As(err, &conflict) {
		return true, nil
	}
	if errors.Is(err, bvplatform.ErrUnknown) {
		return false, nil
	}
	return false, err
}

// search is how far a turn has looked for tokens that the row does not hold.
type search struct {
	fresh    bool // the row was read anew: others may have given back since
	gathered bool // other hosts were asked for all that they can spare
}

// search takes the next step for a turn that does not fit into what is left in
// the row. Neither a reservation nor an error means that the row is to be looked
// at again: with what was gathered, it may hold the turn.
func (allocator *Allocator) search(ctx context.Context, account *account, turn Turn, search *search) (*Reservation, error) {
	switch {
	case !search.fresh:
		search.fresh = true
		allocator.forget(account)
		return nil, nil
	case search.gathered:
		return nil, allocator.exceeded(account, turn)
	}
	search.gathered = true
	reservation, sure := allocator.borrow(ctx, account, turn, true)
	if reservation == nil && !sure {
		allocator.tell(account, turn, "budget is not known to be spent")
		return nil, unavailable(errUnanswered)
	}
	return reservation, nil
}

// gather gets a turn's tokens bit by bit from other hosts, where the store failed.
func (allocator *Allocator) gather(ctx context.Context, account *account, turn Turn, cause error) (*Reservation, error) {
	if reservation, _ := allocator.borrow(ctx, account, turn, true); reservation != nil {
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
		WithRetryAfter(retryAfter).WithCause(cause)
}

// plan returns the block to reserve: for all turns that wait here if it fits,
// else for this one.
func (allocator *Allocator) plan(account *account, turn Turn) (block int, fits bool) {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	budget := allocator.stored(turn)
	if block, fits = account.record.grow(budget, account.wanted-account.free, turn.MaxTokens); fits {
		return block, true
	}
	return account.record.grow(budget, turn.MaxTokens-account.free, turn.MaxTokens)
}

func (allocator *Allocator) exceeded(account *account, turn Turn) error {
	allocator.tell(account, turn, "budget is spent")
	return bvverdict.Refuse(bvverdict.BudgetExceeded, "the program's budget of %d tokens does not hold another turn", turn.Budget)
}

// tell logs what was decided about a budget, and what decided it.
func (allocator *Allocator) tell(account *account, turn Turn, decision string) {
	grantor := allocator.grantor(turn.Program)
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	allocator.log.WithFields(logrus.Fields{
		"program": turn.Program, "budget": turn.Budget, "stored": account.budget, "reserved": account.record.total(),
		"reserved_here": account.credited, "free_here": account.free, "most": turn.MaxTokens, "row_version": account.version,
		"grantor": grantor,
	}).Info(decision)
}
