package bvplatform

import (
	"context"
	"errors"
)

const (
	// sweepRows is how many rows one sweep looks at.
	sweepRows = 500
	// sweepBatch is how many rows one transaction removes; the platform takes
	// 100 entries, and each row is a condition and a removal.
	sweepBatch = 50
)

// Sweep looks at rows whose keys begin with prefix, which must lie together, and
// removes those that are expired. A row that is changed meanwhile stays. It
// returns how many were removed.
//
// Rows are removed by the host that wrote them, as a rule. Sweep is for the rows
// of hosts that died: nothing in the platform's store expires by itself.
func Sweep(ctx context.Context, store Store, prefix string, expired func(Row) bool) (int, error) {
	rows, err := store.Scan(ctx, prefix, "", sweepRows)
	if err != nil {
		return 0, err
	}
	removed := 0
	var batch Transaction
	for _, row := range rows {
		if !expired(row) {
			continue
		}
		batch.Checks = append(batch.Checks, Check{Key: row.Key, Version: row.Version})
		batch.Puts = append(batch.Puts, Put{Key: row.Key})
		if len(batch.Puts) < sweepBatch {
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
// next sweep meets them again.
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
