package bvsuspect

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

const (
	// suspectPart is the part of the platform's store with the rows of this package, and
	// crashPrefix the key prefix of crashes there.
	suspectPart = "suspects//"
	crashPrefix = suspectPart + "crash-"
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
	AnyQuery  uint64  `json:"any_query"`
	Feature   Feature `json:"feature,omitempty"`
	Exclusive bool    `json:"exclusive"`
	At        int64   `json:"at_unix_ms"` // by the clock of the host that detected it
}

// crashKey returns the key of a crash in the platform's store.
func crashKey(crash Crash) string {
	return crashPrefix + FormatHash(crash.Request.Exact) + "-" + FormatHash(crash.Endpoint)
}

// decodeRow returns the crash of a row of the platform's store.
func (suspects *Suspects) decodeRow(row bvplatform.Row) (Report, error) {
	var report Report
	var saved savedCrash
	exact, endpoint, found := strings.Cut(strings.TrimPrefix(row.Key, crashPrefix), "-")
	if !found {
		return report, fmt.Errorf("suspects: row %s: no request and endpoint", row.Key)
	}
	request, requestErr := strconv.ParseUint(exact, 16, 64)
	incarnation, endpointErr := strconv.ParseUint(endpoint, 16, 64)
	if err := errors.Join(requestErr, endpointErr, json.Unmarshal(row.Value, &saved)); err != nil {
		return report, fmt.Errorf("suspects: row %s: %w", row.Key, err)
	}
	report.Crash = Crash{Fingerprint{request, saved.AnyQuery, saved.Feature}, incarnation}
	report.Exclusive, report.Age = saved.Exclusive, suspects.ageOf(saved.At)
	return report, nil
}

// Save writes crashes that this host has detected into the platform's store, and removes those
// that no longer count. What fails is saved by a later call.
func (suspects *Suspects) Save(ctx context.Context) error {
	if err := suspects.removeEndedClaims(ctx); err != nil {
		return err
	}
	for {
		puts, crashes := suspects.unsavedRows()
		if len(puts) == 0 {
			return nil
		}
		if _, err := suspects.store.Commit(ctx, bvplatform.Transaction{Puts: puts}); err != nil {
			return fmt.Errorf("suspects: save: %w", err)
		}
		suspects.markSaved(crashes)
	}
}

// unsavedRows returns rows to write or to remove, and the crashes that they are about.
func (suspects *Suspects) unsavedRows() (puts []bvplatform.Put, crashes []Report) {
	now := suspects.clock.Now()
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	crashes = suspects.table.Unsaved(now, maxSavedRows)
	return suspects.encodeRows(crashes), crashes
}

// encodeRows returns rows to write for crashes; those of withdrawn ones are removed.
func (suspects *Suspects) encodeRows(crashes []Report) []bvplatform.Put {
	wall := suspects.unixMilli()
	puts := make([]bvplatform.Put, 0, len(crashes))
	for _, report := range crashes {
		put := bvplatform.Put{Key: crashKey(report.Crash)}
		if !report.Withdrawn {
			saved := savedCrash{report.Request.AnyQuery, report.Request.Feature, report.Exclusive, wall - int64(report.Age)}
			put.Value, _ = json.Marshal(saved) // numbers always encode
		}
		puts = append(puts, put)
	}
	return puts
}

func (suspects *Suspects) markSaved(crashes []Report) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	for _, report := range crashes {
		suspects.table.MarkSaved(report)
	}
}

// Load adds the crashes that the platform's store has, and removes old rows.
func (suspects *Suspects) Load(ctx context.Context) error {
	after, hasExpired := "", false
	for {
		rows, err := suspects.store.Scan(ctx, suspectPart, after, loadedRows)
		if err != nil {
			return fmt.Errorf("suspects: load: %w", err)
		}
		for _, row := range rows {
			suspects.loadRow(row)
			hasExpired = hasExpired || suspects.isExpired(row)
		}
		if len(rows) < loadedRows {
			break
		}
		after = rows[len(rows)-1].Key
	}
	if !hasExpired {
		return nil
	}
	_, err := bvplatform.Sweep(ctx, suspects.store, suspectPart, suspects.isExpired)
	return err
}

func (suspects *Suspects) loadRow(row bvplatform.Row) {
	if !strings.HasPrefix(row.Key, crashPrefix) {
		return
	}
	report, err := suspects.decodeRow(row)
	if err != nil {
		suspects.log.WithError(err).Warn("saved crash can't be read")
		return
	}
	suspects.addReport("store", report, (*Table).MergeSaved)
}

// ageOf returns the time since a time of another host's clock.
func (suspects *Suspects) ageOf(at int64) bvclock.Duration {
	return max(bvclock.Duration(suspects.unixMilli()-at), 0)
}

// isExpired reports whether a row is so old that no host retains its crash.
func (suspects *Suspects) isExpired(row bvplatform.Row) bool {
	var saved savedCrash
	return json.Unmarshal(row.Value, &saved) == nil && suspects.ageOf(saved.At) > crashRetention
}
