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

// tidyWrites is how many accounts are tidied at once.
const tidyWrites = 8

// ReleaseIdle gives back what lies unspent and forgets programs that are long over.
// It is called a few times a second.
func (allocator *Allocator) ReleaseIdle(ctx context.Context) {
	returns, forgotten := allocator.due()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(tidyWrites)
	for _, account := range returns {
		group.Go(func() error { allocator.giveBack(ctx, account, account.returnable); return nil })
	}
	for _, account := range forgotten {
		group.Go(func() error { allocator.remove(ctx, account); return nil })
	}
	_ = group.Wait() // the functions return no error
}

func (allocator *Allocator) due() (returns, forgotten []*account) {
	now := allocator.clock.Now()
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	allocator.forgetGrants(now)
	for program, account := range allocator.accounts {
		paused := now.Sub(account.usedAt)
		switch {
		case !account.idle():
		case paused > account.retain+forgetAfter:
			delete(allocator.accounts, program)
			forgotten = append(forgotten, account)
		case paused > allocator.returnAfter() && account.returnable() > 0:
			returns = append(returns, account)
		}
	}
	return returns, forgotten
}

// giveBack lowers this host's block by what is not needed here. A turn that
// comes meanwhile waits for the account's turn.
func (allocator *Allocator) giveBack(ctx context.Context, account *account, spare func() int) {
	select {
	case account.turn <- struct{}{}:
		defer func() { <-account.turn }()
	default:
		return // a turn has come
	}
	allocator.mutex.Lock()
	unspent := spare()
	allocator.mutex.Unlock()
	if unspent == 0 {
		return
	}
	err := allocator.write(ctx, account, -unspent)
	var conflict *bvplatform.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		allocator.log.WithField("program", account.program).WithError(err).Debug("unspent tokens not given back")
	}
}

// ReleaseUnspent gives back all that lies unspent here, before a planned stop: what a
// host holds when it ends counts as spent, and programs whose next turns come
// through other hosts would be told that their budgets are spent. It goes on
// until ctx ends or all is given back.
func (allocator *Allocator) ReleaseUnspent(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(tidyWrites)
	for _, account := range allocator.recent() {
		group.Go(func() error { allocator.giveBack(ctx, account, account.unspent); return nil })
	}
	_ = group.Wait() // the functions return no error
}

// underWay is how long after its last turn here a program may still have turns
// elsewhere: the pauses of the users' programs are shorter by far.
const underWay = 5 * bvclock.Second

// recent returns the accounts of programs that may be under way.
func (allocator *Allocator) recent() []*account {
	now := allocator.clock.Now()
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	var recent []*account
	for _, account := range allocator.accounts {
		if now.Sub(account.usedAt) < underWay && account.unspent() > 0 {
			recent = append(recent, account)
		}
	}
	return recent
}

// remove deletes a row that nobody has changed since this host last did.
func (allocator *Allocator) remove(ctx context.Context, account *account) {
	if !account.known || account.version == 0 {
		return
	}
	_, err := allocator.store.Commit(ctx, bvplatform.Transaction{
		Checks: []bvplatform.Check{{Key: account.key(), Version: account.version}},
		Puts:   []bvplatform.Put{{Key: account.key()}},
	})
	var conflict *bvplatform.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		allocator.log.WithField("program", account.program).WithError(err).Debug("row not removed; the sweep finds it")
	}
}

// Sweep removes expired rows of programs whose last host died, in a part that is
// drawn at random.
func (allocator *Allocator) Sweep(ctx context.Context) (int, error) {
	now := time.Now().Unix()
	prefix := fmt.Sprintf("budget/%02x/", rand.IntN(shards))
	return bvplatform.Sweep(ctx, allocator.store, prefix, func(row bvplatform.Row) bool {
		record, err := decode(row.Value)
		return err == nil && record.Expires < now
	})
}
