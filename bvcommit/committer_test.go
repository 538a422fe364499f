package bvcommit_test

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvcommit"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvplatform"
)

// bench drives one committer against a platform in memory.
type bench struct {
	bvplatform.Memory
	committer *bvcommit.Committer
	now       bvclock.Time
	fault     string // of the next write: "", "lost", "late", "down", "reject"
	sticky    bool   // the fault stays
	ignore    string // checks of this prefix are not made: broken on purpose
	late      []bvplatform.Transaction
	done      map[bvledger.EntryID]bvcommit.Done
	batches   []int // puts of each transaction that was tried, without the marker
}

func newBench() *bench {
	return &bench{
		committer: bvcommit.New("host", "1"),
		done:      make(map[bvledger.EntryID]bvcommit.Done),
	}
}

func (bench *bench) write(transaction bvplatform.Transaction) (int64, error) {
	bench.batches = append(bench.batches, len(transaction.Puts)-1)
	fault := bench.fault
	if !bench.sticky {
		bench.fault = ""
	}
	switch fault {
	case "down":
		return 0, bvplatform.ErrUnavailable
	case "reject":
		if len(transaction.Puts) > 2 || transaction.Puts[1].Key == "poison" {
			return 0, bvplatform.ErrRejected
		}
	case "late":
		bench.late = append(bench.late, transaction)
		return 0, bvplatform.ErrUnknown
	}
	version, err := bench.apply(transaction)
	if fault == "lost" {
		return 0, bvplatform.ErrUnknown
	}
	return version, err
}

func (bench *bench) apply(transaction bvplatform.Transaction) (int64, error) {
	var checks []bvplatform.Check
	for _, check := range transaction.Checks {
		if bench.ignore == "" || !strings.HasPrefix(check.Key, bench.ignore) {
			checks = append(checks, check)
		}
	}
	transaction.Checks = checks
	return bench.Commit(context.Background(), transaction)
}

func (bench *bench) land() {
	for _, transaction := range bench.late {
		_, _ = bench.apply(transaction)
	}
	bench.late = nil
}

// step carries out the effects of one tick.
func (bench *bench) step() bool {
	effects := bench.committer.Tick(bench.now)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case bvcommit.Write:
			version, err := bench.write(effect.Transaction)
			bench.committer.HandleWrite(bench.now, version, err)
		case bvcommit.Read:
			rows, err := bench.Read(context.Background(), effect.Key)
			bench.committer.HandleRead(bench.now, rows[0], err)
		case bvcommit.Done:
			if _, twice := bench.done[effect.Entry]; twice {
				panic("an entry has two outcomes")
			}
			bench.done[effect.Entry] = effect
		}
	}
	return len(effects) > 0
}

func (bench *bench) run() {
	for range 100 {
		if bench.step() {
			continue
		}
		next, ok := bench.committer.Next()
		if !ok {
			return
		}
		bench.now = max(bench.now, next)
	}
	panic("committer without end")
}

func put(id bvledger.EntryID, key string, version int64) bvledger.Entry {
	return bvledger.Entry{
		ID:     id,
		Checks: []bvplatform.Check{{Key: key, Version: version}},
		Puts:   []bvplatform.Put{{Key: key, Value: fmt.Appendf(nil, "%d", id)}},
	}
}

func (bench *bench) value(key string) string {
	rows, _ := bench.Read(context.Background(), key)
	return string(rows[0].Value)
}

func TestEntriesShareOneTransaction(t *testing.T) {
	bench := newBench()
	bench.committer.Add(put(1, "a", 0))
	bench.committer.Add(put(2, "b", 0))
	require.Equal(t, 2, bench.committer.Pending())
	bench.run()
	require.Equal(t, []int{2}, bench.batches)
	require.NoError(t, bench.done[1].Err)
	require.Equal(t, bench.done[1].Version, bench.done[2].Version)
	require.Zero(t, bench.committer.Pending())
}

func TestConflictDropsOnlyItsOwnEntry(t *testing.T) {
	bench := newBench()
	bench.committer.Add(put(1, "a", 0))
	bench.committer.Add(put(2, "b", 7))
	bench.run()
	require.NoError(t, bench.done[1].Err)
	var conflict *bvplatform.ConflictError
	require.ErrorAs(t, bench.done[2].Err, &conflict)
	require.Equal(t, []string{"b"}, conflict.Keys)
}

