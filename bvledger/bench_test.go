package bvledger_test

import (
	"fmt"
	"runtime"
	"testing"

	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvplatform"
)

// driver answers a ledger's effects immediately, without a platform.
type driver struct {
	ledger  *bvledger.Ledger
	version int64
	call    bvledger.CallID
	commits int
}

func (driver *driver) run() {
	for {
		effects := driver.ledger.Tick(1)
		if len(effects) == 0 {
			return
		}
		for _, effect := range effects {
			switch effect := effect.(type) {
			case bvledger.Load:
				driver.ledger.HandleRows(1, effect.Key, absentRows(effect.Keys), nil)
			case bvledger.Commit:
				driver.version++
				driver.commits++
				driver.ledger.HandleCommit(1, effect.Entry.ID, driver.version, nil)
			case bvledger.Start:
				driver.ledger.Finish(1, effect.Call, newResult("answer"))
			}
		}
	}
}

func absentRows(keys []string) []bvplatform.Row {
	rows := make([]bvplatform.Row, len(keys))
	for i, key := range keys {
		rows[i].Key = key
	}
	return rows
}

// turn runs one turn of a program, from Submit to Answer.
func (driver *driver) turn(program int) {
	driver.call++
	call := newCall(driver.call, "", 0)
	call.Request = fmt.Sprintf("r%d", driver.call)
	call.Key.Program = fmt.Sprintf("p%d", program)
	call.Limits.Budget = 1 << 40
	driver.ledger.Submit(1, call)
	driver.run()
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// benchTurn measures one turn with a given number of programs, and the memory of a
// program after its first turn.
func benchTurn(b *testing.B, programs int) {
	before := heap()
	driver := &driver{ledger: bvledger.New("a")}
	for program := range programs {
		driver.turn(program)
	}
	stored := float64(heap()-before) / float64(programs)
	driver.commits = 0
	turns := 0
	b.ReportAllocs()
	for b.Loop() {
		driver.turn(turns * 7919 % programs)
		turns++
	}
	b.ReportMetric(stored, "B/program")
	b.ReportMetric(float64(driver.commits)/float64(turns), "entries/turn")
	runtime.KeepAlive(driver)
}

func BenchmarkLedgerTurn1e3(b *testing.B) { benchTurn(b, 1_000) }
func BenchmarkLedgerTurn1e4(b *testing.B) { benchTurn(b, 10_000) }
func BenchmarkLedgerTurn1e5(b *testing.B) { benchTurn(b, 100_000) }
