package bvtable

import (
	"fmt"
	"slices"

	"balsamvalve.example/bvkey"
	"balsamvalve.example/bvverdict"
)

// CellEdit requests a new text for a cell.
type CellEdit struct {
	Member string  `json:"member"`
	Class  string  `json:"class,omitempty"`
	Column Column  `json:"column"`
	Old    *string `json:"old,omitempty"` // expected text; nil: the cell's text when the edit arrives
	New    string  `json:"new"`
}

// Row returns the name of the cell's row.
func (edit CellEdit) Row() RowName {
	return RowName{Member: edit.Member, Class: edit.Class}
}

// Edit requests new texts for cells; it is applied entirely or not at all.
type Edit struct {
	Attempt string     `json:"attempt,omitempty"` // unique id chosen by the operator; identifies a resent edit
	Cells   []CellEdit `json:"cells"`
}

// CellConflictError reports that a cell no longer holds the text that the operator expected,
// because another edit changed it.
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

func conflictError(name RowName, column Column, expected, found string) error {
	cause := &CellConflictError{Row: name.String(), Cell: column.String(), Expected: expected, Found: found}
	return bvverdict.Refuse(bvverdict.Conflict, "another edit changed the table; nothing was changed").WithCause(cause)
}

func invalidError(cause error) error {
	return bvverdict.Refuse(bvverdict.Invalid, "nothing was changed").WithCause(cause)
}

func invalidCellError(name RowName, column Column, reason string, args ...any) error {
	problem := Problem{Row: name.String(), Cell: column.String(), Reason: fmt.Sprintf(reason, args...)}
	return invalidError(&InvalidError{Problems: []Problem{problem}})
}

func forbiddenError(name RowName, column Column, reason string, args ...any) error {
	return bvverdict.Refuse(bvverdict.Forbidden, "row %s, cell %s: %s", name, column, fmt.Sprintf(reason, args...))
}

// editPlan turns an edit into cells. After a conflicting commit by another edit, the cells
// are computed again from the newer table.
//
// The expected texts come from base, the first table that was read, so that concurrent edits
// of different cells merge and concurrent edits of the same cell conflict.
type editPlan struct {
	actor Actor
	edit  Edit
	base  *Table
}

func (plan *editPlan) cells(table *Table) ([]Cell, error) {
	if plan.base == nil {
		plan.base = table
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
	return plan.addImpliedCells(table, cells)
}

// checkDistinct rejects an edit whose result would depend on the order of its cells.
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
			return invalidCellError(edit.Row(), edit.Column, "stands twice in the edit")
		}
		seen[key] = true
		rows[edit.Row()]++
	}
	for _, edit := range edits {
		if edit.Column == Presence && edit.New == Absent && rows[edit.Row()] > 1 {
			return invalidCellError(edit.Row(), edit.Column, "the edit both removes the row and sets its cells")
		}
	}
	return nil
}

// authorize restricts operators to their own rows, and rejects direct edits of shares and of
// membership, which need the other members' consent.
func (plan *editPlan) authorize(table *Table, edit CellEdit) error {
	if plan.actor.Role == bvkey.Admin && table.Len() == 0 {
		return nil
	}
	if plan.actor.Role != bvkey.Operator {
		return forbiddenError(edit.Row(), edit.Column, "a key of role %s edits no rows", plan.actor.Role)
	}
	if edit.Member != plan.actor.Member {
		return forbiddenError(edit.Row(), edit.Column, "operators of %s edit only their own rows", plan.actor.Member)
	}
	if edit.Column == Share && edit.Class == "" {
		return forbiddenError(edit.Row(), edit.Column, "a share changes only by a proposal that every other member accepts")
	}
	if edit.Column == Presence && edit.Class == "" {
		return forbiddenError(edit.Row(), edit.Column, "a member joins and leaves only by a proposal of shares")
	}
	return nil
}

func (plan *editPlan) cell(table *Table, edit CellEdit) (Cell, error) {
	name := edit.Row()
	text, err := canonicalText(edit.Column, edit.New)
	if err != nil {
		return Cell{}, invalidCellError(name, edit.Column, "%v", err)
	}
	found := table.CellText(name, edit.Column)
	expected := plan.base.CellText(name, edit.Column)
	if edit.Old != nil {
		if expected, err = canonicalText(edit.Column, *edit.Old); err != nil {
			return Cell{}, invalidCellError(name, edit.Column, "expected text: %v", err)
		}
	}
	if found != expected {
		return Cell{}, conflictError(name, edit.Column, expected, found)
	}
	return Cell{Member: edit.Member, Class: edit.Class, Column: edit.Column, Old: found, New: text}, nil
}

// canonicalText returns the text that Row.Cell returns for the same value.
func canonicalText(column Column, text string) (string, error) {
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

// addImpliedCells adds the Presence cell of a new row and all non-zero cells of a removed
// row, so that the history contains the row's last values.
func (plan *editPlan) addImpliedCells(table *Table, cells []Cell) ([]Cell, error) {
	var complete []Cell
	var seen []RowName
	for _, cell := range cells {
		name := cell.Row()
		if cell.Column == Presence && cell.New == Absent {
			if err := plan.checkUnchanged(table, name); err != nil {
				return nil, err
			}
			complete = append(complete, removalCells(table, name)...)
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

// presence returns the cell that creates a row, if the row doesn't exist. It returns a
// conflict if the row was removed while this edit was in flight: otherwise the edit would
// create the row again with only one of its cells.
func (plan *editPlan) presence(table *Table, name RowName) ([]Cell, error) {
	if _, found := table.ExactRow(name); found {
		return nil, nil
	}
	if _, found := plan.base.ExactRow(name); found {
		return nil, conflictError(name, Presence, Present, Absent)
	}
	return []Cell{{Member: name.Member, Class: name.Class, Column: Presence, Old: Absent, New: Present}}, nil
}

// checkUnchanged returns a conflict if the row was edited after the operator who removes it
// read it.
func (plan *editPlan) checkUnchanged(table *Table, name RowName) error {
	for _, column := range Columns() {
		expected, found := plan.base.CellText(name, column), table.CellText(name, column)
		if expected != found {
			return conflictError(name, column, expected, found)
		}
	}
	return nil
}

// removalCells returns the cells that remove a row.
func removalCells(table *Table, name RowName) []Cell {
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