// Guards against a write that conflicts with itself after its answer was lost.
func TestLostAnswerIsResolvedByTheMarker(t *testing.T) {
	bench := newBench()
	bench.fault = "lost"
	bench.committer.Add(put(1, "a", 0))
	bench.run()
	require.NoError(t, bench.done[1].Err)
	rows, err := bench.Read(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, rows[0].Version, bench.done[1].Version)
	require.EqualValues(t, 1, bench.committer.Writes())
}

// Guards against a first attempt that takes effect after the second one.
func TestLateWriteAppliesNothing(t *testing.T) {
	bench := newBench()
	bench.fault = "late"
	entry := put(1, "a", 0)
	entry.Checks = nil // only the marker can stop it
	bench.committer.Add(entry)
	bench.run()
	require.NoError(t, bench.done[1].Err)
	bench.committer.Add(put(2, "a", bench.done[1].Version))
	bench.run()
	bench.land()
	require.Equal(t, "2", bench.value("a"))
}

// Guards against a conflict with one's own late write that counts as another host's.
func TestConflictWithOnesOwnLateWriteIsSuccess(t *testing.T) {
	bench := newBench()
	bench.fault = "late"
	bench.committer.Add(put(1, "a", 0))
	for len(bench.late) == 0 {
		bench.step()
	}
	next, _ := bench.committer.Next()
	bench.now = next
	effects := bench.committer.Tick(bench.now)
	require.IsType(t, bvcommit.Read{}, effects[0])
	bench.committer.HandleRead(bench.now, bvplatform.Row{}, nil) // not yet there
	bench.land()
	bench.run()
	require.NoError(t, bench.done[1].Err)
}

func TestEntriesOfOneRowGoIntoDifferentTransactions(t *testing.T) {
	bench := newBench()
	bench.committer.Add(put(1, "a", 0))
	bench.committer.Add(put(2, "a", 1))
	bench.run()
	require.Equal(t, []int{1, 1}, bench.batches)
	require.NoError(t, bench.done[2].Err)
}

func TestIntervalSpacesTransactions(t *testing.T) {
	bench := newBench()
	bench.committer.SetInterval(bvclock.Second)
	bench.committer.Add(put(1, "a", 0))
	bench.step()
	bench.now = 10
	bench.committer.Add(put(2, "b", 0))
	bench.step()
	bench.step()
	require.NotContains(t, bench.done, bvledger.EntryID(2))
	next, ok := bench.committer.Next()
	require.True(t, ok)
	require.EqualValues(t, 1000, next)
	bench.run()
	require.Contains(t, bench.done, bvledger.EntryID(2))
}

func TestTransactionsAreBounded(t *testing.T) {
	bench := newBench()
	bench.committer.SetMaxBatch(2, 1000)
	for id := range bvledger.EntryID(5) {
		bench.committer.Add(put(id, fmt.Sprintf("row-%d", id), 0))
	}
	bench.run()
	require.Equal(t, []int{2, 2, 1}, bench.batches)
}

// Guards against a turn that is too large and holds up all programs of its host.
func TestRejectedEntryHoldsUpNoOthers(t *testing.T) {
	bench := newBench()
	bench.fault = "reject"
	bench.sticky = true
	bench.committer.Add(put(1, "a", 0))
	bench.committer.Add(put(2, "poison", 0))
	bench.committer.Add(put(3, "b", 0))
	bench.run()
	require.NoError(t, bench.done[1].Err)
	require.ErrorIs(t, bench.done[2].Err, bvplatform.ErrRejected)
	require.NoError(t, bench.done[3].Err)
}

// unchecked is a row whose entries have no check of their own: only the marker
// guards it.
const unchecked = "c"

// counters is the fuzz: each entry counts a row up by one, on the version that
// the last outcome gave. The oracle counts the entries that were told done.
type counters struct {
	*bench
	version map[string]int64
	count   map[string]int
	key     map[bvledger.EntryID]string
	last    bvledger.EntryID
}

func (counters *counters) add(key string) {
	if counters.pending(key) {
		return // one entry of a program at a time
	}
	counters.last++
	counters.key[counters.last] = key
	entry := put(counters.last, key, counters.version[key])
	entry.Puts[0].Value = fmt.Appendf(nil, "%d", counters.count[key]+1)
	if key == unchecked {
		entry.Checks = nil
	}
	counters.committer.Add(entry)
}

