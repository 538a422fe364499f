package bvtable

import (
	"fmt"
	"slices"

	"balsamvalve.example/bvkey"
	"balsamvalve.example/bvverdict"
)

// CellEdit asks for a new text of a cell.
type CellEdit struct {
	Member string  `json:"member"`
	Class  string  `json:"class,omitempty"`
	Column Column  `json:"column"`
	Old    *string `json:"old,omitempty"` // expected text; nil: what the cell holds when the edit arrives
	New    string  `json:"new"`
}

// Row returns the name of the cell's row.
func (edit CellEdit) Row() RowName {
	return RowName{Member: edit.Member, Class: edit.Class}
}

// Edit asks for new texts of cells, all or none.
type Edit struct {
	Attempt string     `json:"attempt,omitempty"` // the operator's own, unique; tells a lost answer apart
	Cells   []CellEdit `json:"cells"`
}

// CellConflictError says that a cell no longer holds what the operator
// expected, because somebody else changed it.
type CellConflictError struct {
	Row      string `json:"row"`
	Cell     string `json:"cell"`
	Expected string `json:"expected"`
	Found    string `json:"found"`
}

// Error implements error.
func (err *CellConflictError) Error() string {
	return fmt.Sprintf("row %s, cell %s: expected %q, but it holds %q", err.Row, err.Cell, err.Expected, err.Found)
}

func conflict(name RowName, column Column, expected, found string) error {
	cause := &CellConflictError{Row: name.String(), Cell: column.String(), Expected: expected, Found: found}
	return bvverdict.Refuse(bvverdict.Conflict, "somebody else changed the table; nothing was changed").WithCause(cause)
}

func invalid(cause error) error {
	return bvverdict.Refuse(bvverdict.Invalid, "nothing was changed").WithCause(cause)
}

func invalidCell(name RowName, column Column, reason string, args ...any) error {
	problem := Problem{Row: name.String(), Cell: column.String(), Reason: fmt.Sprintf(reason, args...)}
	return invalid(&InvalidError{Problems: []Problem{problem}})
}

func forbidden(name RowName, column Column, reason string, args ...any) error {
	return bvverdict.Refuse(bvverdict.Forbidden, "row %s, cell %s: %s", name, column, fmt.Sprintf(reason, args...))
}

// editPlan turns an edit into cells, against each table that the edit meets
// on its way: after a lost race it is planned again on the newer one.
//
// What the edit expects is fixed by the first table, so that a race for
// different cells merges and one for the same cell conflicts.
type editPlan struct {
	actor Actor
	edit  Edit
	first *Table
}

func (plan *editPlan) cells(table *Table) ([]Cell, error) {
	if plan.first == nil {
		plan.first = table
	}
	if err := checkDistinct(plan.edit.Cells); err != nil {
		return nil, err
	}
	var cells []Cell
	for _, edit := range plan.edit.Cells {
		if err := plan.authorize(table, edit); err != nil {
			return nil, err
		}
		cell, err := plan.cell(table, edit)
		if err != nil {
			return nil, err
		}
		if cell.Old != cell.New {
			cells = append(cells, cell)
		}
	}
	return plan.complete(table, cells)
}

// checkDistinct refuses an edit whose result would depend on the order of its
// cells.
func checkDistinct(edits []CellEdit) error {
	type cell struct {
		name   RowName
		column Column
	}
	seen := make(map[cell]bool, len(edits))
	rows := make(map[RowName]int, len(edits))
	for _, edit := range edits {
		key := cell{edit.Row(), edit.Column}
		if seen[key] {
			return invalidCell(edit.Row(), edit.Column, "stands twice in the edit")
		}
		seen[key] = true
		rows[edit.Row()]++
	}
	for _, edit := range edits {
		if edit.Column == Presence && edit.New == Absent && rows[edit.Row()] > 1 {
			return invalidCell(edit.Row(), edit.Column, "the edit removes the row and sets cells of it")
		}
	}
	return nil
}

