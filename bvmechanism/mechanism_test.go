package bvmechanism

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNamedMechanismsAreInTheSet(t *testing.T) {
	set, err := Parse("affinity, average")
	require.NoError(t, err)
	for _, mechanism := range All() {
		require.Equal(t, mechanism == Affinity || mechanism == Average, set.Has(mechanism), mechanism)
	}
}

func TestNothingIsSwitchedOffWithoutNames(t *testing.T) {
	set, err := Parse("")
	require.NoError(t, err)
	require.Zero(t, set)
}

// Guards against a misspelt name that is ignored, so that an experiment runs with the
// mechanism on and shows no difference.
func TestUnknownNameIsAnError(t *testing.T) {
	_, err := Parse("affinity,smaples")
	require.ErrorContains(t, err, `"smaples"`)
}

func TestEachMechanismHasANameAndAPurpose(t *testing.T) {
	names := make(map[string]bool)
	for _, mechanism := range All() {
		require.NotEmpty(t, mechanism.Purpose(), mechanism)
		require.False(t, names[mechanism.String()], mechanism)
		names[mechanism.String()] = true
	}
}
