package bvtable

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvkey"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

var (
	piran    = Actor{Member: "piran", Role: bvkey.Operator}
	brindley = Actor{Member: "brindley", Role: bvkey.Operator}
	admin    = Actor{Member: "consortium", Role: bvkey.Admin}
)

const initialTable = `version,member,class,share,priority,budget,idle,models
0,piran,,60,0,1000,15m,
,piran,booking,,5,400,,small large
,brindley,,40,0,0,0,
,brindley,quote,,9,70,,
`

// newEditor returns an editor that retries without a pause.
func newEditor(store bvplatform.Store) *Editor {
	return &Editor{
		Store:    store,
		Follower: &Follower{Store: store, Clock: &bvclock.Manual{}},
		pause:    func(context.Context, int) {},
	}
}

func seed(t require.TestingT, store bvplatform.Store) {
	_, err := newEditor(store).Import(context.Background(), admin, "", strings.NewReader(initialTable), false)
	require.NoError(t, err)
}

func set(member, class string, column Column, text string) Edit {
	return Edit{Cells: []CellEdit{{Member: member, Class: class, Column: column, New: text}}}
}

func requireCode(t *testing.T, code bvverdict.Code, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, code.String(), bvverdict.From(err).Code().String(), "%v", err)
}

func TestImportOfAnAdminStartsAnEmptyTable(t *testing.T) {
	store := &bvplatform.Memory{}
	seed(t, store)
	table, err := newEditor(store).Get(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, 1, table.Version())
	row, found := table.Row("piran", "booking")
	require.True(t, found)
	require.Equal(t, []string{"small", "large"}, row.Models)
	row, found = table.Row("piran", "unheard")
	require.True(t, found)
	require.Equal(t, 15*bvclock.Minute, row.Idle)
}

func TestOperatorEditsOnlyOwnRows(t *testing.T) {
	store := &bvplatform.Memory{}
	seed(t, store)
	_, err := newEditor(store).Set(t.Context(), piran, set("brindley", "quote", Budget, "1"))
	requireCode(t, bvverdict.Forbidden, err)
}

func TestShareNeedsAProposal(t *testing.T) {
	store := &bvplatform.Memory{}
	seed(t, store)
	_, err := newEditor(store).Set(t.Context(), piran, set("piran", "", Share, "90"))
	requireCode(t, bvverdict.Forbidden, err)
}

func TestProposalTakesEffectWithTheLastConsent(t *testing.T) {
	store := &bvplatform.Memory{}
	seed(t, store)
	editor := newEditor(store)
	proposal, _, err := editor.Propose(t.Context(), piran, "", []MemberShare{{"brindley", 30}, {"piran", 70}})
	require.NoError(t, err)
	require.Equal(t, []string{"brindley"}, proposal.MissingConsents())
	require.Equal(t, []MemberShare{{"brindley", 40}, {"piran", 60}}, editor.Follower.Snapshot().Shares())

	_, _, err = editor.Accept(t.Context(), piran, "", proposal.ID)
	requireCode(t, bvverdict.Forbidden, err)
	proposal, _, err = editor.Accept(t.Context(), brindley, "", proposal.ID)
	require.NoError(t, err)
	require.Equal(t, Accepted, proposal.State)
	require.Equal(t, []MemberShare{{"brindley", 30}, {"piran", 70}}, editor.Follower.Snapshot().Shares())
}
