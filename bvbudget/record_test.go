package bvbudget

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against large blocks of small budgets that lie unspent or die with their host.
func TestHostTakesNoMoreThanItNeedsOfLittle(t *testing.T) {
	const most = 572
	left := half(2600, most)
	for _, need := range []int{most, most, 330} {
		given := block(left, need, most)
		require.Equal(t, need, given)
		left -= given
	}
	require.Equal(t, 112, left)
}

// Where there is plenty, a block saves the questions of some turns.
func TestHostTakesABlockOfPlenty(t *testing.T) {
	require.Equal(t, blockTurns*572, block(half(12_900, 572), 572, 572))
}
