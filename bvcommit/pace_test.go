package bvcommit

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvplatform"
)

// writesBy counts the transactions that start by a time when an entry is
// always waiting and each write is answered at once.
func writesBy(committer *Committer, end bvclock.Time) int {
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

func bursting() *Committer {
	committer := New("host-1", "a")
	committer.SetInterval(100)
	committer.SetBurst(5)
	return committer
}

func TestBurstStartsWithoutWaiting(t *testing.T) {
	require.Equal(t, 5, writesBy(bursting(), 99))
}

func TestRateHoldsAfterABurst(t *testing.T) {
	require.Equal(t, 5+10, writesBy(bursting(), 1099))
}

func TestWithoutABurstWritesAreAnIntervalApart(t *testing.T) {
	committer := New("host-1", "a")
	committer.SetInterval(100)
	require.Equal(t, 10, writesBy(committer, 999))
}
