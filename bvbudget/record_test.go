package bvbudget

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Hosts take large blocks of small budgets, and die with them or let them lie.
// With one half of a budget of 2,600 tokens, the third host of a program found
// 221 left, and it was refused: 1.4 in 100 programs where many hosts crash, and 0.9
// where hosts take what they need.
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
