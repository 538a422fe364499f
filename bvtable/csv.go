package bvtable

import (
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"balsamvalve.example/bvkey"
	"balsamvalve.example/bvverdict"
)

// Columns that precede the table's columns in the CSV. Each line has the version at which
// it was exported, so that an import changes only the cells that the operator edited after
// the export and doesn't revert other operators' changes.
const (
	csvVersion = "version"
	csvMember  = "member"
	csvClass   = "class"
)

// formulaPrefixes are the characters that make a spreadsheet treat a cell as a formula. A
// minus sign is not among them, because a negative priority begins with it. No other name
// or value of the table begins with such a character.
const formulaPrefixes = "=+@\t\r"

// Export writes the rows that are visible to a member's operators as CSV.
func Export(writer io.Writer, table *Table, member string) error {
	output := csv.NewWriter(writer)
	header := []string{csvVersion, csvMember, csvClass}
	for _, column := range Columns() {
		header = append(header, column.String())
	}
	if err := output.Write(header); err != nil {
		return fmt.Errorf("table: export: %w", err)
	}
	for _, row := range table.View(member) {
		line := []string{strconv.FormatInt(table.version, 10), row.Member, row.Class}
		for _, column := range Columns() {
			text := row.Cell(column)
			if row.Member != member && column != Share {
				text = "" // hidden, not zero
			}
			line = append(line, text)
		}
		if err := output.Write(line); err != nil {
			return fmt.Errorf("table: export: %w", err)
		}
	}
	output.Flush()
	return output.Error()
}

// Import edits all cells in which the CSV differs from its export. The member's own classes
// that are missing from the CSV are removed if remove is set.
func (editor *Editor) Import(ctx context.Context, actor Actor, attempt string, source io.Reader, remove bool) (Report, error) {
	sheet, err := parseSheet(source)
	if err != nil {
		return Report{}, err
	}
	base, err := editor.tableAt(ctx, sheet.version)
	if err != nil {
		return Report{}, err
	}
	edits, err := sheet.edits(actor, base)
	if err != nil {
		return Report{}, err
	}
	if remove {
		edits = append(edits, sheet.missingRowRemovals(actor, base)...)
	}
	return editor.Set(ctx, actor, Edit{Attempt: attempt, Cells: edits})
}

// tableAt reconstructs the table of an earlier version by undoing the later changes.
func (editor *Editor) tableAt(ctx context.Context, version int64) (*Table, error) {
	table, err := editor.Get(ctx)
	if err != nil {
		return nil, err
	}
	if version > table.version {
		return nil, bvverdict.Refuse(bvverdict.BadRequest, "the CSV is of version %d, but the newest is %d", version, table.version)
	}
	changes, err := storage{editor.Store}.changes(ctx, version+1, table.version)
	if err != nil {
		return nil, unavailableError(err)
	}
	if int64(len(changes)) != table.version-version {
		return nil, bvverdict.Refuse(bvverdict.Conflict, "version %d is too old; export again", version)
	}
	for _, change := range slices.Backward(changes) {
		if table, err = table.With(change.inverse()); err != nil {
			return nil, unavailableError(err)
		}
	}
	return table, nil
}

// inverse returns the change that undoes this one.
func (change Change) inverse() Change {
	back := Change{Version: change.Version - 1}
	for _, cell := range slices.Backward(change.Cells) {
		cell.Old, cell.New = cell.New, cell.Old
		back.Cells = append(back.Cells, cell)
	}
	return back
}

// sheet is a parsed CSV.
type sheet struct {
	version int64
	columns []Column
	lines   []sheetLine
}

type sheetLine struct {
	name  RowName
	texts []string // one per column of the sheet
}

