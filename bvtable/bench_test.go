package bvtable

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"testing"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// largeTable returns a table with a member's own row and classes, rows in total.
func largeTable(rows int) *Table {
	list := []Row{{Member: "piran", Share: 100}}
	for i := 1; i < rows; i++ {
		list = append(list, Row{
			Member: "piran", Class: "class-" + strconv.Itoa(i), Priority: i % 10, Budget: int64(i),
			Idle: 15 * bvclock.Minute, Models: []string{"small", "large"},
		})
	}
	return NewTable(1, list)
}

func runPerTableSize(b *testing.B, run func(b *testing.B, rows int)) {
	for _, rows := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("rows=%d", rows), func(b *testing.B) { run(b, rows) })
	}
}

// BenchmarkApply measures a follower's cost of one change.
func BenchmarkApply(b *testing.B) {
	runPerTableSize(b, func(b *testing.B, rows int) {
		state := &State{}
		state.Install(largeTable(rows))
		b.ReportAllocs()
		for b.Loop() {
			change := budgetChange(state.Version()+1, "17")
			change.Cells[0].Class = "class-7"
			if err := state.Apply([]Change{change}); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkMemory measures the heap memory of a follower's table.
func BenchmarkMemory(b *testing.B) {
	runPerTableSize(b, func(b *testing.B, rows int) {
		var before, after runtime.MemStats
		for b.Loop() {
			runtime.GC()
			runtime.ReadMemStats(&before)
			table := largeTable(rows)
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(table)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
	})
}

// BenchmarkSnapshot measures the snapshot that a host fetches from a peer when it starts in an
// outage.
func BenchmarkSnapshot(b *testing.B) {
	runPerTableSize(b, func(b *testing.B, rows int) {
		table := largeTable(rows)
		size := 0
		for b.Loop() {
			content, err := table.Encode()
			if err != nil {
				b.Fatal(err)
			}
			if _, err := Decode(content); err != nil {
				b.Fatal(err)
			}
			size = len(content)
		}
		b.ReportMetric(float64(size), "snapshot-B")
	})
}

// BenchmarkRow measures the lookup of a call's limits.
func BenchmarkRow(b *testing.B) {
	runPerTableSize(b, func(b *testing.B, rows int) {
		table := largeTable(rows)
		for b.Loop() {
			if _, found := table.Row("piran", "class-77"); !found {
				b.Fatal("absent")
			}
		}
	})
}

// BenchmarkSet measures an edit on the host that serves it, against a store without latency,
// and the number of platform calls per edit.
func BenchmarkSet(b *testing.B) {
	runPerTableSize(b, func(b *testing.B, rows int) {
		memory := &bvplatform.Memory{}
		editor := newEditor(memory)
		editor.Follower.install(largeTable(rows).withVersion(0))
		writesBefore, readsBefore := memory.Counts()
		edits := 0
		for b.Loop() {
			edits++
			edit := set("piran", "class-7", Budget, strconv.Itoa(edits+100))
			if _, err := editor.Set(context.Background(), piran, edit); err != nil {
				b.Fatal(err)
			}
		}
		writes, reads := memory.Counts()
		b.ReportMetric(float64(writes-writesBefore)/float64(edits), "writes/op")
		b.ReportMetric(float64(reads-readsBefore)/float64(edits), "reads/op")
	})
}

// withVersion returns the table with another version number.
func (table *Table) withVersion(version int64) *Table {
	return &Table{version: version, rows: table.rows}
}
