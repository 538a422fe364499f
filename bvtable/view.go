package bvtable

// View returns the rows that a member's operators may see: their own whole,
// and of the others only the member's row with its share, which all need to
// agree on. Rivals' classes, limits, budgets and models tell of their
// business and stay hidden.
func (table *Table) View(member string) []Row {
	var rows []Row
	for _, row := range table.rows {
		switch {
		case row.Member == member:
			rows = append(rows, *row)
		case row.Class == "":
			rows = append(rows, Row{Member: row.Member, Share: row.Share})
		}
	}
	return rows
}

// VisibleTo returns the change as a member's operators may see it, and
// whether they may see it at all: of rivals' edits only those of shares and of
// membership.
func (change Change) VisibleTo(member string) (Change, bool) {
	own := change.Actor.Member == member
	if !own {
		change.Attempt = ""
	}
	cells := change.Cells
	change.Cells = nil
	for _, cell := range cells {
		if cell.Member == member || cell.Class == "" && (cell.Column == Share || cell.Column == Presence) {
			change.Cells = append(change.Cells, cell)
		}
	}
	return change, own || change.Proposal != "" || len(change.Cells) > 0
}
