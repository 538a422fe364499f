// Package bvtable implements the operators' table: rows with each member's share, priorities
// and limits, one version counter for all rows, the validation of edits, and the consent that
// a change of shares needs.
//
// The version counter, the rows, and a Change for each version are stored in the platform's
// store. An Editor writes a new version in one conditional transaction. A Follower keeps a
// host's copy of the newest Table.
//
// # Usage
//
//	follower := &bvtable.Follower{Store: store, Peers: peers, Clock: bvclock.Boot()}
//	go follower.Run(ctx, bvclock.Second)
//	table, err := follower.Current() // err: this host must refuse new work
//	row, found := table.Row("piran", "booking")
//
//	editor := &bvtable.Editor{Store: store, Follower: follower, Hosts: hosts, Confirmer: peers}
//	report, err := editor.Set(ctx, actor, bvtable.Edit{Cells: cells})
package bvtable

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Table is the table at one version. It is immutable, so that it can be read without locks.
// The zero value is the empty table of version 0.
type Table struct {
	version int64
	rows    []*Row // ordered by name
}

// NewTable returns a table with copies of the given rows.
func NewTable(version int64, rows []Row) *Table {
	table := &Table{version: version}
	for _, row := range rows {
		table.rows = append(table.rows, &row)
	}
	slices.SortStableFunc(table.rows, func(a, b *Row) int { return a.Name().compare(b.Name()) })
	return table
}

// Version returns the table's version, which increases by one with each change.
func (table *Table) Version() int64 { return table.version }

// Len returns the number of rows.
func (table *Table) Len() int { return len(table.rows) }

// Row returns the row of a class of programs, or the member's own row if the class has none.
// The row's lists must not be changed.
func (table *Table) Row(member, class string) (Row, bool) {
	if row, found := table.ExactRow(RowName{Member: member, Class: class}); found {
		return row, true
	}
	return table.ExactRow(RowName{Member: member})
}

// ExactRow returns the row with exactly the given name.
func (table *Table) ExactRow(name RowName) (Row, bool) {
	i, found := table.find(name)
	if !found {
		return Row{}, false
	}
	return *table.rows[i], true
}

// Rows returns all rows ordered by member and class.
func (table *Table) Rows() []Row {
	rows := make([]Row, len(table.rows))
	for i, row := range table.rows {
		rows[i] = *row
	}
	return rows
}

// MemberShare is a member's part of the engine work, in percent.
type MemberShare struct {
	Member string  `json:"member"`
	Share  float64 `json:"share"`
}

// Shares returns the members and their shares, ordered by member.
func (table *Table) Shares() []MemberShare {
	var shares []MemberShare
	for _, row := range table.rows {
		if row.Class == "" {
			shares = append(shares, MemberShare{Member: row.Member, Share: row.Share})
		}
	}
	return shares
}

// CellText returns the text of a cell. The cells of a missing row are those of a zero row,
// except Presence, which is Absent.
func (table *Table) CellText(name RowName, column Column) string {
	row, found := table.ExactRow(name)
	if !found && column == Presence {
		return Absent
	}
	return row.Cell(column)
}

// With returns the table after a change. Cells are set without regard to their old texts, so
// that changes can be replayed over rows that already contain some of them. Setting a cell of
// a missing row creates the row.
func (table *Table) With(change Change) (*Table, error) {
	next := &Table{version: change.Version, rows: slices.Clone(table.rows)}
	for _, cell := range change.Cells {
		if err := next.set(cell); err != nil {
			return nil, fmt.Errorf("table: version %d: %s, %s: %w", change.Version, cell.Row(), cell.Column, err)
		}
	}
	return next, nil
}

func (table *Table) find(name RowName) (int, bool) {
	return slices.BinarySearchFunc(table.rows, name, func(row *Row, name RowName) int {
		return row.Name().compare(name)
	})
}

func (table *Table) set(cell Cell) error {
	i, found := table.find(cell.Row())
	if cell.Column == Presence && cell.New == Absent {
		if found {
			table.rows = slices.Delete(table.rows, i, i+1)
		}
		return nil
	}
	row := &Row{Member: cell.Member, Class: cell.Class}
	if found {
		*row = *table.rows[i]
	} else {
		table.rows = slices.Insert(table.rows, i, row)
	}
	table.rows[i] = row
	if cell.Column == Presence {
		return nil
	}
	return row.SetCell(cell.Column, cell.New)
}

// Encode serializes the table for another host.
func (table *Table) Encode() ([]byte, error) {
	content, err := json.Marshal(struct {
		Version int64  `json:"version"`
		Rows    []*Row `json:"rows"`
	}{table.version, table.rows})
	if err != nil {
		return nil, fmt.Errorf("table: encode: %w", err)
	}
	return content, nil
}

// Decode parses the output of Encode.
func Decode(content []byte) (*Table, error) {
	var body struct {
		Version int64 `json:"version"`
		Rows    []Row `json:"rows"`
	}
	if err := json.Unmarshal(content, &body); err != nil {
		return nil, fmt.Errorf("table: decode: %w", err)
	}
	return NewTable(body.Version, body.Rows), nil
}
