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

// Tidy gives back what lies unspent and forgets programs that are long over.
// It is called a few times a second.
func (keeper *Keeper) Tidy(ctx context.Context) {
	returns, forgotten := keeper.due()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(tidyWrites)
	for _, account := range returns {
		group.Go(func() error { keeper.giveBack(ctx, account, account.returnable); return nil })
	}
	for _, account := range forgotten {
		group.Go(func() error { keeper.remove(ctx, account); return nil })
	}
	_ = group.Wait() // the functions return no error
}

func (keeper *Keeper) due() (returns, forgotten []*account) {
	now := keeper.clock.Now()
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.forgetGrants(now)
	for program, account := range keeper.accounts {
		paused := now.Sub(account.usedAt)
		switch {
		case !account.idle():
		case paused > account.retain+forgetAfter:
			delete(keeper.accounts, program)
			forgotten = append(forgotten, account)
		case paused > keeper.returnAfter() && account.returnable() > 0:
			returns = append(returns, account)
		}
	}
	return returns, forgotten
}

// giveBack lowers this host's block by what is not needed here. A turn that
// comes meanwhile waits for the account's turn.
func (keeper *Keeper) giveBack(ctx context.Context, account *account, spare func() int) {
	select {
	case account.turn <- struct{}{}:
		defer func() { <-account.turn }()
	default:
		return // a turn has come
	}
	keeper.mutex.Lock()
	unspent := spare()
	keeper.mutex.Unlock()
	if unspent == 0 {
		return
	}
	err := keeper.write(ctx, account, -unspent)
	var conflict *bvplatform.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		keeper.log.WithField("program", account.program).WithError(err).Debug("unspent tokens not given back")
	}
}

// GiveUp gives back all that lies unspent here, before a planned stop: what a
// host holds when it ends counts as spent, and programs whose next turns come
// through other hosts would be told that their budgets are spent. It goes on
// until ctx ends or all is given back.
func (keeper *Keeper) GiveUp(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(tidyWrites)
	for _, account := range keeper.recent() {
		group.Go(func() error { keeper.giveBack(ctx, account, account.unspent); return nil })
	}
	_ = group.Wait() // the functions return no error
}

// underWay is how long after its last turn here a program may still have turns
// elsewhere: the pauses of the users' programs are shorter by far.
const underWay = 5 * bvclock.Second

// recent returns the accounts of programs that may be under way.
func (keeper *Keeper) recent() []*account {
	now := keeper.clock.Now()
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	var recent []*account
	for _, account := range keeper.accounts {
		if now.Sub(account.usedAt) < underWay && account.unspent() > 0 {
			recent = append(recent, account)
		}
	}
	return recent
}

// remove deletes a row that nobody has changed since this host last did.
func (keeper *Keeper) remove(ctx context.Context, account *account) {
	if !account.known || account.version == 0 {
		return
	}
	_, err := keeper.store.Commit(ctx, bvplatform.Transaction{
		Checks: []bvplatform.Check{{Key: account.key(), Version: account.version}},
		Puts:   []bvplatform.Put{{Key: account.key()}},
	})
	var conflict *bvplatform.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		keeper.log.WithField("program", account.program).WithError(err).Debug("row not removed; the sweep finds it")
	}
}

// Sweep removes expired rows of programs whose last host died, in a part that is
// drawn at random.
func (keeper *Keeper) Sweep(ctx context.Context) (int, error) {
	now := time.Now().Unix()
	prefix := fmt.Sprintf("budget/%02x/", rand.IntN(shards))
	return bvplatform.Sweep(ctx, keeper.store, prefix, func(row bvplatform.Row) bool {
		record, err := decode(row.Value)
		return err == nil && record.Expires < now
	})
}
