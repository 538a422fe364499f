package bvsuspect

import (
	"cmp"
	"maps"
	"slices"

	"balsamvalve.example/bvclock"
)

// maxUnused is the number of suspects that are ordered for removal at once. A crash adds some hundred
// features, and ordering the whole table for each of them takes 120 ms a crash.
const maxUnused = 256

// unusedSuspect is a suspect that is removed unless it changes before.
type unusedSuspect struct {
	*suspect
	crashCount int
	changedAt  bvclock.Time
}

// isUnchanged reports whether the suspect is still in the table as it was.
func (unused unusedSuspect) isUnchanged(table *Table) bool {
	return table.suspects[unused.request.Exact] == unused.suspect &&
		len(unused.crashes) == unused.crashCount && unused.suspect.changedAt == unused.changedAt
}

// leastUsed returns the suspect to remove for a new one. Nearly all changes are gains of use, so the order
// holds for those that have not changed.
func (table *Table) leastUsed() *suspect {
	for len(table.unused) > 0 {
		last := table.unused[len(table.unused)-1]
		table.unused = table.unused[:len(table.unused)-1]
		if last.isUnchanged(table) {
			return last.suspect
		}
	}
	ordered := slices.SortedFunc(maps.Values(table.suspects), compareUse)
	for _, suspect := range ordered[max(len(ordered)-maxUnused, 0):] {
		table.unused = append(table.unused, unusedSuspect{suspect, len(suspect.crashes), suspect.changedAt})
	}
	return table.leastUsed()
}

// compareUse orders suspects by their use: those with several crashes first, and of these the ones
// that changed last. When many endpoints crash at once, thousands of requests are in flight there.
func compareUse(a, b *suspect) int {
	return cmp.Or(cmp.Compare(min(len(b.crashes), exclusiveCrashes), min(len(a.crashes), exclusiveCrashes)), cmp.Compare(b.changedAt, a.changedAt))
}

// removeExpired removes the suspects whose last crash is too long ago, and of the others the withdrawn crashes
// that no report can add again: a popular part is in flight at nearly every crash.
func (table *Table) removeExpired(now bvclock.Time) {
	for _, suspect := range table.suspects {
		if now.Sub(suspect.latest()) >= crashRetention {
			table.remove(suspect)
			continue
		}
		for endpoint, crash := range suspect.crashes {
			if crash.withdrawn && !crash.saved && now.Sub(crash.at) >= crashRetention {
				delete(suspect.crashes, endpoint)
				table.removeCrashed(endpoint, suspect)
			}
		}
	}
}

func (table *Table) remove(removed *suspect) {
	delete(table.suspects, removed.request.Exact)
	family := slices.DeleteFunc(table.families[removed.request.AnyQuery], func(other *suspect) bool { return other == removed })
	table.families[removed.request.AnyQuery] = family
	if len(family) == 0 {
		delete(table.families, removed.request.AnyQuery)
	}
	for endpoint := range removed.crashes {
		table.removeCrashed(endpoint, removed)
	}
}

func (table *Table) removeCrashed(endpoint uint64, removed *suspect) {
	table.crashed[endpoint] = slices.DeleteFunc(table.crashed[endpoint], func(other *suspect) bool { return other == removed })
	if len(table.crashed[endpoint]) == 0 {
		delete(table.crashed, endpoint)
	}
}
