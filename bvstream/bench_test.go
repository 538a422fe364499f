package bvstream

import (
	"encoding/binary"
	"runtime"
	"testing"

	"balsamvalve.example/bvclock"
)

func numberedBegin(number int) Begin {
	begin := Begin{Content: uint64(number), Origin: atV1, Endpoint: "i-0123456789", Host: "abcd12.example"}
	binary.LittleEndian.PutUint64(begin.Key[:], uint64(number))
	return begin
}

func BenchmarkAdd(b *testing.B) {
	var table Table
	for number := range b.N {
		table.Add(bvclock.Time(number/10), numberedBegin(number), minRetention)
	}
}

func BenchmarkFind(b *testing.B) {
	var table Table
	for number := range maxBegins {
		table.Add(1, numberedBegin(number), minRetention)
	}
	for number := range b.N {
		begin := numberedBegin(number % maxBegins)
		table.Find(1, begin.Key, begin.Content)
	}
}

func BenchmarkNewKey(b *testing.B) {
	for range b.N {
		_, _ = NewKey("workspace", "9c41d07be2a35f68")
	}
}

// BenchmarkFullTable reports the memory of a begin in a full table.
func BenchmarkFullTable(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var table Table
	for number := range maxBegins {
		table.Add(1, numberedBegin(number), minRetention)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxBegins, "bytes/begin")
	runtime.KeepAlive(&table)
}
