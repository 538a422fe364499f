package bvgate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// The tests in this file reproduce faults that the fuzz test found.

func TestCallAdoptedBeforeItsEndpointIsListedBecomesASuspect(t *testing.T) {
	// A host takes over as deciding host; owners report their calls to it before it has
	// the list of endpoints. The engine crashed, and the request that caused it was
	// granted again beside other calls, because the adopted call belonged to no
	// endpoint.
	pool := &Pool{}
	pool.Adopt(0, Request{ID: 1, Member: "m", Fingerprint: poison}, "a")
	pool.UpdateEndpoint(0, EndpointReport{Name: "a", Incarnation: "1", Slots: 1})
	pool.Submit(0, Request{ID: 2, Member: "m"})
	require.Empty(t, pool.Tick(0), "the adopted call takes the slot")
	pool.Finish(0, Finish{ID: 1, Outcome: Crashed})
	require.Len(t, pool.Suspects(0), 1)
}

func TestRefusalThatCrossesItsWithdrawalIsNotDelivered(t *testing.T) {
	pool := &Pool{}
	pool.Submit(0, Request{ID: 1, Member: "m", Deadline: 1})
	pool.Withdraw(0, 1)
	require.Empty(t, pool.Tick(0))
}

func TestSuspectWaitsForACallOfTheSameContentThatWasAdopted(t *testing.T) {
	// While an engine is drained for a suspect, an owner reports a call with the same
	// content that the former deciding host had granted. The suspect was granted beside
	// it and could crash two engines at once.
	pool := &Pool{}
	pool.UpdateEndpoint(0, EndpointReport{Name: "a", Slots: 2})
	pool.UpdateEndpoint(0, EndpointReport{Name: "b", Slots: 0})
	pool.Submit(0, Request{ID: 1, Member: "m"})
	pool.Tick(0)
	pool.AddSuspects(0, []Suspect{{Member: "m", Fingerprint: poison, Crashes: 1, ExpiresIn: bvclock.Hour}})
	pool.Submit(0, Request{ID: 2, Member: "m", Fingerprint: poison})
	require.Empty(t, pool.Tick(0))
	pool.Adopt(0, Request{ID: 3, Member: "m", Fingerprint: poison}, "b")
	pool.Finish(0, Finish{ID: 1})
	require.Empty(t, pool.Tick(0))
	pool.Finish(0, Finish{ID: 3, Outcome: Canceled})
	require.Len(t, pool.Tick(0), 1)
}

func TestSuspectThatBecomesPoisonousWhileItWaitsIsRefused(t *testing.T) {
	// While an engine is drained for a suspect, another host reports its second crash.
	// The suspect was granted nevertheless and crashed a third engine.
	pool := &Pool{}
	pool.UpdateEndpoint(0, EndpointReport{Name: "a", Slots: 2})
	pool.Submit(0, Request{ID: 1, Member: "m"})
	pool.Tick(0)
	pool.AddSuspects(0, []Suspect{{Member: "m", Fingerprint: poison, Crashes: 1, ExpiresIn: bvclock.Hour}})
	pool.Submit(0, Request{ID: 2, Member: "m", Fingerprint: poison})
	require.Empty(t, pool.Tick(0))
	pool.AddSuspects(0, []Suspect{{Member: "m", Fingerprint: poison, Crashes: 2, ExpiresIn: bvclock.Hour}})
	pool.Finish(0, Finish{ID: 1})
	require.Equal(t, bvverdict.Poisonous, pool.Tick(0)[0].(Refusal).Err.Code())
}

func TestEndpointStaysReservedWhileOneOfTwoIsolatedCallsRuns(t *testing.T) {
	// A suspect's permit lapses, the next suspect gets the engine, and then the first
	// one's MarkUsed arrives: both run there. When the first ended, the engine was open
	// again and other calls ran beside the second.
	pool := &Pool{}
	pool.UpdateEndpoint(0, EndpointReport{Name: "a", Slots: 4})
	suspects := []Suspect{
		{Member: "m", Fingerprint: 1, Crashes: 1, ExpiresIn: bvclock.Hour},
		{Member: "m", Fingerprint: 2, Crashes: 1, ExpiresIn: bvclock.Hour},
	}
	pool.AddSuspects(0, suspects)
	pool.Submit(0, Request{ID: 1, Member: "m", Fingerprint: 1})
	require.Len(t, pool.Tick(0), 1)
	now := bvclock.Time(PermitWindow)
	pool.Submit(now, Request{ID: 2, Member: "m", Fingerprint: 2})
	require.Len(t, pool.Tick(now), 1)
	pool.MarkUsed(now, 2)
	pool.MarkUsed(now, 1)
	pool.Finish(now, Finish{ID: 1})
	pool.Submit(now, Request{ID: 3, Member: "m"})
	require.Empty(t, pool.Tick(now))
}

func TestCacheOfAProgramThatEndedAtTimeZeroIsReleased(t *testing.T) {
	pool := &Pool{}
	pool.UpdateEndpoint(0, EndpointReport{Name: "a", Slots: 1, CacheTokens: 100})
	pool.Submit(0, Request{ID: 1, Member: "m", Program: "p", PromptTokens: 10})
	pool.EndProgram(0, "m", "p")
	pool.Tick(0)
	pool.Finish(0, Finish{ID: 1, PromptTokens: 10, OutputTokens: 1})
	require.Len(t, pool.Tick(0), 1)
}

func TestRequestThatTurnsOutToBeASuspectIsServedInTheSameTick(t *testing.T) {
	// The content of a waiting request becomes a suspect. The request moved to the
	// suspects but was not served until the next event, which never came in an idle
	// pool.
	pool := &Pool{}
	pool.UpdateEndpoint(0, EndpointReport{Name: "a", Slots: 1})
	pool.Submit(0, Request{ID: 1, Member: "m", Fingerprint: 1})
	pool.AddSuspects(0, []Suspect{{Member: "m", Fingerprint: 1, Crashes: 1, ExpiresIn: bvclock.Hour}})
	require.Len(t, pool.Tick(0), 1)
}
