package bvsuspect

import "testing"

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
