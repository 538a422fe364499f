// Package bvtable is the operators' table: rows with each member's share,
// priorities and limits, one version counter over all of them, the rules that
// an edit must keep, and the consent that a change of shares needs.
//
// # Usage
//
//	table, err := source.Current()
//	row, found := table.Row("piran", "booking")
package bvtable
