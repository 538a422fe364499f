package bvexperiment_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvcommit"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvhost"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvplatform"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// The benchmarks of this file measure the slopes in docs/CAPACITY.md.

func withSizes(b *testing.B, name string, sizes []int, run func(b *testing.B, size int)) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%s=%d", name, size), func(b *testing.B) { run(b, size) })
	}
}

// heapGrowth returns the bytes of heap that the result of build occupies.
func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	held := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(held)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkCapacityCandidates measures the cost of finding an owner or a deciding
// host.
func BenchmarkCapacityCandidates(b *testing.B) {
	withSizes(b, "hosts", []int{13, 100, 730}, func(b *testing.B, size int) {
		hosts := make([]bvplatform.Host, size)
		for at := range hosts {
			hosts[at] = bvplatform.Host{Name: fmt.Sprintf("host-%d", at), State: bvplatform.HostLive}
		}
		view := &bvhost.View{}
		view.SetSelf(hosts[0])
		view.Update(1, hosts)
		b.ReportAllocs()
		for b.Loop() {
			view.Candidates(1, "program/piran/p1")
		}
	})
}

const programsPerEngine = 33 // 140,000 programs on 4,200 engines

// BenchmarkCapacityPoolMemory measures the heap of a pool of paused programs.
func BenchmarkCapacityPoolMemory(b *testing.B) {
	withSizes(b, "engines", []int{19, 76, 304}, func(b *testing.B, size int) {
		programs := size * programsPerEngine
		bytes := 0.0
		for b.Loop() {
			bytes = heapGrowth(func() any { return filledPool(b, size, programs) })
		}
		b.ReportMetric(bytes, "heap-B")
		b.ReportMetric(bytes/float64(programs), "B/program")
	})
}

func filledPool(b *testing.B, engines, programs int) *bvgate.Pool {
	pool := &bvgate.Pool{}
	pool.SetMembers([]bvgate.MemberShare{{Member: "piran", Weight: 1}})
	for at := range engines {
		pool.UpdateEndpoint(1, bvgate.EndpointReport{Name: fmt.Sprintf("engine-%d", at), Slots: 64, CacheTokens: 1_000_000})
	}
	for at := range programs {
		id := bvgate.RequestID(at + 1)
		pool.Submit(1, bvgate.Request{
			ID: id, Member: "piran", Program: fmt.Sprintf("p-%d", at),
			PromptTokens: 2000, OutputTokens: 100, Fingerprint: uint64(id),
		})
		if len(pool.Tick(1)) != 1 {
			b.Fatal("not granted")
		}
		pool.MarkUsed(1, id)
		pool.Finish(1, bvgate.Finish{ID: id, PromptTokens: 2000, OutputTokens: 100, Pause: bvclock.Second})
	}
	return pool
}

// ledgerDriver runs a ledger with a store that commits every entry immediately.
type ledgerDriver struct {
	ledger  *bvledger.Ledger
	version int64
	lastID  bvledger.CallID
	written int
	writes  int
}

func newLedgerDriver() *ledgerDriver {
	return &ledgerDriver{ledger: bvledger.New("host-1/1")}
}

// turn runs one call of a program and reports whether it was answered.
func (driver *ledgerDriver) turn(now bvclock.Time, program string, turn int, message []byte) bool {
	driver.lastID++
	driver.ledger.Submit(now, bvledger.Call{
		ID: driver.lastID, Key: bvledger.ProgramKey{Member: "piran", Program: program},
		Request: fmt.Sprintf("r-%d", turn), Turn: turn, Digest: "d", Messages: message, Cost: 100,
	})
	answered := false
	for effects := driver.ledger.Tick(now); len(effects) > 0; effects = driver.ledger.Tick(now) {
		for _, effect := range effects {
			answered = driver.handleEffect(now, effect, message) || answered
		}
	}
	return answered
}

