package bvkey

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFindReturnsMemberAndRole(t *testing.T) {
	ring, err := Read(strings.NewReader("# keys of the pilot\n\npiran operator piran-operator-key\nbrindley caller brindley-caller-key\n"))
	require.NoError(t, err)
	require.Equal(t, 2, ring.Len())
	member, role, found := ring.Find("piran-operator-key")
	require.True(t, found)
	require.Equal(t, "piran", member)
	require.Equal(t, Operator, role)
}

func TestZeroRingKnowsNoKey(t *testing.T) {
	_, role, found := (&Ring{}).Find("")
	require.False(t, found)
	require.Equal(t, NoRole, role)
}

// Guards against error messages that reveal a key.
func TestErrorNamesTheLineAndNotTheKey(t *testing.T) {
	_, err := Read(strings.NewReader("piran operator piran-operator-key\npiran operater secret-secret\n"))
	require.ErrorContains(t, err, "line 2")
	require.NotContains(t, err.Error(), "secret-secret")
}

// Guards against a key with which one member can act as another.
func TestOneKeyForTwoMembersIsRefused(t *testing.T) {
	_, err := Read(strings.NewReader("piran caller shared-key-1\nbrindley caller shared-key-1\n"))
	require.ErrorContains(t, err, "earlier line")
}
