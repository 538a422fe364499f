package bvstandin

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// defaultRetention is the maximum lag of a list that doesn't set its own.
const defaultRetention = 2 * time.Minute

// announcement is one update of an entry of a list.
type announcement[T any] struct {
	at      time.Time
	value   T
	ttl     time.Duration // 0: doesn't expire
	removed bool
}

// laggedList is a list that can be read in a past state. The zero value is an empty list.
// It is safe for concurrent use.
type laggedList[T any] struct {
	retention time.Duration // maximum lag; 0: defaultRetention
	mutex     sync.Mutex
	entries   map[string][]announcement[T]
}

func (laggedList *laggedList[T]) put(name string, value T, ttl time.Duration) {
	laggedList.add(name, announcement[T]{at: time.Now(), value: value, ttl: ttl})
}

func (laggedList *laggedList[T]) remove(name string) {
	laggedList.add(name, announcement[T]{at: time.Now(), removed: true})
}

func (laggedList *laggedList[T]) add(name string, added announcement[T]) {
	laggedList.mutex.Lock()
	defer laggedList.mutex.Unlock()
	if laggedList.entries == nil {
		laggedList.entries = make(map[string][]announcement[T])
	}
	recent := laggedList.entries[name]
	retention := cmp.Or(laggedList.retention, defaultRetention)
	for len(recent) > 1 && added.at.Sub(recent[1].at) > retention {
		recent = recent[1:]
	}
	laggedList.entries[name] = append(recent, added)
}

// list returns the entries that were valid lag ago, sorted by name.
func (laggedList *laggedList[T]) list(lag time.Duration) []T {
	laggedList.mutex.Lock()
	defer laggedList.mutex.Unlock()
	moment := time.Now().Add(-lag)
	values := []T{}
	for _, name := range slices.Sorted(maps.Keys(laggedList.entries)) {
		if last, found := latestAt(laggedList.entries[name], moment); found && last.isValidAt(moment) {
			values = append(values, last.value)
		}
	}
	return values
}

func latestAt[T any](announcements []announcement[T], moment time.Time) (announcement[T], bool) {
	for _, announcement := range slices.Backward(announcements) {
		if !announcement.at.After(moment) {
			return announcement, true
		}
	}
	return announcement[T]{}, false
}

func (announcement announcement[T]) isValidAt(moment time.Time) bool {
	if announcement.removed {
		return false
	}
	return announcement.ttl == 0 || moment.Sub(announcement.at) <= announcement.ttl
}