func (driver *ledgerDriver) handleEffect(now bvclock.Time, effect bvledger.Effect, message []byte) bool {
	switch effect := effect.(type) {
	case bvledger.Load:
		rows := make([]bvplatform.Row, len(effect.Keys))
		for at, key := range effect.Keys {
			rows[at].Key = key
		}
		driver.ledger.HandleRows(now, effect.Key, rows, nil)
	case bvledger.Commit:
		driver.version++
		driver.writes++
		for _, put := range effect.Entry.Puts {
			driver.written += len(put.Key) + len(put.Value)
		}
		driver.ledger.HandleCommit(now, effect.Entry.ID, driver.version, nil)
	case bvledger.Start:
		driver.ledger.MayStart(now, effect.Call)
		driver.ledger.Finish(now, effect.Call, bvledger.Result{
			Answer: message, Message: message, Spent: 100, Endpoint: "engine-1",
		})
	case bvledger.Answer:
		return true
	}
	return false
}

// message returns a JSON array with one message of about the given size.
func message(size int) []byte {
	return []byte(fmt.Sprintf(`[{"role":"user","content":"%s"}]`, bytes.Repeat([]byte("a"), size)))
}

// BenchmarkCapacityLedgerTurn measures the cost of one more turn of a program with a
// history of turns of 2,000 bytes, and the bytes and entries that it writes. A turn's
// answer has the same size.
func BenchmarkCapacityLedgerTurn(b *testing.B) {
	withSizes(b, "turns", []int{10, 65, 260}, func(b *testing.B, size int) {
		driver := newLedgerDriver()
		content := message(2000)
		next := 1
		for ; next <= size; next++ {
			require.True(b, driver.turn(1, "p", next, content))
		}
		driver.written, driver.writes = 0, 0
		turns := 0
		b.ReportAllocs()
		for b.Loop() {
			if turns == size {
				// Start a new program, so that its size stays near the one measured.
				b.StopTimer()
				driver = newLedgerDriver()
				for next = 1; next <= size; next++ {
					driver.turn(1, "p", next, content)
				}
				driver.written, driver.writes, turns = 0, 0, 0
				b.StartTimer()
			}
			driver.turn(1, "p", next, content)
			next++
			turns++
		}
		b.ReportMetric(float64(driver.written)/float64(max(turns, 1)), "written-B/turn")
		b.ReportMetric(float64(driver.writes)/float64(max(turns, 1)), "entries/turn")
	})
}

// BenchmarkCapacityLedgerMemory measures the heap of a ledger for its programs: 192
// programs are a daemon's share of 140,000.
func BenchmarkCapacityLedgerMemory(b *testing.B) {
	const programs = 192
	content := message(2000)
	withSizes(b, "turns", []int{4, 16, 64}, func(b *testing.B, size int) {
		held := 0.0
		for b.Loop() {
			held = heapGrowth(func() any {
				driver := newLedgerDriver()
				for program := range programs {
					for turn := 1; turn <= size; turn++ {
						if !driver.turn(1, fmt.Sprintf("p-%d", program), turn, content) {
							b.Fatal("not answered")
						}
					}
				}
				return driver
			})
		}
		b.ReportMetric(held/programs, "B/program")
	})
}

// BenchmarkCapacityCommit measures a group commit of entries of 2,000 bytes to a
// store without latency.
func BenchmarkCapacityCommit(b *testing.B) {
	withSizes(b, "entries", []int{16, 64, 256}, func(b *testing.B, size int) {
		committer := bvcommit.New("host-1", "1")
		store := &bvplatform.Memory{}
		versions := make([]int64, size)
		value := make([]byte, 2000)
		id, now := bvledger.EntryID(0), bvclock.Time(0)
		b.ReportAllocs()
		for b.Loop() {
			for at := range versions {
				id++
				key := fmt.Sprintf("program/piran/p%d", at)
				committer.Add(bvledger.Entry{
					ID:     id,
					Checks: []bvplatform.Check{{Key: key, Version: versions[at]}},
					Puts:   []bvplatform.Put{{Key: key, Value: value}},
				})
			}
			now++
			done := 0
			for effects := committer.Tick(now); len(effects) > 0; effects = committer.Tick(now) {
				for _, effect := range effects {
					switch effect := effect.(type) {
					case bvcommit.Write:
						version, err := store.Commit(context.Background(), effect.Transaction)
						committer.HandleWrite(now, version, err)
					case bvcommit.Done:
						require.NoError(b, effect.Err)
						versions[done] = effect.Version
						done++
					}
				}
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size), "ns/entry")
	})
}

