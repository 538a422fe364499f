package bvgate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

func TestUnusedPermitLapsesAndItsSlotIsGrantedAgain(t *testing.T) {
	// An owner crashes right after it was granted the only slot. The next caller must
	// not wait indefinitely: the permit lapses, and its slot is granted again.
	pool := &Pool{}
	pool.UpdateEndpoint(0, EndpointReport{Name: "a", Slots: 1})
	pool.Submit(0, Request{ID: 1, Member: "m"})
	pool.Submit(0, Request{ID: 2, Member: "m"})
	require.Equal(t, []Effect{Grant{Request: 1, Endpoint: "a", Priority: maxEnginePriority, Expires: bvclock.Time(PermitWindow)}}, pool.Tick(0))

	lapse := bvclock.Time(PermitWindow)
	require.Equal(t, lapse, pool.NextTick())
	require.Equal(t, []Effect{Grant{Request: 2, Endpoint: "a", Priority: maxEnginePriority, Expires: lapse.Add(PermitWindow)}}, pool.Tick(lapse))
}

func TestUsedPermitDoesNotLapse(t *testing.T) {
	pool := &Pool{}
	pool.UpdateEndpoint(0, EndpointReport{Name: "a", Slots: 1})
	pool.Submit(0, Request{ID: 1, Member: "m"})
	pool.Submit(0, Request{ID: 2, Member: "m"})
	pool.Tick(0)
	now := bvclock.Time(0)
	for now.Before(bvclock.Time(bvclock.Hour)) {
		require.True(t, pool.MarkUsed(now, 1))
		now = now.Add(callTTL - 1)
		require.Empty(t, pool.Tick(now))
	}
	pool.Finish(now, Finish{ID: 1})
	require.Len(t, pool.Tick(now), 1)
}

func TestSlotOfACrashedOwnerIsFreedAgain(t *testing.T) {
	// An owner crashes during a call, so the end of the call is never reported. Without
	// a bound the engine would have one slot less permanently.
	pool := &Pool{}
	pool.UpdateEndpoint(0, EndpointReport{Name: "a", Slots: 1})
	pool.Submit(0, Request{ID: 1, Member: "m"})
	pool.Submit(0, Request{ID: 2, Member: "m"})
	pool.Tick(0)
	pool.MarkUsed(0, 1)
	require.Len(t, pool.Tick(bvclock.Time(callTTL)), 1)
}

func TestRequestIsRefusedAtItsDeadline(t *testing.T) {
	pool := &Pool{}
	pool.UpdateEndpoint(0, EndpointReport{Name: "a", Slots: 1})
	pool.Submit(0, Request{ID: 1, Member: "m"})
	require.Len(t, pool.Tick(0), 1)
	pool.MarkUsed(0, 1)
	pool.Submit(0, Request{ID: 2, Member: "m", Deadline: 5000})
	require.Empty(t, pool.Tick(0))
	require.Equal(t, bvclock.Time(5000), pool.NextTick())
	effects := pool.Tick(5000)
	require.Len(t, effects, 1)
	refusal := effects[0].(Refusal)
	require.Equal(t, bvverdict.DeadlinePassed, refusal.Err.Code())
	require.Equal(t, bvverdict.NotRun, refusal.Err.Verdict())
}

func TestRequestIsRefusedAtOnceWhileNoEndpointIsOpen(t *testing.T) {
	pool := &Pool{}
	pool.Submit(0, Request{ID: 1, Member: "m", Deadline: 500})
	effects := pool.Tick(0)
	require.Len(t, effects, 1)
	require.Positive(t, effects[0].(Refusal).Err.RetryAfter())
}

func TestLeavingEndpointGetsNoGrant(t *testing.T) {
	pool := &Pool{}
	pool.UpdateEndpoint(0, EndpointReport{Name: "a", Slots: 1, Leaving: true})
	pool.Submit(0, Request{ID: 1, Member: "m"})
	require.Empty(t, pool.Tick(0))
}