// authorize keeps operators to their own rows, and everybody off what shifts
// work between members.
func (plan *editPlan) authorize(table *Table, edit CellEdit) error {
	if plan.actor.Role == bvkey.Admin && table.Len() == 0 {
		return nil
	}
	if plan.actor.Role != bvkey.Operator {
		return forbidden(edit.Row(), edit.Column, "a key of role %s edits no rows", plan.actor.Role)
	}
	if edit.Member != plan.actor.Member {
		return forbidden(edit.Row(), edit.Column, "operators of %s edit only their own rows", plan.actor.Member)
	}
	if edit.Column == Share && edit.Class == "" {
		return forbidden(edit.Row(), edit.Column, "a share changes only by a proposal that every other member accepts")
	}
	if edit.Column == Presence && edit.Class == "" {
		return forbidden(edit.Row(), edit.Column, "a member joins and leaves only by a proposal of shares")
	}
	return nil
}

func (plan *editPlan) cell(table *Table, edit CellEdit) (Cell, error) {
	name := edit.Row()
	text, err := canonical(edit.Column, edit.New)
	if err != nil {
		return Cell{}, invalidCell(name, edit.Column, "%v", err)
	}
	found := table.CellText(name, edit.Column)
	expected := plan.first.CellText(name, edit.Column)
	if edit.Old != nil {
		if expected, err = canonical(edit.Column, *edit.Old); err != nil {
			return Cell{}, invalidCell(name, edit.Column, "expected text: %v", err)
		}
	}
	if found != expected {
		return Cell{}, conflict(name, edit.Column, expected, found)
	}
	return Cell{Member: edit.Member, Class: edit.Class, Column: edit.Column, Old: found, New: text}, nil
}

// canonical returns the text that Row.Cell gives for the same value.
func canonical(column Column, text string) (string, error) {
	if column == Presence {
		if text != Present && text != Absent {
			return "", fmt.Errorf("%q is neither %s nor %s", text, Present, Absent)
		}
		return text, nil
	}
	row := &Row{}
	err := row.SetCell(column, text)
	return row.Cell(column), err
}

// complete adds what follows from the cells: the presence of a new row, and
// the cells of a row that goes, so that the history tells what it held.
func (plan *editPlan) complete(table *Table, cells []Cell) ([]Cell, error) {
	var complete []Cell
	var seen []RowName
	for _, cell := range cells {
		name := cell.Row()
		if cell.Column == Presence && cell.New == Absent {
			if err := plan.checkUnchanged(table, name); err != nil {
				return nil, err
			}
			complete = append(complete, removal(table, name)...)
			continue
		}
		if !slices.Contains(seen, name) {
			seen = append(seen, name)
			presence, err := plan.presence(table, name)
			if err != nil {
				return nil, err
			}
			complete = append(complete, presence...)
		}
		if cell.Column != Presence {
			complete = append(complete, cell)
		}
	}
	return complete, nil
}

// presence returns the cell that makes a row, if it isn't there. A row that
// somebody removed while this edit was under way must not come back with one
// cell of it.
func (plan *editPlan) presence(table *Table, name RowName) ([]Cell, error) {
	if _, found := table.ExactRow(name); found {
		return nil, nil
	}
	if _, found := plan.first.ExactRow(name); found {
		return nil, conflict(name, Presence, Present, Absent)
	}
	return []Cell{{Member: name.Member, Class: name.Class, Column: Presence, Old: Absent, New: Present}}, nil
}

// checkUnchanged keeps a removal from taking along an edit that was accepted
// after the remover looked at the row.
func (plan *editPlan) checkUnchanged(table *Table, name RowName) error {
	for _, column := range Columns() {
		expected, found := plan.first.CellText(name, column), table.CellText(name, column)
		if expected != found {
			return conflict(name, column, expected, found)
		}
	}
	return nil
}

// removal returns the cells that remove a row.
func removal(table *Table, name RowName) []Cell {
	empty := &Row{}
	var cells []Cell
	for _, column := range Columns() {
		old := table.CellText(name, column)
		if old != empty.Cell(column) {
			cells = append(cells, Cell{Member: name.Member, Class: name.Class, Column: column, Old: old, New: empty.Cell(column)})
		}
	}
	return append(cells, Cell{Member: name.Member, Class: name.Class, Column: Presence, Old: Present, New: Absent})
}
