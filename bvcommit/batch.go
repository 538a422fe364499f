package bvcommit

import (
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvplatform"
	"slices"
)

// gather takes the next batch from the queue. An entry that touches a row of
// another one in the batch waits for the next batch, since its check is of
// the version before.
func (committer *Committer) gather() {
	limit := committer.maxEntries
	if committer.solo > 0 {
		limit = 1
	}
	touched := make(map[string]bool)
	size := 0
	var rest []bvledger.Entry
	for _, entry := range committer.queue {
		size += sizeOf(entry)
		full := len(committer.batch) > 0 && (len(committer.batch) >= limit || size > committer.maxBytes)
		if full || touches(entry, touched) {
			rest = append(rest, entry)
			touch(entry, touched)
			continue
		}
		touch(entry, touched)
		committer.batch = append(committer.batch, entry)
	}
	committer.queue = rest
	committer.solo = max(committer.solo-1, 0)
}

func touches(entry bvledger.Entry, touched map[string]bool) bool {
	return slices.ContainsFunc(entry.Checks, func(check bvplatform.Check) bool { return touched[check.Key] }) ||
		slices.ContainsFunc(entry.Puts, func(put bvplatform.Put) bool { return touched[put.Key] })
}

func touch(entry bvledger.Entry, touched map[string]bool) {
	for _, put := range entry.Puts {
		touched[put.Key] = true
	}
}

func sizeOf(entry bvledger.Entry) int {
	size := 0
	for _, put := range entry.Puts {
		size += len(put.Key) + len(put.Value)
	}
	return size
}
