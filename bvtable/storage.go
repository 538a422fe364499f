package bvtable

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"balsamvalve.example/bvplatform"
)

// Keys in the platform's store.
const (
	versionKey     = "table/version"
	rowPrefix      = "table/row/"
	changePrefix   = "table/change/"
	proposalPrefix = "table/proposal/"
	attemptPrefix  = "table/attempt/"
)

// Sizes of reads.
const (
	changesPerRead = 100
	rowsPerScan    = 500
	// maxReplay is the number of changes above which a scan of all rows takes fewer reads than
	// the changes.
	maxReplay = 2000
)

// changesRetained is the number of versions whose Change stays in the store: a week at 14,000
// changes a day.
const changesRetained = 100_000

func rowKey(name RowName) string {
	return rowPrefix + name.Member + "/" + name.Class
}

func changeKey(version int64) string {
	return fmt.Sprintf("%s%020d", changePrefix, version)
}

func proposalKey(id string) string {
	return proposalPrefix + id
}

func attemptKey(actor Actor, attempt string) string {
	return attemptPrefix + actor.Member + "/" + attempt
}

// storage reads the table from the platform's store.
type storage struct {
	store bvplatform.Store
}

// version reads the version counter. A poll that finds no newer version reads nothing else.
func (storage storage) version(ctx context.Context) (int64, error) {
	rows, err := storage.store.Read(ctx, versionKey)
	if err != nil {
		return 0, fmt.Errorf("table: read version: %w", err)
	}
	return decodeVersion(rows[0])
}

func decodeVersion(row bvplatform.Row) (int64, error) {
	if row.Version == 0 {
		return 0, nil
	}
	version, err := strconv.ParseInt(string(row.Value), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("table: version %q is not a number", row.Value)
	}
	return version, nil
}

func encodeVersion(version int64) []byte {
	return strconv.AppendInt(nil, version, 10)
}

// changes reads the changes of versions first to last. It returns fewer when the oldest of
// them are no longer retained.
func (storage storage) changes(ctx context.Context, first, last int64) ([]Change, error) {
	var changes []Change
	for start := first; start <= last; start += changesPerRead {
		end := min(start+changesPerRead-1, last)
		part, err := storage.readChanges(ctx, start, end)
		if err != nil {
			return nil, err
		}
		changes = append(changes, part...)
	}
	return changes, nil
}

func (storage storage) readChanges(ctx context.Context, first, last int64) ([]Change, error) {
	var keys []string
	for version := first; version <= last; version++ {
		keys = append(keys, changeKey(version))
	}
	rows, err := storage.store.Read(ctx, keys...)
	if err != nil {
		return nil, fmt.Errorf("table: read changes: %w", err)
	}
	var changes []Change
	for _, row := range rows {
		if row.Version == 0 {
			continue
		}
		var change Change
		if err := json.Unmarshal(row.Value, &change); err != nil {
			return nil, fmt.Errorf("table: %s: %w", row.Key, err)
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// scan reads the whole table.
//
// Edits may commit while the pages are read, so that the rows belong to different versions.
// The counter is read before and after the scan, and the changes between the two versions are
// replayed. Replay is idempotent, because a change sets its cells whatever they hold, so the
// result is exactly the table of the later version.
func (storage storage) scan(ctx context.Context) (*Table, error) {
	before, err := storage.version(ctx)
	if err != nil {
		return nil, err
	}
	rows, err := storage.scanRows(ctx)
	if err != nil {
		return nil, err
	}
	after, err := storage.version(ctx)
	if err != nil {
		return nil, err
	}
	changes, err := storage.changes(ctx, before+1, after)
	if err != nil {
		return nil, err
	}
	if int64(len(changes)) != after-before {
		return nil, fmt.Errorf("table: changes of versions %d to %d are no longer all retained", before+1, after)
	}
	table := NewTable(before, rows)
	for _, change := range changes {
		if table, err = table.With(change); err != nil {
			return nil, err
		}
	}
	return table, nil
}

func (storage storage) scanRows(ctx context.Context) ([]Row, error) {
	var rows []Row
	after := ""
	for {
		page, err := storage.store.Scan(ctx, rowPrefix, after, rowsPerScan)
		if err != nil {
			return nil, fmt.Errorf("table: scan rows: %w", err)
		}
		for _, found := range page {
			var row Row
			if err := json.Unmarshal(found.Value, &row); err != nil {
				return nil, fmt.Errorf("table: %s: %w", found.Key, err)
			}
			rows = append(rows, row)
		}
		if len(page) < rowsPerScan {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}

// history returns changes below the given version, newest first.
func (storage storage) history(ctx context.Context, below int64, limit int) ([]Change, error) {
	first := max(below-int64(limit), 1)
	changes, err := storage.changes(ctx, first, below-1)
	slices.Reverse(changes)
	return changes, err
}