func parseSheet(source io.Reader) (*sheet, error) {
	records, err := csv.NewReader(source).ReadAll()
	if err != nil {
		return nil, sheetError("%v", err)
	}
	if len(records) == 0 {
		return nil, sheetError("it is empty")
	}
	header := slices.Clone(records[0])
	header[0] = strings.TrimPrefix(header[0], "\ufeff") // spreadsheets put a byte order mark first
	if len(header) < 3 || header[0] != csvVersion || header[1] != csvMember || header[2] != csvClass {
		return nil, sheetError("the first columns must be %s, %s, %s", csvVersion, csvMember, csvClass)
	}
	sheet := &sheet{version: -1}
	for _, name := range header[3:] {
		column, err := ParseColumn(name)
		if err != nil || column == Presence {
			return nil, sheetError("there is no column %q", name)
		}
		sheet.columns = append(sheet.columns, column)
	}
	for i, record := range records[1:] {
		if err := sheet.addRecord(record); err != nil {
			return nil, sheetError("line %d: %v", i+2, err)
		}
	}
	if sheet.version < 0 {
		return nil, sheetError("no line has a version")
	}
	return sheet, nil
}

func sheetError(reason string, args ...any) error {
	return bvverdict.Refuse(bvverdict.BadRequest, "CSV: %s", fmt.Sprintf(reason, args...))
}

func (sheet *sheet) addRecord(record []string) error {
	for _, text := range record {
		if text != "" && strings.ContainsRune(formulaPrefixes, rune(text[0])) {
			return fmt.Errorf("%q looks like a formula", text)
		}
	}
	if record[0] != "" {
		version, err := strconv.ParseInt(record[0], 10, 64)
		if err != nil || version < 0 {
			return fmt.Errorf("version %q is not a whole number", record[0])
		}
		if sheet.version >= 0 && version != sheet.version {
			return fmt.Errorf("version %d differs from that of an earlier line, %d", version, sheet.version)
		}
		sheet.version = version
	}
	line := sheetLine{name: RowName{Member: strings.TrimSpace(record[1]), Class: strings.TrimSpace(record[2])}, texts: record[3:]}
	if sheet.hasRow(line.name) {
		return fmt.Errorf("row %s stands twice", line.name)
	}
	sheet.lines = append(sheet.lines, line)
	return nil
}

func (sheet *sheet) hasRow(name RowName) bool {
	return slices.ContainsFunc(sheet.lines, func(line sheetLine) bool { return line.name == name })
}

// edits returns an edit for each cell that differs from the base as the actor sees it. An
// operator's export leaves out other members' hidden cells.
func (sheet *sheet) edits(actor Actor, base *Table) ([]CellEdit, error) {
	seen := base
	if actor.Role != bvkey.Admin {
		seen = NewTable(base.version, base.View(actor.Member))
	}
	var edits []CellEdit
	for _, line := range sheet.lines {
		for i, column := range sheet.columns {
			text, err := canonicalText(column, line.texts[i])
			if err != nil {
				return nil, invalidCellError(line.name, column, "%v", err)
			}
			old := seen.CellText(line.name, column)
			if text != old {
				edits = append(edits, CellEdit{Member: line.name.Member, Class: line.name.Class, Column: column, Old: &old, New: text})
			}
		}
		edits = append(edits, line.missingRowAddition(seen)...)
	}
	return edits, nil
}

// missingRowAddition returns the edit that creates a row missing from the base, even if all
// its cells are zero.
func (line sheetLine) missingRowAddition(base *Table) []CellEdit {
	if _, found := base.ExactRow(line.name); found {
		return nil
	}
	old := Absent
	return []CellEdit{{Member: line.name.Member, Class: line.name.Class, Column: Presence, Old: &old, New: Present}}
}

// missingRowRemovals returns edits that remove the actor's classes missing from the sheet.
func (sheet *sheet) missingRowRemovals(actor Actor, base *Table) []CellEdit {
	var edits []CellEdit
	for _, row := range base.rows {
		if row.Member != actor.Member || row.Class == "" || sheet.hasRow(row.Name()) {
			continue
		}
		old := Present
		edits = append(edits, CellEdit{Member: row.Member, Class: row.Class, Column: Presence, Old: &old, New: Absent})
	}
	return edits
}
