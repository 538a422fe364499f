package bvstream

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"balsamvalve.example/bvclock"
)

// maxStarts bounds the starts in memory, to those of some minutes on a busy host. The least
// recently used one is evicted; its stream can then go on only while there is a single origin.
const maxStarts = 32 << 10

// Table holds the starts that a host knows. The zero value is empty.
type Table struct {
	rows *simplelru.LRU[Key, *row]
	// evicted counts starts that were evicted before they expired.
	evicted int64
}

// row is a start.
type row struct {
	start     Start
	recorded  bvclock.Time
	expires   bvclock.Time
	ambiguous bool // several starts of the attempt are known, and they differ
}

// Add records a start until it expires. A start that differs from an earlier one of the same
// attempt makes both ambiguous. It returns the resulting state.
func (table *Table) Add(now bvclock.Time, start Start, retain bvclock.Duration) State {
	if table.rows == nil {
		table.rows, _ = simplelru.NewLRU[Key, *row](maxStarts, nil) // the size is valid
	}
	table.dropExpired(now)
	found, isFound := table.rows.Get(start.Key)
	if !isFound {
		found = &row{start: start, recorded: now}
		if table.rows.Add(start.Key, found) {
			table.evicted++
		}
	}
	found.expires = max(found.expires, now.Add(retain))
	found.ambiguous = found.ambiguous || !found.start.isSame(&start)
	return found.state()
}

// dropExpired removes expired starts from the least recently used one on.
func (table *Table) dropExpired(now bvclock.Time) {
	for {
		key, oldest, found := table.rows.GetOldest()
		if !found || now.Before(oldest.expires) {
			return
		}
		table.rows.Remove(key)
	}
}

// Find returns what is known of an attempt's start. A start of other content is none: the caller
// names an attempt that is not its own.
func (table *Table) Find(now bvclock.Time, key Key, content uint64) Finding {
	if table.rows == nil {
		return Finding{}
	}
	found, isFound := table.rows.Get(key)
	if !isFound || !now.Before(found.expires) {
		return Finding{}
	}
	if !found.ambiguous && found.start.Content != content {
		return Finding{}
	}
	return Finding{State: found.state(), Start: found.start, Age: now.Sub(found.recorded)}
}

// Len returns how many starts there are.
func (table *Table) Len() int {
	if table.rows == nil {
		return 0
	}
	return table.rows.Len()
}

func (row *row) state() State {
	if row.ambiguous {
		return Ambiguous
	}
	return Known
}
