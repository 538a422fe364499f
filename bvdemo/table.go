package bvdemo

import (
	"context"
	"fmt"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvkey"
	"balsamvalve.example/bvload"
	"balsamvalve.example/bvtable"
)

// writeTable gives both members equal shares and each class its own row.
func (system *system) writeTable(ctx context.Context) error {
	store := system.client()
	follower := &bvtable.Follower{Store: store, Clock: bvclock.Boot()}
	editor := &bvtable.Editor{Store: store, Follower: follower}
	edit := bvtable.Edit{Cells: cells()}
	if _, err := editor.Set(ctx, bvtable.Actor{Role: bvkey.Admin}, edit); err != nil {
		return fmt.Errorf("demo: table: %w", err)
	}
	return nil
}

func cells() []bvtable.CellEdit {
	return []bvtable.CellEdit{
		cell(bvload.Piran, "", bvtable.Presence, bvtable.Present),
		cell(bvload.Piran, "", bvtable.Share, "50"),
		cell(bvload.Piran, bvload.ClassBooking, bvtable.Presence, bvtable.Present),
		cell(bvload.Piran, bvload.ClassBooking, bvtable.Turns, "100"),
		cell(bvload.Brindley, "", bvtable.Presence, bvtable.Present),
		cell(bvload.Brindley, "", bvtable.Share, "50"),
		cell(bvload.Brindley, bvload.ClassQuoting, bvtable.Presence, bvtable.Present),
		cell(bvload.Brindley, bvload.ClassQuoting, bvtable.Budget, "200000"),
		cell(bvload.Brindley, bvload.ClassAssistant, bvtable.Presence, bvtable.Present),
		cell(bvload.Brindley, bvload.ClassAssistant, bvtable.Priority, "1"),
	}
}

func cell(member, class string, column bvtable.Column, text string) bvtable.CellEdit {
	return bvtable.CellEdit{Member: member, Class: class, Column: column, New: text}
}
