package bvbudget

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against large blocks of small budgets that stay unspent or are lost with a host.
func TestBlockIsOnlyTheNeedWhenFewTokensAreAvailable(t *testing.T) {
	const maxTokens = 572
	available := evenPart(2600, maxTokens)
	for _, need := range []int{maxTokens, maxTokens, 330} {
		size := blockSize(available, need, maxTokens)
		require.Equal(t, need, size)
		available -= size
	}
	require.Equal(t, 112, available)
}

// Guards against a request for each turn where enough tokens are available.
func TestBlockCoversSeveralTurnsWhenManyTokensAreAvailable(t *testing.T) {
	require.Equal(t, blockTurns*572, blockSize(evenPart(12_900, 572), 572, 572))
}

// Guards against a budget of which much is lost with the first host that has reserved tokens.
func TestFirstBlockOfAKeptProgramIsBounded(t *testing.T) {
	const maxTokens = 572
	for budget, expected := range map[int]int{2 * maxTokens: maxTokens, 6 * maxTokens: 2 * maxTokens, 90 * maxTokens: blockTurns * maxTokens} {
		block, fits := Record{}.nextRetainedBlock(budget, maxTokens, maxTokens)
		require.True(t, fits)
		require.Equal(t, expected, block, "budget %d", budget)
		block, fits = Record{Granted: map[string]int{"a": block}}.nextRetainedBlock(budget, maxTokens, maxTokens)
		require.True(t, fits)
		require.Equal(t, maxTokens, block, "budget %d, later", budget)
	}
	_, fits := Record{Granted: map[string]int{"a": 1}}.nextRetainedBlock(maxTokens, maxTokens, maxTokens)
	require.False(t, fits)
}
