package bvgate

import (
	"flag"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// recordingT records the failures that rapid reports, in place of a testing.T.
type recordingT struct {
	*testing.T
	failed bool
	output string
}

func (recording *recordingT) Errorf(format string, args ...any) {
	recording.failed = true
	recording.output += fmt.Sprintf(format, args...)
}

func (recording *recordingT) Fatalf(format string, args ...any) {
	recording.Errorf(format, args...)
	runtime.Goexit()
}

func (recording *recordingT) FailNow()            { recording.failed = true; runtime.Goexit() }
func (recording *recordingT) Fail()               { recording.failed = true }
func (recording *recordingT) Failed() bool        { return recording.failed }
func (recording *recordingT) Logf(string, ...any) {}
func (recording *recordingT) Log(...any)          {}

// requireCaught runs the oracle with the given text over a faulty pool and requires
// that the oracle fails.
func requireCaught(t *testing.T, text string, broken func(pool *Pool) decider) {
	t.Helper()
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	require.NoError(t, flag.Set("rapid.shrinktime", "0s"))
	require.NoError(t, flag.Set("rapid.checks", "2000"))
	defer func() { require.NoError(t, flag.Set("rapid.checks", machineChecks)) }()
	caught := &recordingT{T: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(caught, checkInvariants(text, broken))
	}()
	<-done
	require.True(t, caught.failed, "no oracle noticed")
	require.Contains(t, caught.output, text)
}

// faultyPool injects a fault by changing the inputs or effects of a Pool.
type faultyPool struct {
	*Pool
	changeReport  func(*EndpointReport)
	changeRequest func(*Request)
	changeFinish  func(*Finish)
	changeEffect  func(Effect) []Effect
	ignoresUsed   bool // drops MarkUsed
}

func (faulty faultyPool) UpdateEndpoint(now bvclock.Time, report EndpointReport) {
	if faulty.changeReport != nil {
		faulty.changeReport(&report)
	}
	faulty.Pool.UpdateEndpoint(now, report)
}

func (faulty faultyPool) Submit(now bvclock.Time, request Request) {
	if faulty.changeRequest != nil {
		faulty.changeRequest(&request)
	}
	faulty.Pool.Submit(now, request)
}

func (faulty faultyPool) MarkUsed(now bvclock.Time, id RequestID) bool {
	return !faulty.ignoresUsed && faulty.Pool.MarkUsed(now, id)
}

func (faulty faultyPool) Finish(now bvclock.Time, finish Finish) {
	if faulty.changeFinish != nil {
		faulty.changeFinish(&finish)
	}
	faulty.Pool.Finish(now, finish)
}

func (faulty faultyPool) Tick(now bvclock.Time) []Effect {
	effects := faulty.Pool.Tick(now)
	if faulty.changeEffect == nil {
		return effects
	}
	var changed []Effect
	for _, effect := range effects {
		changed = append(changed, faulty.changeEffect(effect)...)
	}
	return changed
}

func TestOracleCatchesOneSlotTooMany(t *testing.T) {
	requireCaught(t, "slots and is granted", func(pool *Pool) decider {
		return faultyPool{Pool: pool, changeReport: func(report *EndpointReport) { report.Slots++ }}
	})
}

func TestOracleCatchesUncountedCalls(t *testing.T) {
	requireCaught(t, "slots and is granted", func(pool *Pool) decider {
		return faultyPool{Pool: pool, ignoresUsed: true}
	})
}

func TestOracleCatchesGrantToLeavingEndpoint(t *testing.T) {
	requireCaught(t, "leaving or gone", func(pool *Pool) decider {
		return faultyPool{Pool: pool, changeReport: func(report *EndpointReport) { report.Leaving = false }}
	})
}

func TestOracleCatchesSecondGrantOfUnrepeatableRequest(t *testing.T) {
	requireCaught(t, "granted twice", func(pool *Pool) decider {
		return faultyPool{
			Pool:          pool,
			changeRequest: func(request *Request) { request.Unrepeatable = false },
			changeEffect: func(effect Effect) []Effect {
				if refusal, ok := effect.(Refusal); ok {
					refusal.Err = bvverdict.New(bvverdict.MayHaveRun, bvverdict.Internal, "")
					return []Effect{refusal}
				}
				return []Effect{effect}
			},
		}
	})
}

func TestOracleCatchesFalseVerdictOfARefusal(t *testing.T) {
	requireCaught(t, "refused as not run", func(pool *Pool) decider {
		return faultyPool{Pool: pool, changeEffect: func(effect Effect) []Effect {
			if refusal, ok := effect.(Refusal); ok {
				refusal.Err = bvverdict.Refuse(bvverdict.Internal, "")
				return []Effect{refusal}
			}
			return []Effect{effect}
		}}
	})
}

func TestOracleCatchesSuspectBesideOtherCalls(t *testing.T) {
	requireCaught(t, "suspect", func(pool *Pool) decider {
		return faultyPool{Pool: pool, changeRequest: func(request *Request) { request.Fingerprint = 0 }}
	})
}

func TestOracleCatchesPoisonGrantedAgain(t *testing.T) {
	requireCaught(t, "poisonous", func(pool *Pool) decider {
		return faultyPool{Pool: pool, changeFinish: func(finish *Finish) {
			for _, suspicion := range pool.suspicions {
				suspicion.crashes = 1
			}
		}}
	})
}

func TestOracleCatchesLostRelease(t *testing.T) {
	requireCaught(t, "still caches ended program", func(pool *Pool) decider {
		return faultyPool{Pool: pool, changeEffect: func(effect Effect) []Effect {
			if _, ok := effect.(Release); ok {
				return nil
			}
			return []Effect{effect}
		}}
	})
}

func TestOracleCatchesLostAnswer(t *testing.T) {
	requireCaught(t, "never answered", func(pool *Pool) decider {
		return faultyPool{Pool: pool, changeEffect: func(effect Effect) []Effect {
			if _, ok := effect.(Refusal); ok {
				return nil
			}
			return []Effect{effect}
		}}
	})
}

func TestOracleCatchesSecondAnswer(t *testing.T) {
	requireCaught(t, "answered 2 times", func(pool *Pool) decider {
		return faultyPool{Pool: pool, changeEffect: func(effect Effect) []Effect { return []Effect{effect, effect} }}
	})
}

func TestOracleOfSharesCatchesIgnoredWeights(t *testing.T) {
	engines := newEngines(8, 8)
	require.Greater(t, shareError(engines, 3, func(weights []MemberShare) {}), 0.05)
}
