package bvhost

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvplatform"
)

func newHosts(count int) []bvplatform.Host {
	hosts := make([]bvplatform.Host, count)
	for i := range hosts {
		hosts[i].Name = fmt.Sprintf("host-%d", i)
	}
	return hosts
}

func firstCandidates(view *View, keys int) map[string]string {
	owners := make(map[string]string)
	for i := range keys {
		key := fmt.Sprintf("program-%d", i)
		owners[key] = view.Candidates(0, key)[0].Name
	}
	return owners
}

func TestHostThatLeavesMovesOnlyItsOwnKeys(t *testing.T) {
	view := &View{}
	view.Update(0, newHosts(13))
	before := firstCandidates(view, 2000)
	view.Update(0, newHosts(12))
	for key, owner := range firstCandidates(view, 2000) {
		if before[key] != "host-12" {
			require.Equal(t, before[key], owner)
		}
	}
}

func TestKeysSpreadEvenlyOverHosts(t *testing.T) {
	view := &View{}
	view.Update(0, newHosts(13))
	counts := make(map[string]int)
	for _, owner := range firstCandidates(view, 13_000) {
		counts[owner]++
	}
	for name, count := range counts {
		require.InDelta(t, 1000, count, 150, name)
	}
}

// Guards against requests that go to a failed host first.
func TestUnreachableHostComesLast(t *testing.T) {
	view := &View{}
	view.Update(0, newHosts(5))
	before := view.Candidates(0, "key")
	view.MarkUnreachable(0, before[0].Name)
	after := view.Candidates(0, "key")
	require.Equal(t, append(before[1:], before[0]), after)
}
