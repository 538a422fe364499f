package bvledger

import "balsamvalve.example/bvplatform"

// EntryID identifies an entry within one Ledger.
type EntryID uint64

// Entry is one program's part of a group commit.
type Entry struct {
	ID     EntryID
	Checks []bvplatform.Check
	Puts   []bvplatform.Put
}
