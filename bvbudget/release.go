package bvbudget

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"golang.org/x/sync/errgroup"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// maxConcurrentWrites is how many accounts are written to the store at once.
const maxConcurrentWrites = 8

// ReleaseIdle returns unspent tokens of idle programs to the record, and removes accounts of
// programs whose retention has passed. It is called a few times a second.
func (allocator *Allocator) ReleaseIdle(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentWrites)
	for _, account := range allocator.dueAccounts() {
		group.Go(func() error { allocator.returnIdle(ctx, account); return nil })
	}
	_ = group.Wait() // the functions return no error
}

// dueAccounts returns the accounts whose unspent tokens are to be returned, and removes those
// whose retention has passed.
func (allocator *Allocator) dueAccounts() (returnable []*account) {
	now := allocator.clock.Now()
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	allocator.removeExpiredGrants(now)
	for program, account := range allocator.accounts {
		paused := now.Sub(account.lastUsed)
		switch {
		case !account.isIdle():
		case account.isExpired(paused):
			delete(allocator.accounts, program)
		case paused > allocator.returnDelay() && account.returnableTokens() > 0:
			returnable = append(returnable, account)
		}
	}
	return returnable
}

// returnIdle returns the unspent tokens of a program that pauses. A turn that arrives meanwhile waits for
// the account's lock. If another host has changed the record, the next call returns them.
func (allocator *Allocator) returnIdle(ctx context.Context, account *account) {
	select {
	case account.lock <- struct{}{}:
		defer func() { <-account.lock }()
	default:
		return // a turn has arrived
	}
	if err := allocator.returnTokens(ctx, account, account.returnableTokens); err != nil && !isConflict(err) {
		allocator.logNotReturned(account, err)
	}
}

// returnTokens lowers this host's entry in the record by the given amount. The caller holds the
// account's lock.
func (allocator *Allocator) returnTokens(ctx context.Context, account *account, amount func() int) error {
	allocator.mutex.Lock()
	tokens := amount()
	allocator.mutex.Unlock()
	if tokens == 0 {
		return nil
	}
	return allocator.writeRecord(ctx, account, -tokens)
}

func isConflict(err error) bool {
	var conflict *bvplatform.ConflictError
	return errors.As(err, &conflict)
}

func (allocator *Allocator) logNotReturned(account *account, err error) {
	allocator.log.WithField("program", account.program).WithError(err).Debug("unspent tokens not returned")
}

// ReleaseUnspent returns all unspent tokens here before a planned stop: tokens that a host
// holds when it stops count as spent, and programs whose next turns arrive at other hosts
// would be refused as over budget. It ends when ctx ends or all tokens are returned.
func (allocator *Allocator) ReleaseUnspent(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentWrites)
	for _, account := range allocator.recentAccounts() {
		group.Go(func() error { allocator.returnUnspent(ctx, account); return nil })
	}
	_ = group.Wait() // the functions return no error
}

// returnUnspent returns an account's unspent tokens, and retries if another host has changed the record.
// It waits for a return that is in progress.
func (allocator *Allocator) returnUnspent(ctx context.Context, account *account) {
	select {
	case account.lock <- struct{}{}:
		defer func() { <-account.lock }()
	case <-ctx.Done():
		allocator.logNotReturned(account, ctx.Err())
		return
	}
	var err error
	for range maxAttempts {
		if _, err = allocator.readRecord(ctx, account); err == nil {
			err = allocator.returnTokens(ctx, account, account.unspentTokens)
		}
		if !isConflict(err) {
			break
		}
	}
	if err != nil {
		allocator.logNotReturned(account, err)
	}
}

// activeTime is how long after its last turn here a program may still have turns elsewhere.
// The pauses of the users' programs are far shorter.
const activeTime = 5 * bvclock.Second

// recentAccounts returns the accounts with unspent tokens of programs that may still run.
func (allocator *Allocator) recentAccounts() []*account {
	now := allocator.clock.Now()
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	var recent []*account
	for _, account := range allocator.accounts {
		if now.Sub(account.lastUsed) < activeTime && account.isIdle() && min(account.free, account.credited) > 0 {
			recent = append(recent, account)
		}
	}
	return recent
}

// rowRetention returns how long a row is kept after its last write.
//
// No host knows whether a program goes on elsewhere: turns that spend tokens granted from
// memory, or reserved in the row earlier, change neither the row nor another host's account.
// But there are no more of these tokens than the two halves of the budget. Each turn with any
// output spends some, and the next one comes within the retention time of the program, or the
// program has ended. So the row is not needed once that many turns must have passed.
func (turn Turn) rowRetention() bvclock.Duration {
	half := max(turn.Budget, 0)/2 + max(turn.MaxTokens, 0)/2 + 1
	turnsOfHalf := min(half/max(turn.MinTokens, 1), maxRowTurns) + 1
	turns := 2*turnsOfHalf + 1
	return bvclock.Duration(turns) * (turn.Retain + expiryMargin)
}

// maxRowTurns bounds the turns of each half for which a row is kept, and with them the time:
// callers choose the budget.
const maxRowTurns = 5_000

// Sweep removes rows whose retention has passed.
func (allocator *Allocator) Sweep(ctx context.Context) (int, error) {
	now := allocator.wallTime().Unix()
	part := func() string { return fmt.Sprintf("budget/%02x/", rand.IntN(shards)) }
	return allocator.sweeper.Sweep(ctx, allocator.store, part, func(row bvplatform.Row) bool {
		record, err := decodeRecord(row.Value)
		return err == nil && record.Expires < now
	})
}