// BenchmarkCapacityLists measures the size of the platform's lists as JSON.
func BenchmarkCapacityLists(b *testing.B) {
	withSizes(b, "hosts", []int{13, 100, 730}, func(b *testing.B, size int) {
		list := make([]bvplatform.Host, size)
		for at := range list {
			list[at] = bvplatform.Host{
				Name: fmt.Sprintf("host-zone-07-%04d", at), PeerAddress: "10.117.42.17:7000", Zone: "zone-07",
				Incarnation: "0198f7c2-7e0a-7d1c-9f55-3a1d6c0b1f42", State: bvplatform.HostLive,
			}
		}
		reportJSON(b, list)
	})
	withSizes(b, "endpoints", []int{12, 400, 4200}, func(b *testing.B, size int) {
		list := make([]bvplatform.Endpoint, size)
		for at := range list {
			list[at] = bvplatform.Endpoint{
				Name: fmt.Sprintf("engine-zone-07-%04d", at), Serves: "model-1", Address: "10.117.42.17:8000", Zone: "zone-07",
				Incarnation: "0198f7c2-7e0a-7d1c-9f55-3a1d6c0b1f42", Slots: 64, CacheTokens: 1_000_000,
			}
		}
		reportJSON(b, list)
	})
}

func reportJSON(b *testing.B, list any) {
	size := 0
	for b.Loop() {
		content, err := json.Marshal(list)
		require.NoError(b, err)
		size = len(content)
	}
	b.ReportMetric(float64(size), "B/list")
}

// BenchmarkCapacityPermitBytes measures the payload of a permit between owner and
// deciding host, without the frames of gRPC and TCP.
func BenchmarkCapacityPermitBytes(b *testing.B) {
	size := 0
	for b.Loop() {
		size = permitBytes()
	}
	b.ReportMetric(float64(size), "B/call")
}

func permitBytes() int {
	ask := &bvpeer.PermitAsk{
		Pool: "model-1/zone-07/shard-3", Member: "piran", Class: "booking",
		Program: "0198f7c2-7e0a-7d1c-9f55-3a1d6c0b1f42", Priority: 1, Attained: 12345, PromptTokens: 40_000,
		OutputTokens: 300, HistoryFrom: "engine-zone-07-0042", HistoryHeld: 39_000, Fingerprint: 1 << 60, DeadlineMs: 30_000,
	}
	events := []proto.Message{
		&bvpeer.PermitEvent{Event: &bvpeer.PermitEvent_Ask{Ask: ask}},
		&bvpeer.PermitDecision{Decision: &bvpeer.PermitDecision_Grant{Grant: &bvpeer.PermitGrant{
			Endpoint: "engine-zone-07-0042", Address: "10.117.42.17:8000", LapseMs: 2000,
		}}},
		&bvpeer.PermitEvent{Event: &bvpeer.PermitEvent_Used{Used: &bvpeer.PermitUsed{}}},
		&bvpeer.PermitEvent{Event: &bvpeer.PermitEvent_Finish{Finish: &bvpeer.PermitFinish{
			PromptTokens: 40_000, CachedTokens: 39_000, OutputTokens: 300, PauseMs: 500,
		}}},
	}
	total := 0
	for _, event := range events {
		total += proto.Size(event)
	}
	return total
}

func TestCapacityPermitIsSmall(t *testing.T) {
	require.Less(t, permitBytes(), 400)
}
