package bvtable

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func requireProblem(t *testing.T, problem string, rows ...Row) {
	t.Helper()
	err := Validate(rows, Catalog{Models: []string{"small"}, Services: []string{"stock"}})
	require.ErrorContains(t, err, problem)
}

func TestSharesThatDoNotAddUpNameEachMembersCell(t *testing.T) {
	rows := []Row{{Member: "a", Share: 60}, {Member: "b", Share: 30}}
	requireProblem(t, "row a, cell share: the members' shares add up to 90, not 100", rows...)
	requireProblem(t, "row b, cell share", rows...)
}

func TestSharesInThirdsAddUp(t *testing.T) {
	rows := []Row{{Member: "a", Share: 33.34}, {Member: "b", Share: 33.33}, {Member: "c", Share: 33.33}}
	require.NoError(t, Validate(rows, Catalog{}))
}

func TestShareOfZeroIsNamed(t *testing.T) {
	requireProblem(t, "row b, cell share: 0 is not more than zero", Row{Member: "a", Share: 100}, Row{Member: "b"})
}

func TestNegativeBudgetIsNamed(t *testing.T) {
	requireProblem(t, "row a, cell budget: -5 is not zero or more", Row{Member: "a", Share: 100, Budget: -5})
}

func TestUnknownModelIsNamed(t *testing.T) {
	requireProblem(t, "row a, cell models: unknown model huge", Row{Member: "a", Share: 100, Models: []string{"small", "huge"}})
}

func TestUnknownServiceIsNamed(t *testing.T) {
	requireProblem(t, "row a, cell services: unknown service price", Row{Member: "a", Share: 100, Services: []string{"price"}})
}

func TestRowThatStandsTwiceIsNamed(t *testing.T) {
	requireProblem(t, "row a, cell row: the row stands twice", Row{Member: "a", Share: 50}, Row{Member: "a", Share: 50})
}

func TestShareOfAClassIsNamed(t *testing.T) {
	requireProblem(t, "row a/x, cell share", Row{Member: "a", Share: 100}, Row{Member: "a", Class: "x", Share: 1})
}

func TestClassWithoutItsMemberIsNamed(t *testing.T) {
	requireProblem(t, "row b/x, cell row: member b has no row of its own", Row{Member: "a", Share: 100}, Row{Member: "b", Class: "x"})
}

func TestNameWithASlashIsNamed(t *testing.T) {
	requireProblem(t, "cell row: names may have", Row{Member: "a/../b", Share: 100})
}
