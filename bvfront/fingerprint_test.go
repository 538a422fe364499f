package bvfront

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvsuspect"
)

// repetition describes one of several requests; empty fields are the same for all.
type repetition struct{ address, workspace, method, host, target, parent, body string }

func (repetition repetition) fingerprint() bvsuspect.Fingerprint {
	request := httptest.NewRequest(orElse(repetition.method, "POST"), orElse(repetition.target, "/a"), nil)
	request.Host, request.RemoteAddr = orElse(repetition.host, "h"), orElse(repetition.address, "10.0.0.1:1")
	call := &call{
		request: request, body: []byte(orElse(repetition.body, "body")),
		workspace: &bvroute.Workspace{Name: orElse(repetition.workspace, "ana")}, keysRequired: true,
	}
	call.metadata.ID, call.metadata.ParentTurn = "id of "+repetition.address, repetition.parent
	return call.newFingerprint()
}

func orElse(text, other string) string {
	if text == "" {
		return other
	}
	return text
}

// Guards against a request that counts as another one when it comes from another address.
func TestRepetitionFromAnotherAddressHasTheSameFingerprint(t *testing.T) {
	require.Equal(t, repetition{}.fingerprint(), repetition{address: "10.9.9.9:99"}.fingerprint())
}

func TestRepetitionWithAnotherQueryDiffersInTheExactHashOnly(t *testing.T) {
	without, with := repetition{}.fingerprint(), repetition{target: "/a?page=2"}.fingerprint()
	require.Equal(t, without.Exact, without.AnyQuery)
	require.Equal(t, without.AnyQuery, with.AnyQuery)
	require.NotEqual(t, with.Exact, with.AnyQuery)
	require.NotEqual(t, with.Exact, repetition{target: "/a?page=3"}.fingerprint().Exact)
}

// Guards against a request that is refused because of another workspace's or conversation's.
func TestDifferentRequestsHaveDifferentFingerprints(t *testing.T) {
	seen := make(map[uint64]repetition)
	for _, other := range []repetition{
		{}, {workspace: "bor"}, {method: "PUT"}, {host: "i"}, {target: "/b"}, {parent: "turn-1"}, {parent: "turn-2"}, {body: "other"},
		{target: "/a/body", body: " "}, {host: "h/a", target: "/"},
	} {
		anyQuery := other.fingerprint().AnyQuery
		require.NotContains(t, seen, anyQuery, "%+v and %+v", other, seen[anyQuery])
		seen[anyQuery] = other
	}
}
