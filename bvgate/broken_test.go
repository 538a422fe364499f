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

// verdict records what rapid reports, in place of a testing.T.
type verdict struct {
	*testing.T
	failed bool
	text   string
}

func (verdict *verdict) Errorf(format string, args ...any) {
	verdict.failed = true
	verdict.text += fmt.Sprintf(format, args...)
}

func (verdict *verdict) Fatalf(format string, args ...any) {
	verdict.Errorf(format, args...)
	runtime.Goexit()
}

func (verdict *verdict) FailNow()            { verdict.failed = true; runtime.Goexit() }
func (verdict *verdict) Fail()               { verdict.failed = true }
func (verdict *verdict) Failed() bool        { return verdict.failed }
func (verdict *verdict) Logf(string, ...any) {}
func (verdict *verdict) Log(...any)          {}

// requireCaught runs the oracle with the given text over a broken pool and
// wants it to fail.
func requireCaught(t *testing.T, text string, broken func(pool *Pool) decider) {
	t.Helper()
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	require.NoError(t, flag.Set("rapid.shrinktime", "0s"))
	require.NoError(t, flag.Set("rapid.checks", "2000"))
	defer func() { require.NoError(t, flag.Set("rapid.checks", machineChecks)) }()
	caught := &verdict{T: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(caught, promises(text, broken))
	}()
	<-done
	require.True(t, caught.failed, "no oracle noticed")
	require.Contains(t, caught.text, text)
}

// tampered breaks a Pool by changing what goes in or out.
type tampered struct {
	*Pool
	report func(*EndpointReport)
	ask    func(*Request)
	finish func(*Finish)
	effect func(Effect) []Effect
	deaf   bool // to reports of used permits
}

func (tampered tampered) UpdateEndpoint(now bvclock.Time, report EndpointReport) {
	if tampered.report != nil {
		tampered.report(&report)
	}
	tampered.Pool.UpdateEndpoint(now, report)
}

func (tampered tampered) Submit(now bvclock.Time, request Request) {
	if tampered.ask != nil {
		tampered.ask(&request)
	}
	tampered.Pool.Submit(now, request)
}

func (tampered tampered) MarkUsed(now bvclock.Time, id RequestID) bool {
	return !tampered.deaf && tampered.Pool.MarkUsed(now, id)
}

func (tampered tampered) Finish(now bvclock.Time, finish Finish) {
	if tampered.finish != nil {
		tampered.finish(&finish)
	}
	tampered.Pool.Finish(now, finish)
}

func (tampered tampered) Tick(now bvclock.Time) []Effect {
	effects := tampered.Pool.Tick(now)
	if tampered.effect == nil {
		return effects
	}
	var changed []Effect
	for _, effect := range effects {
		changed = append(changed, tampered.effect(effect)...)
	}
	return changed
}

func TestOracleCatchesOneSlotTooMany(t *testing.T) {
	requireCaught(t, "slots and is granted", func(pool *Pool) decider {
		return tampered{Pool: pool, report: func(report *EndpointReport) { report.Slots++ }}
	})
}

func TestOracleCatchesForgottenCalls(t *testing.T) {
	requireCaught(t, "slots and is granted", func(pool *Pool) decider {
		return tampered{Pool: pool, deaf: true}
	})
}

func TestOracleCatchesGrantToLeavingEndpoint(t *testing.T) {
	requireCaught(t, "leaving or gone", func(pool *Pool) decider {
		return tampered{Pool: pool, report: func(report *EndpointReport) { report.Leaving = false }}
	})
}

func TestOracleCatchesSecondGrantOfUnrepeatableRequest(t *testing.T) {
	requireCaught(t, "granted twice", func(pool *Pool) decider {
		return tampered{
			Pool: pool,
			ask:  func(request *Request) { request.Unrepeatable = false },
			effect: func(effect Effect) []Effect {
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
		return tampered{Pool: pool, effect: func(effect Effect) []Effect {
			if refusal, ok := effect.(Refusal); ok {
				refusal.Err = bvverdict.Refuse(bvverdict.Internal, "")
				return []Effect{refusal}
			}
			return []Effect{effect}
		}}
	})
}

func TestOracleCatchesSuspectInCompany(t *testing.T) {
	requireCaught(t, "suspect", func(pool *Pool) decider {
		return tampered{Pool: pool, ask: func(request *Request) { request.Fingerprint = 0 }}
	})
}

func TestOracleCatchesPoisonGrantedAgain(t *testing.T) {
	requireCaught(t, "poisonous", func(pool *Pool) decider {
		return tampered{Pool: pool, finish: func(finish *Finish) {
			for _, suspicion := range pool.suspicions {
				suspicion.crashes = 1
			}
		}}
	})
}

func TestOracleCatchesLostRelease(t *testing.T) {
	requireCaught(t, "still caches ended program", func(pool *Pool) decider {
		return tampered{Pool: pool, effect: func(effect Effect) []Effect {
			if _, ok := effect.(Release); ok {
				return nil
			}
			return []Effect{effect}
		}}
	})
}

func TestOracleCatchesLostAnswer(t *testing.T) {
	requireCaught(t, "never answered", func(pool *Pool) decider {
		return tampered{Pool: pool, effect: func(effect Effect) []Effect {
			if _, ok := effect.(Refusal); ok {
				return nil
			}
			return []Effect{effect}
		}}
	})
}

func TestOracleCatchesSecondAnswer(t *testing.T) {
	requireCaught(t, "answered 2 times", func(pool *Pool) decider {
		return tampered{Pool: pool, effect: func(effect Effect) []Effect { return []Effect{effect, effect} }}
	})
}

func TestOracleOfSharesCatchesForgottenWeights(t *testing.T) {
	engines := newEngines(8, 8)
	require.Greater(t, shareError(engines, 3, func(weights []MemberShare) {}), 0.05)
}
