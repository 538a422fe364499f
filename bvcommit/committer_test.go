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

// harness runs one committer against an in-memory platform with faults.
type harness struct {
	bvplatform.Memory
	committer *bvcommit.Committer
	now       bvclock.Time
	fault     string // for the next write: "", "lost", "late", "down", "reject"
	sticky    bool   // the fault applies to all further writes
	ignore    string // checks of keys with this prefix are skipped: broken on purpose
	late      []bvplatform.Transaction
	done      map[bvledger.EntryID]bvcommit.Done
	batches   []int // number of puts of each attempted transaction, without the marker
}

func newHarness() *harness {
	return &harness{
		committer: bvcommit.New("host", "1"),
		done:      make(map[bvledger.EntryID]bvcommit.Done),
	}
}

func (harness *harness) write(transaction bvplatform.Transaction) (int64, error) {
	harness.batches = append(harness.batches, len(transaction.Puts)-1)
	fault := harness.fault
	if !harness.sticky {
		harness.fault = ""
	}
	switch fault {
	case "down":
		return 0, bvplatform.ErrUnavailable
	case "reject":
		if len(transaction.Puts) > 2 || transaction.Puts[1].Key == "poison" {
			return 0, bvplatform.ErrRejected
		}
	case "late":
		harness.late = append(harness.late, transaction)
		return 0, bvplatform.ErrUnknown
	}
	version, err := harness.apply(transaction)
	if fault == "lost" {
		return 0, bvplatform.ErrUnknown
	}
	return version, err
}

func (harness *harness) apply(transaction bvplatform.Transaction) (int64, error) {
	var checks []bvplatform.Check
	for _, check := range transaction.Checks {
		if harness.ignore == "" || !strings.HasPrefix(check.Key, harness.ignore) {
			checks = append(checks, check)
		}
	}
	transaction.Checks = checks
	return harness.Commit(context.Background(), transaction)
}

func (harness *harness) applyLate() {
	for _, transaction := range harness.late {
		_, _ = harness.apply(transaction)
	}
	harness.late = nil
}

// step carries out the effects of one Tick and reports whether there were any.
func (harness *harness) step() bool {
	effects := harness.committer.Tick(harness.now)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case bvcommit.Write:
			version, err := harness.write(effect.Transaction)
			harness.committer.HandleWrite(harness.now, version, err)
		case bvcommit.Read:
			rows, err := harness.Read(context.Background(), effect.Key)
			harness.committer.HandleRead(harness.now, rows[0], err)
		case bvcommit.Done:
			if _, twice := harness.done[effect.Entry]; twice {
				panic("an entry has two outcomes")
			}
			harness.done[effect.Entry] = effect
		}
	}
	return len(effects) > 0
}

func (harness *harness) run() {
	for range 100 {
		if harness.step() {
			continue
		}
		next, ok := harness.committer.Next()
		if !ok {
			return
		}
		harness.now = max(harness.now, next)
	}
	panic("committer does not finish")
}

func put(id bvledger.EntryID, key string, version int64) bvledger.Entry {
	return bvledger.Entry{
		ID:     id,
		Checks: []bvplatform.Check{{Key: key, Version: version}},
		Puts:   []bvplatform.Put{{Key: key, Value: fmt.Appendf(nil, "%d", id)}},
	}
}

func (harness *harness) value(key string) string {
	rows, _ := harness.Read(context.Background(), key)
	return string(rows[0].Value)
}

func TestEntriesShareOneTransaction(t *testing.T) {
	harness := newHarness()
	harness.committer.Add(put(1, "a", 0))
	harness.committer.Add(put(2, "b", 0))
	require.Equal(t, 2, harness.committer.Pending())
	harness.run()
	require.Equal(t, []int{2}, harness.batches)
	require.NoError(t, harness.done[1].Err)
	require.Equal(t, harness.done[1].Version, harness.done[2].Version)
	require.Zero(t, harness.committer.Pending())
}

func TestConflictDropsOnlyItsOwnEntry(t *testing.T) {
	harness := newHarness()
	harness.committer.Add(put(1, "a", 0))
	harness.committer.Add(put(2, "b", 7))
	harness.run()
	require.NoError(t, harness.done[1].Err)
	var conflict *bvplatform.ConflictError
	require.ErrorAs(t, harness.done[2].Err, &conflict)
	require.Equal(t, []string{"b"}, conflict.Keys)
}

// Guards against a write that conflicts with its own earlier attempt, whose answer was
// lost.
func TestLostAnswerIsResolvedByTheMarker(t *testing.T) {
	harness := newHarness()
	harness.fault = "lost"
	harness.committer.Add(put(1, "a", 0))
	harness.run()
	require.NoError(t, harness.done[1].Err)
	rows, err := harness.Read(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, rows[0].Version, harness.done[1].Version)
	require.EqualValues(t, 1, harness.committer.Writes())
}

// Guards against a first attempt that takes effect after the second one.
func TestLateWriteAppliesNothing(t *testing.T) {
	harness := newHarness()
	harness.fault = "late"
	entry := put(1, "a", 0)
	entry.Checks = nil // only the marker can stop it
	harness.committer.Add(entry)
	harness.run()
	require.NoError(t, harness.done[1].Err)
	harness.committer.Add(put(2, "a", harness.done[1].Version))
	harness.run()
	harness.applyLate()
	require.Equal(t, "2", harness.value("a"))
}

