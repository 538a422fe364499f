package bvowner

import (
	"context"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvplatform"
)

// readTimeout bounds a read of a program's rows; a call waits for it.
const readTimeout = 3 * bvclock.Second

// scanPageSize is how many turn rows one read returns.
const scanPageSize = 300

// Committer writes entries of many programs in one transaction.
type Committer interface {
	Add(entry bvledger.Entry)
}

// loadProgram reads a program's rows for the ledger. It reads the head row before the
// turns: a turn written in between is then detected as too new by the write that is
// conditional on the head, and never used as history.
func (owner *Owner) loadProgram(load bvledger.Load) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout.Std())
	defer cancel()
	rows, err := owner.readRows(ctx, load)
	owner.apply(func(now bvclock.Time) { owner.ledger.HandleRows(now, load.Key, rows, err) })
}

func (owner *Owner) readRows(ctx context.Context, load bvledger.Load) ([]bvplatform.Row, error) {
	rows, err := owner.parts.Store.Read(ctx, load.Keys...)
	if err != nil || !load.ScanTurns {
		return rows, err
	}
	after := ""
	for {
		page, err := owner.parts.Store.Scan(ctx, bvledger.TurnPrefix(load.Key), after, scanPageSize)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < scanPageSize {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}
