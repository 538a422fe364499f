package bvowner

import (
	"context"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvplatform"
)

// readTimeout bounds a read of a program's rows; a call waits for it.
const readTimeout = 3 * bvclock.Second

// scanPage is how many turn rows one read brings.
const scanPage = 300

// Committer writes entries of many programs in one transaction.
type Committer interface {
	Add(entry bvledger.Entry)
}

// load reads a program's rows for the ledger. The head row is read before the
// turns: a turn that is written in between is then seen to be too new by the
// write that is conditional on the head, and never taken for history.
func (owner *Owner) load(load bvledger.Load) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout.Std())
	defer cancel()
	rows, err := owner.read(ctx, load)
	owner.do(func(now bvclock.Time) { owner.ledger.HandleRows(now, load.Key, rows, err) })
}

func (owner *Owner) read(ctx context.Context, load bvledger.Load) ([]bvplatform.Row, error) {
	rows, err := owner.parts.Store.Read(ctx, load.Keys...)
	if err != nil || !load.ScanTurns {
		return rows, err
	}
	after := ""
	for {
		page, err := owner.parts.Store.Scan(ctx, bvledger.TurnPrefix(load.Key), after, scanPage)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < scanPage {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}
