package bvbudget

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

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
