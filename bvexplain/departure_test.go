package bvexplain

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	endpointRemoved = `{"msg":"endpoints removed","endpoints":["i-1"],"source":"store","time":"2026-01-26T09:00:39Z"}`
	endpointListed  = `{"msg":"endpoints listed","endpoints":["i-1"],"source":"store","time":"2026-01-26T09:00:39Z"}`
)

func TestRequestsSentAfterADepartureAreShown(t *testing.T) {
	account := read(t, Options{}, "12.5 host-a "+answered, "11 host-b "+endpointRemoved, "10 host-c "+endpointRemoved)
	late, count := account.departures.lateSends()
	require.Equal(t, 1, count)
	require.Len(t, late, 1)
	require.Equal(t, "host-a", late[0].host)
	require.InDelta(t, 2203, late[0].lagMs(), 0.1, "from the first line of any host to the time of the send")
	require.Contains(t, printed(t, account), "endpoints that left: 1; requests were sent to 1 of them")
}

func TestEndpointThatIsListedAgainHasNotLeft(t *testing.T) {
	account := read(t, Options{}, "12.5 a "+answered, "10 a "+endpointRemoved, "11 a "+endpointListed)
	_, count := account.departures.lateSends()
	require.Zero(t, count)
	require.NotContains(t, printed(t, account), "endpoints that left")
}

// Guards against requests that an endpoint refused, or that never reached it.
func TestRefusedRequestIsNoLateSend(t *testing.T) {
	notRun := `{"endpoint":"i-1","error":"endpoint_failed (not run): endpoint i-1 can't be reached","msg":"request failed","sends":1,"took_ms":3}`
	account := read(t, Options{}, "12.5 a "+notRun, "10 a "+endpointRemoved)
	late, count := account.departures.lateSends()
	require.Equal(t, 1, count)
	require.Empty(t, late)
}
