package bvbudget

import (
	"context"
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

// obtainTokens gets tokens until the turn fits: first from a host that holds enough, then
// from the budget in the store, and last in parts from all hosts that hold some. The
// caller holds the account's lock.
func (allocator *Allocator) obtainTokens(ctx context.Context, account *account, turn Turn) (*Reservation, error) {
	if reservation, _ := allocator.borrow(ctx, account, turn, false); reservation != nil {
		return reservation, nil
	}
	var state searchState
	for range maxAttempts {
		if reservation := allocator.reserveFree(account, turn); reservation != nil {
			return reservation, nil
		}
		read, err := allocator.readRecord(ctx, account)
		if err != nil {
			return allocator.gatherTokens(ctx, account, turn, err)
		}
		if read {
			state.rowFresh = true
			continue // the row may credit tokens to this host
		}
		if block, fits := allocator.planBlock(account, turn); fits {
			state.rowFresh, err = allocator.reserveBlock(ctx, account, block)
		} else {
			reservation, err := allocator.continueSearch(ctx, account, turn, &state)
			if reservation != nil || err != nil {
				return reservation, err
			}
		}
		if err != nil {
			return allocator.gatherTokens(ctx, account, turn, err)
		}
		if ctx.Err() != nil {
			return nil, unavailableError(ctx.Err())
		}
	}
	return nil, unavailableError(fmt.Errorf("no reservation after %d attempts", maxAttempts))
}

// reserveBlock attempts to reserve a block in the row. A conflict with another host's write
// is no error, because it returns the current row. A lost answer is no error either: the
// next read of the row shows whether the write took effect.
func (allocator *Allocator) reserveBlock(ctx context.Context, account *account, block int) (fresh bool, err error) {
	err = allocator.writeRecord(ctx, account, block)
	var conflict *bvplatform.ConflictError
	if errors.As(err, &conflict) {
		return true, nil
	}
	if errors.Is(err, bvplatform.ErrUnknown) {
		return false, nil
	}
	return false, err
}

// searchState is the progress of a turn's search for tokens that the row does not have.
type searchState struct {
	rowFresh   bool // the row was read again, as others may have returned tokens
	hostsAsked bool // other hosts were asked for all tokens that they can lend
}

// continueSearch takes the next step for a turn that does not fit into the tokens left in
// the row. If it returns neither a reservation nor an error, the row must be checked again:
// with the tokens that were borrowed, it may cover the turn.
func (allocator *Allocator) continueSearch(ctx context.Context, account *account, turn Turn, state *searchState) (*Reservation, error) {
	switch {
	case !state.rowFresh:
		state.rowFresh = true
		allocator.invalidateRecord(account)
		return nil, nil
	case state.hostsAsked:
		return nil, allocator.exceededError(account, turn)
	}
	state.hostsAsked = true
	reservation, conclusive := allocator.borrow(ctx, account, turn, true)
	if reservation == nil && !conclusive {
		allocator.logDecision(account, turn, "budget is not known to be spent")
		return nil, unavailableError(errUnanswered)
	}
	return reservation, nil
}

// gatherTokens gets a turn's tokens in parts from other hosts after the store failed.
func (allocator *Allocator) gatherTokens(ctx context.Context, account *account, turn Turn, cause error) (*Reservation, error) {
	if reservation, _ := allocator.borrow(ctx, account, turn, true); reservation != nil {
		return reservation, nil
	}
	return nil, unavailableError(cause)
}

// errUnanswered means that enough tokens of the program may be left: a live host that holds
// some did not answer, or the program's grantor has failed or is undecided. BudgetExceeded
// would end the program, and might be wrong.
var errUnanswered = errors.New("a host that has tokens of the program did not answer")

func unavailableError(cause error) error {
	return bvverdict.Refuse(bvverdict.PlatformUnavailable, "the program's budget can't be reserved").
		WithRetryAfter(retryAfter).WithCause(cause)
}

// planBlock returns the size of the block to reserve: for all turns that wait here if it
// fits, else for this one.
func (allocator *Allocator) planBlock(account *account, turn Turn) (block int, fits bool) {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	account.budget = allocator.storedBudget(account, turn)
	next := func(need int) (int, bool) { return account.record.nextBlock(account.budget, need, turn.MaxTokens) }
	if turn.Retained && allocator.hasWholeRow(account, turn) {
		next = func(need int) (int, bool) {
			return account.record.nextRetainedBlock(account.budget, need, turn.MaxTokens)
		}
	}
	if block, fits = next(account.waiting - account.free); fits {
		return block, true
	}
	return next(turn.MaxTokens - account.free)
}

func (allocator *Allocator) exceededError(account *account, turn Turn) error {
	allocator.logDecision(account, turn, "budget is spent")
	return bvverdict.Refuse(bvverdict.BudgetExceeded, "the program's budget of %d tokens does not hold another turn", turn.Budget)
}

// logDecision logs a decision about a budget with the values that it was based on.
func (allocator *Allocator) logDecision(account *account, turn Turn, decision string) {
	grantor := allocator.grantorAddress(turn.Program)
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	allocator.log.WithFields(logrus.Fields{
		"program": turn.Program, "budget": turn.Budget, "stored": account.budget, "reserved": account.record.totalGranted(),
		"reserved_here": account.credited, "free_here": account.free, "most": turn.MaxTokens, "row_version": account.version,
		"grantor": grantor,
	}).Info(decision)
}
