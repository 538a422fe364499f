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
