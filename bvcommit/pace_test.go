package bvcommit

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvplatform"
)

// countWrites returns how many transactions have started at a given time if an entry
// is always queued and each write is answered immediately.
func countWrites(committer *Committer, end bvclock.Time) int {
	count := 0
	for now := bvclock.Time(0); now <= end; now++ {
		committer.Add(bvledger.Entry{ID: bvledger.EntryID(now + 1), Puts: []bvplatform.Put{{Key: "k"}}})
		for _, effect := range committer.Tick(now) {
			if _, ok := effect.(Write); ok {
				count++
				committer.HandleWrite(now, int64(count), nil)
			}
		}
	}
	return count
}

func newBurstCommitter() *Committer {
	committer := New("host-1", "a")
	committer.SetInterval(100)
	committer.SetBurst(5)
	return committer
}

func TestBurstStartsWithoutWaiting(t *testing.T) {
	require.Equal(t, 5, countWrites(newBurstCommitter(), 99))
}

func TestRateHoldsAfterABurst(t *testing.T) {
	require.Equal(t, 5+10, countWrites(newBurstCommitter(), 1099))
}

func TestWithoutABurstWritesAreAnIntervalApart(t *testing.T) {
	committer := New("host-1", "a")
	committer.SetInterval(100)
	require.Equal(t, 10, countWrites(committer, 999))
}
