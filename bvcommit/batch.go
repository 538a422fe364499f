package bvcommit

import (
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvplatform"
	"slices"
)

// fillBatch moves the next batch out of the queue. An entry that shares a row with
// another one in the batch waits for a later batch, since its check is of the version
// that the other one changes.
func (committer *Committer) fillBatch() {
	limit := committer.maxEntries
	if committer.singles > 0 {
		limit = 1
	}
	written := make(map[string]bool)
	size := 0
	var rest []bvledger.Entry
	for _, entry := range committer.queue {
		size += sizeOf(entry)
		full := len(committer.batch) > 0 && (len(committer.batch) >= limit || size > committer.maxBytes)
		if full || overlaps(entry, written) {
			rest = append(rest, entry)
			markWritten(entry, written)
			continue
		}
		markWritten(entry, written)
		committer.batch = append(committer.batch, entry)
	}
	committer.queue = rest
	committer.singles = max(committer.singles-1, 0)
}

func overlaps(entry bvledger.Entry, written map[string]bool) bool {
	return slices.ContainsFunc(entry.Checks, func(check bvplatform.Check) bool { return written[check.Key] }) ||
		slices.ContainsFunc(entry.Puts, func(put bvplatform.Put) bool { return written[put.Key] })
}

func markWritten(entry bvledger.Entry, written map[string]bool) {
	for _, put := range entry.Puts {
		written[put.Key] = true
	}
}

func sizeOf(entry bvledger.Entry) int {
	size := 0
	for _, put := range entry.Puts {
		size += len(put.Key) + len(put.Value)
	}
	return size
}
