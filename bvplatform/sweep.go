package bvplatform

import (
	"context"
	"errors"
)

const (
	// sweepScanRows is the maximum number of rows that one sweep scans.
	sweepScanRows = 500
	// sweepBatchRows is the maximum number of rows that one transaction removes; the
	// platform accepts 100 entries, and each row takes a check and a removal.
	sweepBatchRows = 50
)

// Sweeper removes expired rows of a table, some at a time. The zero value is ready to use; it
// is not safe for concurrent use.
type Sweeper struct {
	prefix string // of the partition that is being scanned
	after  string // last key scanned; "": choose another partition
}

// Sweep scans the next rows of a partition whose prefix choose returns, and removes those that
// are expired. It returns the number of removed rows.
func (sweeper *Sweeper) Sweep(ctx context.Context, store Store, choose func() (prefix string), expired func(Row) bool) (int, error) {
	if sweeper.after == "" {
		sweeper.prefix = choose()
	}
	rows, err := store.Scan(ctx, sweeper.prefix, sweeper.after, sweepScanRows)
	if err != nil {
		return 0, err
	}
	sweeper.after = ""
	if len(rows) == sweepScanRows {
		sweeper.after = rows[len(rows)-1].Key
	}
	return removeExpired(ctx, store, rows, expired)
}

// Sweep scans the first rows whose keys begin with prefix, which must lie in one partition, and
// removes those that are expired. A row that is changed concurrently is not removed.
// It returns the number of removed rows.
//
// Normally the host that wrote a row removes it. Sweep removes the rows of hosts that
// crashed: the platform's store has no expiry.
func Sweep(ctx context.Context, store Store, prefix string, expired func(Row) bool) (int, error) {
	rows, err := store.Scan(ctx, prefix, "", sweepScanRows)
	if err != nil {
		return 0, err
	}
	return removeExpired(ctx, store, rows, expired)
}

func removeExpired(ctx context.Context, store Store, rows []Row, expired func(Row) bool) (int, error) {
	var err error
	removed := 0
	var batch Transaction
	for _, row := range rows {
		if !expired(row) {
			continue
		}
		batch.Checks = append(batch.Checks, Check{Key: row.Key, Version: row.Version})
		batch.Puts = append(batch.Puts, Put{Key: row.Key})
		if len(batch.Puts) < sweepBatchRows {
			continue
		}
		if removed, err = removeBatch(ctx, store, batch, removed); err != nil {
			return removed, err
		}
		batch = Transaction{}
	}
	return removeBatch(ctx, store, batch, removed)
}

// removeBatch removes the rows of a batch unless one of them has changed; the
// next sweep retries them. It returns the total number of removed rows.
func removeBatch(ctx context.Context, store Store, batch Transaction, before int) (int, error) {
	if len(batch.Puts) == 0 {
		return before, nil
	}
	_, err := store.Commit(ctx, batch)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return before, nil
	}
	if err != nil {
		return before, err
	}
	return before + len(batch.Puts), nil
}