// Guards against a late write of this committer that is taken for a conflict with
// another host.
func TestConflictWithOwnLateWriteIsSuccess(t *testing.T) {
	harness := newHarness()
	harness.fault = "late"
	harness.committer.Add(put(1, "a", 0))
	for len(harness.late) == 0 {
		harness.step()
	}
	next, _ := harness.committer.Next()
	harness.now = next
	effects := harness.committer.Tick(harness.now)
	require.IsType(t, bvcommit.Read{}, effects[0])
	harness.committer.HandleRead(harness.now, bvplatform.Row{}, nil) // the write has not taken effect yet
	harness.applyLate()
	harness.run()
	require.NoError(t, harness.done[1].Err)
}

func TestEntriesOfOneRowGoIntoDifferentTransactions(t *testing.T) {
	harness := newHarness()
	harness.committer.Add(put(1, "a", 0))
	harness.committer.Add(put(2, "a", 1))
	harness.run()
	require.Equal(t, []int{1, 1}, harness.batches)
	require.NoError(t, harness.done[2].Err)
}

func TestIntervalSpacesTransactions(t *testing.T) {
	harness := newHarness()
	harness.committer.SetInterval(bvclock.Second)
	harness.committer.Add(put(1, "a", 0))
	harness.step()
	harness.now = 10
	harness.committer.Add(put(2, "b", 0))
	harness.step()
	harness.step()
	require.NotContains(t, harness.done, bvledger.EntryID(2))
	next, ok := harness.committer.Next()
	require.True(t, ok)
	require.EqualValues(t, 1000, next)
	harness.run()
	require.Contains(t, harness.done, bvledger.EntryID(2))
}

func TestTransactionsAreBounded(t *testing.T) {
	harness := newHarness()
	harness.committer.SetMaxBatch(2, 1000)
	for id := range bvledger.EntryID(5) {
		harness.committer.Add(put(id, fmt.Sprintf("row-%d", id), 0))
	}
	harness.run()
	require.Equal(t, []int{2, 2, 1}, harness.batches)
}

// Guards against a turn that is too large and blocks all programs of its host.
func TestRejectedEntryBlocksNoOthers(t *testing.T) {
	harness := newHarness()
	harness.fault = "reject"
	harness.sticky = true
	harness.committer.Add(put(1, "a", 0))
	harness.committer.Add(put(2, "poison", 0))
	harness.committer.Add(put(3, "b", 0))
	harness.run()
	require.NoError(t, harness.done[1].Err)
	require.ErrorIs(t, harness.done[2].Err, bvplatform.ErrRejected)
	require.NoError(t, harness.done[3].Err)
}

// unchecked is the key of a row whose entries have no check of their own: only the
// marker protects it.
const unchecked = "c"

// counters is the model of the fuzz test: each entry increments a row by one, checked
// against the version of the last outcome. The oracle counts the entries that were
// reported as done.
type counters struct {
	*harness
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

func (counters *counters) checkOutcomes(fail func(string, ...any)) {
	for id, key := range counters.key {
		done, found := counters.done[id]
		if !found {
			continue
		}
		delete(counters.key, id)
		if done.Err != nil {
			fail("entry %d of %s failed without another writer: %v", id, key, done.Err)
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

func checkExactlyOnce(t *rapid.T, ignore string) {
	counters := &counters{
		harness: newHarness(), version: make(map[string]int64),
		count: make(map[string]int), key: make(map[bvledger.EntryID]string),
	}
	counters.ignore = ignore
	t.Repeat(map[string]func(*rapid.T){
		"add":   func(t *rapid.T) { counters.add(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")) },
		"fault": func(t *rapid.T) { counters.fault = rapid.SampledFrom([]string{"lost", "late", "down"}).Draw(t, "kind") },
		"land":  func(*rapid.T) { counters.applyLate() },
		"step":  func(*rapid.T) { counters.step() },
		"steps": func(*rapid.T) { counters.step(); counters.step(); counters.step() },
		"wait":  func(*rapid.T) { counters.now = counters.now.Add(bvclock.Second) },
		"":      func(t *rapid.T) { counters.checkOutcomes(t.Fatalf) },
	})
	counters.fault = ""
	counters.applyLate()
	counters.run()
	counters.checkOutcomes(t.Fatalf)
	if len(counters.key) > 0 {
		t.Fatalf("%d entries have no outcome", len(counters.key))
	}
}

func setRapidFlags(t *testing.T) {
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

// Guards against entries that apply twice, or never, after lost answers and late writes.
func TestEntriesApplyExactlyOnceUnderFaults(t *testing.T) {
	setRapidFlags(t)
	rapid.Check(t, func(t *rapid.T) { checkExactlyOnce(t, "") })
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
	setRapidFlags(t)
	recorder := &recorder{T: t}
	rapid.Check(recorder, func(t *rapid.T) { checkExactlyOnce(t, "commit/") })
	require.True(t, recorder.failed)
}

// BenchmarkCommitBatch measures the cost of one entry in a full batch, including the
// in-memory platform.
func BenchmarkCommitBatch(b *testing.B) {
	harness := newHarness()
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
			harness.committer.Add(bvledger.Entry{
				ID:     id,
				Checks: []bvplatform.Check{{Key: key, Version: versions[i]}},
				Puts:   []bvplatform.Put{{Key: key, Value: value}},
			})
		}
		harness.run()
		for i := range keys {
			versions[i] = harness.done[first+bvledger.EntryID(i)+1].Version
		}
		clear(harness.done)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(keys)), "ns/entry")
}
