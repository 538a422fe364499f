package bvstandin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a list whose entries don't expire, or that doesn't lag.
func TestEntryLapsesAndLagsBehind(t *testing.T) {
	var list laggedList[string]
	start := time.Now()
	list.addAt("host-1", "a", start.Add(-5*time.Second), 3*time.Second)
	require.Empty(t, list.list(0))
	require.Equal(t, []string{"a"}, list.list(4*time.Second))
	require.Empty(t, list.list(6*time.Second))
}

func TestRemovedEntryIsGoneAfterTheLag(t *testing.T) {
	var list laggedList[string]
	list.addAt("host-1", "a", time.Now().Add(-time.Minute), 0)
	list.remove("host-1")
	require.Empty(t, list.list(0))
	require.Equal(t, []string{"a"}, list.list(time.Second))
}

func (laggedList *laggedList[T]) addAt(name string, value T, at time.Time, ttl time.Duration) {
	laggedList.add(name, announcement[T]{at: at, value: value, ttl: ttl})
}
