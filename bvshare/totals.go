package bvshare

import (
	"cmp"
	"maps"
	"slices"

	"balsamvalve.example/bvclock"
)

const (
	// refreshInterval is the least time between two additions of all reports; with many
	// hosts it is refreshShare of the interval between reports, as the addition takes
	// longer and the reports change less often.
	refreshInterval = 100 * bvclock.Millisecond
	refreshShare    = 0.1
)

// totals are the sums over this host's counts and the reports of the other hosts.
type totals struct {
	rows      []Usage
	index     map[uint32]int // of the rows, by workspace
	remainder Usage          // workspaces without a row
	used      float64
	reporting int // other hosts whose reports count
	oldest    bvclock.Time
	builtAt   bvclock.Time
	isBuilt   bool
}

// add adds a usage to its workspace's row, or to the remainder if there are too many rows.
func (totals *totals) add(usage Usage) {
	totals.used += usage.Used
	at, found := totals.index[usage.Workspace]
	switch {
	case found:
		totals.rows[at].Asked += usage.Asked
		totals.rows[at].Used += usage.Used
	case usage.Workspace == Remainder || len(totals.rows) >= maxWorkspaces:
		totals.remainder.Asked += usage.Asked
		totals.remainder.Used += usage.Used
	default:
		if totals.index == nil {
			totals.index = make(map[uint32]int)
		}
		totals.index[usage.Workspace] = len(totals.rows)
		totals.rows = append(totals.rows, usage)
	}
}

// usage returns the sum of a workspace; zero if it has no row.
func (totals *totals) usage(workspace uint32) Usage {
	if at, found := totals.index[workspace]; found {
		return totals.rows[at]
	}
	return Usage{Workspace: workspace}
}

// age returns the age of the oldest report.
func (totals *totals) age(now bvclock.Time) bvclock.Duration {
	if totals.reporting == 0 {
		return 0
	}
	return now.Sub(totals.oldest)
}

// refresh adds up all counts again if the sums are too old. In between, the sums contain the
// work that this host records.
func (shares *Shares) refresh(now bvclock.Time) {
	since := now.Sub(shares.totals.builtAt)
	interval := max(refreshInterval, bvclock.Duration(refreshShare*float64(shares.lag)))
	if shares.totals.isBuilt && since >= 0 && since < interval {
		return
	}
	shares.dropOldReports(now)
	rebuilt := totals{builtAt: now, isBuilt: true, oldest: now, reporting: len(shares.peers)}
	reports := sortedByKey(shares.peers)
	for rank := range maxReported + 1 { // the largest of all hosts first, as the rows are limited
		for _, report := range reports {
			if rank < len(report.usages) {
				rebuilt.add(report.usages[rank])
			}
		}
	}
	for _, report := range reports {
		rebuilt.oldest = min(rebuilt.oldest, report.receivedAt)
	}
	for _, account := range sortedByKey(shares.own) {
		rebuilt.add(account.at(now).usage())
	}
	shares.totals = rebuilt
}

// sortedByKey returns a map's values in the order of their keys: a sum of rates depends on
// the order, and decisions on the same events must be the same.
func sortedByKey[Key cmp.Ordered, Value any](values map[Key]Value) []Value {
	sorted := make([]Value, 0, len(values))
	for _, key := range slices.Sorted(maps.Keys(values)) {
		sorted = append(sorted, values[key])
	}
	return sorted
}
