package bvbudget

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// maxConcurrentWrites is how many accounts are written to the store at once.
const maxConcurrentWrites = 8

// ReleaseIdle returns unspent tokens of idle programs to the record, and removes accounts
// and rows of programs whose retention has passed. It is called a few times a second.
func (allocator *Allocator) ReleaseIdle(ctx context.Context) {
	returnable, expired := allocator.dueAccounts()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentWrites)
	for _, account := range returnable {
		group.Go(func() error { allocator.returnTokens(ctx, account, account.returnableTokens); return nil })
	}
	for _, account := range expired {
		group.Go(func() error { allocator.removeRow(ctx, account); return nil })
	}
	_ = group.Wait() // the functions return no error
}

// dueAccounts returns the accounts whose unspent tokens are to be returned, and removes and
// returns those whose retention has passed.
func (allocator *Allocator) dueAccounts() (returnable, expired []*account) {
	now := allocator.clock.Now()
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	allocator.removeExpiredGrants(now)
	for program, account := range allocator.accounts {
		paused := now.Sub(account.lastUsed)
		switch {
		case !account.isIdle():
		case paused > account.retain+expiryMargin:
			delete(allocator.accounts, program)
			expired = append(expired, account)
		case paused > allocator.returnDelay() && account.returnableTokens() > 0:
			returnable = append(returnable, account)
		}
	}
	return returnable, expired
}

// returnTokens lowers this host's entry in the record by the given amount. A turn that
// arrives meanwhile waits for the account's lock.
func (allocator *Allocator) returnTokens(ctx context.Context, account *account, amount func() int) {
	select {
	case account.lock <- struct{}{}:
		defer func() { <-account.lock }()
	default:
		return // a turn has arrived
	}
	allocator.mutex.Lock()
	tokens := amount()
	allocator.mutex.Unlock()
	if tokens == 0 {
		return
	}
	err := allocator.writeRecord(ctx, account, -tokens)
	var conflict *bvplatform.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		allocator.log.WithField("program", account.program).WithError(err).Debug("unspent tokens not returned")
	}
}

// ReleaseUnspent returns all unspent tokens here before a planned stop: tokens that a host
// holds when it stops count as spent, and programs whose next turns arrive at other hosts
// would be refused as over budget. It ends when ctx ends or all tokens are returned.
func (allocator *Allocator) ReleaseUnspent(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentWrites)
	for _, account := range allocator.recentAccounts() {
		group.Go(func() error { allocator.returnTokens(ctx, account, account.unspentTokens); return nil })
	}
	_ = group.Wait() // the functions return no error
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
		if now.Sub(account.lastUsed) < activeTime && account.unspentTokens() > 0 {
			recent = append(recent, account)
		}
	}
	return recent
}

// removeRow removes a row unless another host has changed it since this host last did.
func (allocator *Allocator) removeRow(ctx context.Context, account *account) {
	if !account.known || account.version == 0 {
		return
	}
	_, err := allocator.store.Commit(ctx, bvplatform.Transaction{
		Checks: []bvplatform.Check{{Key: account.key(), Version: account.version}},
		Puts:   []bvplatform.Put{{Key: account.key()}},
	})
	var conflict *bvplatform.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		allocator.log.WithField("program", account.program).WithError(err).Debug("row not removed; the sweep will remove it")
	}
}

// Sweep removes expired rows of programs whose last host failed, in a shard drawn at
// random.
func (allocator *Allocator) Sweep(ctx context.Context) (int, error) {
	now := time.Now().Unix()
	prefix := fmt.Sprintf("budget/%02x/", rand.IntN(shards))
	return bvplatform.Sweep(ctx, allocator.store, prefix, func(row bvplatform.Row) bool {
		record, err := decodeRecord(row.Value)
		return err == nil && record.Expires < now
	})
}
