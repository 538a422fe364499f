package bvstandin

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// keepAnnouncements is how far back a list can lag by default.
const keepAnnouncements = 2 * time.Minute

// announcement is what a list was told of an entry at one moment.
type announcement[T any] struct {
	at      time.Time
	value   T
	lapse   time.Duration // 0: stays until it is removed
	removed bool
}

// lagged is a list that can be read as it stood some time ago. The zero value
// is empty and ready for use by many goroutines.
type lagged[T any] struct {
	keep    time.Duration // how far back it can lag; 0: keepAnnouncements
	mutex   sync.Mutex
	entries map[string][]announcement[T]
}

func (lagged *lagged[T]) put(name string, value T, lapse time.Duration) {
	lagged.add(name, announcement[T]{at: time.Now(), value: value, lapse: lapse})
}

func (lagged *lagged[T]) remove(name string) {
	lagged.add(name, announcement[T]{at: time.Now(), removed: true})
}

func (lagged *lagged[T]) add(name string, added announcement[T]) {
	lagged.mutex.Lock()
	defer lagged.mutex.Unlock()
	if lagged.entries == nil {
		lagged.entries = make(map[string][]announcement[T])
	}
	kept := lagged.entries[name]
	keep := cmp.Or(lagged.keep, keepAnnouncements)
	for len(kept) > 1 && added.at.Sub(kept[1].at) > keep {
		kept = kept[1:]
	}
	lagged.entries[name] = append(kept, added)
}

// list returns the entries as they stood lag ago, in the order of their names.
func (lagged *lagged[T]) list(lag time.Duration) []T {
	lagged.mutex.Lock()
	defer lagged.mutex.Unlock()
	moment := time.Now().Add(-lag)
	values := []T{}
	for _, name := range slices.Sorted(maps.Keys(lagged.entries)) {
		if last, found := lastBefore(lagged.entries[name], moment); found && last.stands(moment) {
			values = append(values, last.value)
		}
	}
	return values
}

func lastBefore[T any](announcements []announcement[T], moment time.Time) (announcement[T], bool) {
	for _, announcement := range slices.Backward(announcements) {
		if !announcement.at.After(moment) {
			return announcement, true
		}
	}
	return announcement[T]{}, false
}

func (announcement announcement[T]) stands(moment time.Time) bool {
	if announcement.removed {
		return false
	}
	return announcement.lapse == 0 || moment.Sub(announcement.at) <= announcement.lapse
}
