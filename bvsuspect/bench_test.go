package bvsuspect

import (
	"testing"

	"balsamvalve.example/bvclock"
)

func BenchmarkCrashOfManyEndpoints(b *testing.B) {
	var table Table
	for number := range uint64(maxSuspects) {
		table.RecordCrash(10, Crash{request(number), number}, false)
	}
	b.Run("one more crash", func(b *testing.B) {
		for i := range b.N {
			table.RecordCrash(20, Crash{request(uint64(10_000 + i)), 7}, false)
		}
	})
	b.Run("answer", func(b *testing.B) {
		for i := range b.N {
			table.RecordAnswer(20, request(uint64(i%1000)))
		}
	})
	b.Run("reports", func(b *testing.B) {
		for range b.N {
			table.Reports(20)
		}
	})
	b.Run("decision", func(b *testing.B) {
		for i := range b.N {
			table.Decide(20, request(uint64(i%1000)))
		}
	})
}

// crashOfSixteen records a crash of an endpoint that ran sixteen calls, each with fourteen features of its own.
func crashOfSixteen(table *Table, now bvclock.Time, endpoint uint64) {
	for call := range uint64(16) {
		content := contentWith(endpoint<<16+call, 7)
		for part := range uint64(14) {
			content.Shared = append(content.Shared, newShared(Part, endpoint<<16+call<<8+part+1<<40))
		}
		table.RecordBrokenCall(now, content, endpoint, false)
	}
	table.RecordEndpointLoss(now, endpoint, Refused)
}

func BenchmarkCrashOfSixteenCallsWhenFull(b *testing.B) {
	var table Table
	now := bvclock.Time(10)
	for endpoint := range uint64(20) {
		crashOfSixteen(&table, now, 1+endpoint)
	}
	b.Run("crash", func(b *testing.B) {
		for i := range b.N {
			now++
			crashOfSixteen(&table, now, uint64(100+i))
		}
	})
	b.Run("unsaved", func(b *testing.B) {
		for range b.N {
			table.unsaved = true
			table.Unsaved(now, maxSavedRows)
		}
	})
	b.Run("restricted", func(b *testing.B) {
		for range b.N {
			table.RestrictedCount(now)
		}
	})
}
