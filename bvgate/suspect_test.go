package bvgate

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

const poison = 666

// crash fails all calls in flight on an endpoint, as each of their owners reports it,
// and restarts the endpoint.
func (engines *engines) crash(name string) []Request {
	target := engines.pool.endpoints[name]
	var lost []Request
	for _, call := range target.incarnation.callsInOrder() {
		lost = append(lost, engines.submitted[call.request.ID])
	}
	for _, request := range lost {
		engines.pool.Finish(engines.now, Finish{ID: request.ID, Outcome: Crashed})
	}
	report := target.report
	report.Incarnation += "'"
	engines.pool.UpdateEndpoint(engines.now, report)
	return lost
}

func (engines *engines) settle() []Effect {
	var effects []Effect
	for range 20 {
		effects = append(effects, engines.tick()...)
		if next := engines.pool.NextTick(); next != 0 && next.Before(engines.now.Add(2*bvclock.Minute)) {
			engines.now = max(next, engines.now)
		}
	}
	return effects
}

func grantOf(effects []Effect, id RequestID) (Grant, bool) {
	for _, effect := range effects {
		if grant, ok := effect.(Grant); ok && grant.Request == id {
			return grant, true
		}
	}
	return Grant{}, false
}

func TestPoisonousRequestIsRefusedAfterItsSecondCrashAndFailsOtherCallsOnce(t *testing.T) {
	// One request crashes each engine that runs it, and its caller retries it. Calls
	// that ran beside it fail once; then the request runs isolated, crashes its engine
	// and is refused from then on.
	engines := newEngines(3, 4)
	first := engines.submit(Request{Member: "rival", Fingerprint: poison, OutputTokens: 10})
	for i := range 11 {
		engines.submit(Request{Member: "m", Fingerprint: uint64(i + 1), OutputTokens: 10})
	}
	grant, _ := grantOf(engines.tick(), first)
	require.Len(t, engines.crash(grant.Endpoint), 4)
	for len(engines.pool.calls) > 0 {
		engines.finishNext()
	}
	engines.ends = nil

	again := engines.submit(Request{Member: "rival", Fingerprint: poison, OutputTokens: 10})
	beside := engines.submit(Request{Member: "m", Fingerprint: 99, OutputTokens: 10})
	effects := engines.tick()
	alone, ok := grantOf(effects, again)
	require.True(t, ok)
	require.True(t, alone.Isolated)
	other, _ := grantOf(effects, beside)
	require.NotEqual(t, alone.Endpoint, other.Endpoint)

	require.Len(t, engines.crash(alone.Endpoint), 1)
	engines.submit(Request{Member: "rival", Fingerprint: poison, OutputTokens: 10})
	refused := refusals(engines.tick())
	require.Len(t, refused, 1)
	require.Equal(t, bvverdict.Poisonous, refused[0].Err.Code())
	engines.submit(Request{Member: "m", Fingerprint: poison, OutputTokens: 10})
	require.Empty(t, refusals(engines.tick()), "a fingerprint counts within its member")
}

func TestInnocentSuspectIsClearedOnceItFinishesAlone(t *testing.T) {
	engines := newEngines(1, 4)
	engines.submit(Request{Member: "m", Fingerprint: 1, OutputTokens: 10})
	engines.tick()
	engines.crash(endpointName(0))
	engines.ends = nil
	require.Len(t, engines.pool.Suspects(engines.now), 1)
	alone := engines.submit(Request{Member: "m", Fingerprint: 1, OutputTokens: 10})
	grant, ok := grantOf(engines.settle(), alone)
	require.True(t, ok)
	require.True(t, grant.Isolated)
	engines.finishNext()
	require.Empty(t, engines.pool.Suspects(engines.now))
}

func TestSuspectNeverRunsOnTwoEndpointsAtOnce(t *testing.T) {
	engines := newEngines(4, 4)
	engines.pool.AddSuspects(0, []Suspect{{Member: "m", Fingerprint: poison, Crashes: 1, ExpiresIn: bvclock.Hour}})
	first := engines.submit(Request{Member: "m", Fingerprint: poison, OutputTokens: 10})
	second := engines.submit(Request{Member: "m", Fingerprint: poison, OutputTokens: 10})
	effects := engines.settle()
	_, ok := grantOf(effects, first)
	require.True(t, ok)
	_, ok = grantOf(effects, second)
	require.False(t, ok)
	engines.finishNext()
	_, ok = grantOf(engines.settle(), second)
	require.True(t, ok)
}

func TestRequestsOfACrashedZoneAreNotSuspects(t *testing.T) {
	// A zone loses its power with hundreds of requests in flight. If they ran isolated
	// one by one, they would drain the engines of the other zones.
	engines := newEngines(6, 4)
	for i := range 6 {
		report := engines.pool.endpoints[endpointName(i)].report
		report.Zone = "lost"
		if i > 2 {
			report.Zone = "left"
		}
		engines.pool.UpdateEndpoint(0, report)
	}
	for i := range 24 {
		engines.submit(Request{Member: "m", Fingerprint: uint64(i + 1), OutputTokens: 10})
	}
	engines.tick()
	engines.crash(endpointName(0))
	engines.crash(endpointName(1))
	require.Len(t, engines.pool.Suspects(engines.now), 8)
	engines.crash(endpointName(2))
	require.Empty(t, engines.pool.Suspects(engines.now))
}

func TestSuspectsOfAnotherHostAreMerged(t *testing.T) {
	pool := &Pool{}
	pool.AddSuspects(0, []Suspect{{Member: "m", Fingerprint: 7, Crashes: 2, ExpiresIn: bvclock.Minute}})
	pool.AddSuspects(0, []Suspect{{Member: "m", Fingerprint: 7, Crashes: 1, ExpiresIn: bvclock.Hour}})
	require.Equal(t, []Suspect{{Member: "m", Fingerprint: 7, Crashes: 2, ExpiresIn: bvclock.Minute}}, pool.Suspects(0))
	pool.Tick(bvclock.Time(bvclock.Minute))
	require.Empty(t, pool.Suspects(bvclock.Time(bvclock.Minute)))
}

func TestMemberCannotFillTheTableOfSuspects(t *testing.T) {
	pool := &Pool{}
	pool.AddSuspects(0, []Suspect{{Member: "other", Fingerprint: 7, Crashes: 1, ExpiresIn: bvclock.Minute}})
	for i := range 3 * maxSuspicions {
		pool.AddSuspects(0, []Suspect{{Member: "m", Fingerprint: uint64(i + 1), Crashes: 1, ExpiresIn: bvclock.Minute}})
	}
	require.Len(t, pool.Suspects(0), maxSuspicions+1)
}
