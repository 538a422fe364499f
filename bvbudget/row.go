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
func (allocator *Allocator) read(ctx context.Context, account *account) (bool, error) {
	allocator.mutex.Lock()
	known := account.known
	allocator.mutex.Unlock()
	if known {
		return false, nil
	}
	rows, err := allocator.store.Read(ctx, account.key())
	if err != nil {
		return false, err
	}
	return true, allocator.learn(account, rows[0])
}

func (allocator *Allocator) forget(account *account) {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	account.known = false
}

func (allocator *Allocator) learn(account *account, row bvplatform.Row) error {
	record, err := decode(row.Value)
	if err != nil {
		return err
	}
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	account.learn(allocator.host, record, row.Version)
	return nil
}

// write changes this host's entry in the record, if nobody else has changed
// the record. A rise is credited when the store has confirmed it; what a fall
// gives back is taken off before it is sent, and credited again only when it
// surely was not carried out.
func (allocator *Allocator) write(ctx context.Context, account *account, change int) error {
	allocator.mutex.Lock()
	if change < 0 {
		account.free += change
		account.credited += change
	}
	record := account.record.with(allocator.host, account.credited+max(change, 0))
	record.Expires = time.Now().Unix() + int64((account.retain+forgetAfter)/bvclock.Second)
	version := account.version
	allocator.writes++
	allocator.mutex.Unlock()
	newVersion, err := allocator.store.Commit(ctx, bvplatform.Transaction{
		Checks: []bvplatform.Check{{Key: account.key(), Version: version}},
		Puts:   []bvplatform.Put{{Key: account.key(), Value: record.encode()}},
	})
	return allocator.wrote(account, change, record, newVersion, err)
}

func (allocator *Allocator) wrote(account *account, change int, record Record, version int64, err error) error {
	var conflict *bvplatform.ConflictError
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	switch {
	case err == nil:
		account.record, account.version, account.known, account.doubt = record, version, true, false
		if change > 0 {
			account.credited += change
			account.free += change
			allocator.begun = append(allocator.begun, xxhash.Sum64String(account.program))
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
	account.learn(allocator.host, current, conflict.Rows[0].Version)
	return err
}
