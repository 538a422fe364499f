package bvtable

// View returns the rows that a member's operators may see: all of their own, and for each
// other member its row with the share only, since all members must agree on the shares. Other
// members' classes, limits, budgets and models reveal their business and are hidden.
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

// VisibleTo returns the part of a change that a member's operators may see, and whether they
// may see the change at all. Of other members' edits, only changes of shares and of
// membership are visible.
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
