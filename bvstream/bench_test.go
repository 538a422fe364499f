package bvstream

import (
	"encoding/binary"
	"runtime"
	"testing"

	"balsamvalve.example/bvclock"
)

func numberedStart(number int) Start {
	start := Start{Content: uint64(number), Origin: atV1, Endpoint: "i-0123456789", HostName: "abcd12.example"}
	binary.LittleEndian.PutUint64(start.Key[:], uint64(number))
	return start
}

func BenchmarkAdd(b *testing.B) {
	var table Table
	for number := range b.N {
		table.Add(bvclock.Time(number/10), numberedStart(number), minRetention)
	}
}

func BenchmarkFind(b *testing.B) {
	var table Table
	for number := range maxStarts {
		table.Add(1, numberedStart(number), minRetention)
	}
	for number := range b.N {
		start := numberedStart(number % maxStarts)
		table.Find(1, start.Key, start.Content)
	}
}

func BenchmarkNewKey(b *testing.B) {
	for range b.N {
		_, _ = NewKey("workspace", "9c41d07be2a35f68")
	}
}

// BenchmarkFullTable reports the memory of a start in a full table.
func BenchmarkFullTable(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var table Table
	for number := range maxStarts {
		table.Add(1, numberedStart(number), minRetention)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxStarts, "bytes/start")
	runtime.KeepAlive(&table)
}