func (counters *counters) hear(fail func(string, ...any)) {
	for id, key := range counters.key {
		done, told := counters.done[id]
		if !told {
			continue
		}
		delete(counters.key, id)
		if done.Err != nil {
			fail("entry %d of %s was refused, although nobody else writes: %v", id, key, done.Err)
		}
		counters.version[key] = done.Version
		counters.count[key]++
	}
	for key, count := range counters.count {
		value := counters.value(key)
		if value != fmt.Sprint(count) && !(counters.pending(key) && value == fmt.Sprint(count+1)) {
			fail("%s is %s after %d increments", key, value, count)
		}
	}
}

func (counters *counters) pending(key string) bool {
	for _, pending := range counters.key {
		if pending == key {
			return true
		}
	}
	return false
}

func exactlyOnce(t *rapid.T, ignore string) {
	counters := &counters{
		bench: newBench(), version: make(map[string]int64),
		count: make(map[string]int), key: make(map[bvledger.EntryID]string),
	}
	counters.ignore = ignore
	t.Repeat(map[string]func(*rapid.T){
		"add":   func(t *rapid.T) { counters.add(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")) },
		"fault": func(t *rapid.T) { counters.fault = rapid.SampledFrom([]string{"lost", "late", "down"}).Draw(t, "kind") },
		"land":  func(*rapid.T) { counters.land() },
		"step":  func(*rapid.T) { counters.step() },
		"steps": func(*rapid.T) { counters.step(); counters.step(); counters.step() },
		"wait":  func(*rapid.T) { counters.now = counters.now.Add(bvclock.Second) },
		"":      func(t *rapid.T) { counters.hear(t.Fatalf) },
	})
	counters.fault = ""
	counters.land()
	counters.run()
	counters.hear(t.Fatalf)
	if len(counters.key) > 0 {
		t.Fatalf("%d entries have no outcome", len(counters.key))
	}
}

func fixed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.nofailfile": "true", "rapid.shrinktime": "0s", "rapid.checks": "10000", "rapid.steps": "60"} {
		known := flag.Lookup(name)
		if known.Value.String() != known.DefValue {
			continue
		}
		require.NoError(t, flag.Set(name, value))
		t.Cleanup(func() { _ = flag.Set(name, known.DefValue) })
	}
}

// Guards against entries that apply twice, or never, whatever is lost or late.
func TestEntriesApplyExactlyOnceUnderFaults(t *testing.T) {
	fixed(t)
	rapid.Check(t, func(t *rapid.T) { exactlyOnce(t, "") })
}

type recorder struct {
	*testing.T
	failed bool
}

func (recorder *recorder) Errorf(string, ...any) { recorder.failed = true }
func (recorder *recorder) Logf(string, ...any)   {}
func (recorder *recorder) Log(...any)            {}
func (recorder *recorder) Failed() bool          { return recorder.failed }
func (recorder *recorder) FailNow()              {}

func TestOracleCatchesAPlatformThatIgnoresTheMarker(t *testing.T) {
	fixed(t)
	recorder := &recorder{T: t}
	rapid.Check(recorder, func(t *rapid.T) { exactlyOnce(t, "commit/") })
	require.True(t, recorder.failed)
}

// BenchmarkCommitBatch is the cost of one entry in a full batch, platform in
// memory included.
func BenchmarkCommitBatch(b *testing.B) {
	bench := newBench()
	versions := make([]int64, bvcommit.DefaultMaxEntries)
	keys := make([]string, bvcommit.DefaultMaxEntries)
	for i := range keys {
		keys[i] = fmt.Sprintf("program/piran/p%d", i)
	}
	value := make([]byte, 2000)
	id := bvledger.EntryID(0)
	b.ReportAllocs()
	for b.Loop() {
		first := id
		for i, key := range keys {
			id++
			bench.committer.Add(bvledger.Entry{
				ID:     id,
				Checks: []bvplatform.Check{{Key: key, Version: versions[i]}},
				Puts:   []bvplatform.Put{{Key: key, Value: value}},
			})
		}
		bench.run()
		for i := range keys {
			versions[i] = bench.done[first+bvledger.EntryID(i)+1].Version
		}
		clear(bench.done)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(keys)), "ns/entry")
}
