package bvbudget

import (
	"context"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

func (account *account) key() string {
	return fmt.Sprintf("budget/%02x/%s", xxhash.Sum64String(account.program)%shards, account.program)
}

// readRecord reads the record unless it is known. It reports whether it did.
func (allocator *Allocator) readRecord(ctx context.Context, account *account) (bool, error) {
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
	return true, allocator.applyRow(account, rows[0])
}

func (allocator *Allocator) invalidateRecord(account *account) {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	account.known = false
}

func (allocator *Allocator) applyRow(account *account, row bvplatform.Row) error {
	record, err := decodeRecord(row.Value)
	if err != nil {
		return err
	}
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	account.applyRecord(allocator.incarnation, record, row.Version)
	return nil
}

// writeRecord changes this host's entry in the record, unless another host has changed the
// record. An increase is credited when the store has confirmed it. A decrease is deducted
// before it is sent, and credited again only if it certainly was not carried out.
func (allocator *Allocator) writeRecord(ctx context.Context, account *account, change int) error {
	allocator.mutex.Lock()
	if change < 0 {
		account.free += change
		account.credited += change
	}
	record := account.record.withEntry(allocator.incarnation, account.credited+max(change, 0))
	record.Expires = allocator.newExpiry(account, record)
	version := account.version
	allocator.writes++
	allocator.mutex.Unlock()
	newVersion, err := allocator.store.Commit(ctx, bvplatform.Transaction{
		Checks: []bvplatform.Check{{Key: account.key(), Version: version}},
		Puts:   []bvplatform.Put{{Key: account.key(), Value: record.encode()}},
	})
	return allocator.finishWrite(account, change, record, newVersion, err)
}

func (allocator *Allocator) finishWrite(account *account, change int, record Record, version int64, err error) error {
	var conflict *bvplatform.ConflictError
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	switch {
	case err == nil:
		account.record, account.version, account.known, account.writeUncertain = record, version, true, false
		if change > 0 {
			account.credited += change
			account.free += change
			allocator.reservedPrograms = append(allocator.reservedPrograms, xxhash.Sum64String(account.program))
		}
		return nil
	case errors.Is(err, bvplatform.ErrUnknown):
		account.known, account.writeUncertain = false, true
		return err
	case change < 0:
		account.free -= change
		account.credited -= change
	}
	account.known = false
	if !errors.As(err, &conflict) || len(conflict.Rows) != 1 {
		return err
	}
	current, decodeErr := decodeRecord(conflict.Rows[0].Value)
	if decodeErr != nil {
		return errors.Join(err, decodeErr)
	}
	account.applyRecord(allocator.incarnation, current, conflict.Rows[0].Version)
	return err
}

// newExpiry returns when a record that is about to be written may be removed. One without
// entries is equal to none. The caller holds the mutex.
func (allocator *Allocator) newExpiry(account *account, record Record) int64 {
	now := allocator.wallTime().Unix()
	if len(record.Granted) == 0 {
		return now + int64((account.retain+expiryMargin)/bvclock.Second)
	}
	return max(record.Expires, now+int64(account.rowRetain/bvclock.Second))
}
