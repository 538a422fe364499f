package bvsuspect

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

const (
	// crashPrefix is the key prefix of crashes in the platform's store, in one part.
	crashPrefix = "suspects//crash-"
	// suspectPart is the part of the store that has them.
	suspectPart = "suspects//"
	// minSavedCrashes is the number of crashes from which a request's crashes are saved. Many
	// requests are in flight at one crash; few of them at two.
	minSavedCrashes = 2
	// maxSavedRows is the number of rows that one transaction writes.
	maxSavedRows = 90
	// loadedRows is the number of rows that are read at once.
	loadedRows = 500
)

// savedCrash is a row in the platform's store.
type savedCrash struct {
	AnyQuery uint64 `json:"any_query"`
	At       int64  `json:"at_unix_ms"` // by the clock of the host that detected it
}

// crashKey returns the key of a crash in the platform's store.
func crashKey(crash Crash) string {
	return crashPrefix + FormatHash(crash.Request.Exact) + "-" + FormatHash(crash.Endpoint)
}

// decodeCrash returns the crash of a row of the platform's store, and its time.
func decodeCrash(row bvplatform.Row) (crash Crash, at int64, err error) {
	exact, endpoint, found := strings.Cut(strings.TrimPrefix(row.Key, crashPrefix), "-")
	if !found {
		return crash, 0, fmt.Errorf("suspects: row %s: no request and endpoint", row.Key)
	}
	if crash.Request.Exact, err = strconv.ParseUint(exact, 16, 64); err != nil {
		return crash, 0, fmt.Errorf("suspects: row %s: %w", row.Key, err)
	}
	if crash.Endpoint, err = strconv.ParseUint(endpoint, 16, 64); err != nil {
		return crash, 0, fmt.Errorf("suspects: row %s: %w", row.Key, err)
	}
	var saved savedCrash
	if err := json.Unmarshal(row.Value, &saved); err != nil {
		return crash, 0, fmt.Errorf("suspects: row %s: %w", row.Key, err)
	}
	crash.Request.AnyQuery = saved.AnyQuery
	return crash, saved.At, nil
}

// Save writes crashes that this host has detected into the platform's store, and removes those
// that no longer count. What fails is saved by a later call.
func (suspects *Suspects) Save(ctx context.Context, store bvplatform.Store) error {
	for {
		puts, crashes := suspects.unsavedRows()
		if len(puts) == 0 {
			return nil
		}
		if _, err := store.Commit(ctx, bvplatform.Transaction{Puts: puts}); err != nil {
			return fmt.Errorf("suspects: save: %w", err)
		}
		suspects.markSaved(crashes)
	}
}

// unsavedRows returns rows to write or to remove, and the crashes that they are about.
func (suspects *Suspects) unsavedRows() (puts []bvplatform.Put, crashes []Report) {
	now, wall := suspects.clock.Now(), time.Now().UnixMilli()
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	crashes = suspects.table.Unsaved(now, maxSavedRows)
	for _, report := range crashes {
		put := bvplatform.Put{Key: crashKey(report.Crash)}
		if !report.Withdrawn {
			put.Value, _ = json.Marshal(savedCrash{report.Request.AnyQuery, wall - int64(report.Age)}) // integers always encode
		}
		puts = append(puts, put)
	}
	return puts, crashes
}

func (suspects *Suspects) markSaved(crashes []Report) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	for _, report := range crashes {
		suspects.table.MarkSaved(report)
	}
}

// Load adds the crashes that the platform's store has, and removes old rows.
func (suspects *Suspects) Load(ctx context.Context, store bvplatform.Store) error {
	after, hasExpired := "", false
	for {
		rows, err := store.Scan(ctx, suspectPart, after, loadedRows)
		if err != nil {
			return fmt.Errorf("suspects: load: %w", err)
		}
		for _, row := range rows {
			suspects.loadRow(row)
			hasExpired = hasExpired || isExpired(row)
		}
		if len(rows) < loadedRows {
			break
		}
		after = rows[len(rows)-1].Key
	}
	if !hasExpired {
		return nil
	}
	_, err := bvplatform.Sweep(ctx, store, suspectPart, isExpired)
	return err
}

func (suspects *Suspects) loadRow(row bvplatform.Row) {
	if !strings.HasPrefix(row.Key, crashPrefix) {
		return
	}
	crash, at, err := decodeCrash(row)
	if err != nil {
		suspects.log.WithError(err).Warn("saved crash can't be read")
		return
	}
	suspects.addReport("store", Report{Crash: crash, Age: ageOf(at)}, (*Table).MergeSaved)
}

// ageOf returns the time since a time of another host's clock.
func ageOf(at int64) bvclock.Duration { return max(bvclock.Duration(time.Now().UnixMilli()-at), 0) }

// isExpired reports whether a row is so old that no host retains its crash.
func isExpired(row bvplatform.Row) bool {
	var saved savedCrash
	return json.Unmarshal(row.Value, &saved) == nil && ageOf(saved.At) > crashRetention
}
