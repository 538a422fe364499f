package bvtable

import (
	"time"

	"balsamvalve.example/bvkey"
)

// Actor is who edits the table.
type Actor struct {
	Member string     `json:"member"`
	Role   bvkey.Role `json:"role"`
}

// Cell is a cell's change from one text to another.
type Cell struct {
	Member string `json:"member"`
	Class  string `json:"class,omitempty"`
	Column Column `json:"column"`
	Old    string `json:"old"`
	New    string `json:"new"`
}

// Row returns the name of the cell's row.
func (cell Cell) Row() RowName {
	return RowName{Member: cell.Member, Class: cell.Class}
}

// Change is one version of the table: what was changed, by whom and when. It
// is written once, in the transaction that makes the version, and never
// changed.
type Change struct {
	Version  int64     `json:"version"`
	Actor    Actor     `json:"actor"`
	At       time.Time `json:"at"`      // of the host's calendar; to read, never to decide
	Attempt  string    `json:"attempt"` // of the operator's edit
	Proposal string    `json:"proposal,omitempty"`
	Note     string    `json:"note,omitempty"`
	Cells    []Cell    `json:"cells,omitempty"`
}
