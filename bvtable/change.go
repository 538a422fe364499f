package bvtable

import (
	"time"

	"balsamvalve.example/bvkey"
)

// Actor is the key holder that edits the table.
type Actor struct {
	Member string     `json:"member"`
	Role   bvkey.Role `json:"role"`
}

// Cell is the change of one cell from its old to its new text.
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

// Change is the record of one version of the table: the changed cells, the actor and the
// time. It is written in the transaction that creates the version and is immutable.
type Change struct {
	Version  int64     `json:"version"`
	Actor    Actor     `json:"actor"`
	At       time.Time `json:"at"`      // wall clock of the host; for display only
	Attempt  string    `json:"attempt"` // id of the operator's edit
	Proposal string    `json:"proposal,omitempty"`
	Note     string    `json:"note,omitempty"`
	Cells    []Cell    `json:"cells,omitempty"`
}
