package bvmodel

import (
	"math"

	"balsamvalve.example/bvclock"
)

// advanceThrough ends all phases that are due up to now, each at its exact time. A
// phase end that is later by up to arithmeticError counts as due: Next has rounded it
// down to now, and otherwise the caller would advance to the same time in an
// endless loop.
func (engine *Engine) advanceThrough(now float64) {
	for {
		at, call := engine.nextPhaseEnd()
		if at > now+arithmeticError {
			break
		}
		engine.advanceTo(at)
		engine.endPhase(call)
	}
	if now > engine.now {
		engine.advanceTo(now)
	}
}

// advanceTo progresses prefill and decode to a time. No phase may end before it.
func (engine *Engine) advanceTo(to float64) {
	passed := to - engine.now
	engine.now = to
	if passed <= 0 {
		return
	}
	decoded := passed * engine.decodeRate()
	engine.decoded += decoded
	for _, call := range engine.batch {
		if call.decoding {
			engine.serviceCounter(call.Salt).Decoded += decoded
		}
	}
	if at := engine.prefillingIndex(); at >= 0 {
		prefilled := passed * engine.prefillRate()
		engine.batch[at].unprefilled -= prefilled
		engine.serviceCounter(engine.batch[at].Salt).Prefilled += prefilled
	}
}

func (engine *Engine) serviceCounter(salt string) *Service {
	served := engine.service[salt]
	if served == nil {
		if engine.service == nil {
			engine.service = make(map[string]*Service)
		}
		served = &Service{}
		engine.service[salt] = served
	}
	return served
}

// endPhase ends the prefill or the decode of a call.
func (engine *Engine) endPhase(at int) {
	call := engine.batch[at]
	if !call.decoding {
		call.decoding = true
		call.unprefilled = 0
		call.finishDecoded = engine.decoded + float64(call.outputTokens()-1)
		engine.emit(Event{Kind: FirstToken, Call: call.ID, CachedTokens: call.cached, Salt: call.Salt, Prefix: call.Prefix})
		return
	}
	engine.removeFromBatch(at, call.PromptTokens+call.outputTokens())
	engine.emit(Event{Kind: Finished, Call: call.ID, CachedTokens: call.cached,
		OutputTokens: call.outputTokens(), Salt: call.Salt, Prefix: call.Prefix})
	engine.admit()
}

// nextPhaseEnd returns the time at which the next prefill or decode ends, and the
// batch index of its call, or -1.
func (engine *Engine) nextPhaseEnd() (float64, int) {
	soonest, which := math.Inf(1), -1
	if at := engine.prefillingIndex(); at >= 0 {
		soonest, which = engine.now+max(0, engine.batch[at].unprefilled)/engine.prefillRate(), at
	}
	rate := engine.decodeRate()
	for at, call := range engine.batch {
		if !call.decoding {
			continue
		}
		if finish := engine.now + max(0, call.finishDecoded-engine.decoded)/rate; finish < soonest {
			soonest, which = finish, at
		}
	}
	return soonest, which
}

// prefillingIndex returns the batch index of the call that is being prefilled, or -1.
func (engine *Engine) prefillingIndex() int {
	best := -1
	for at, call := range engine.batch {
		if call.decoding {
			continue
		}
		if best < 0 || call.Priority > engine.batch[best].Priority {
			best = at
		}
	}
	return best
}

func (engine *Engine) prefillRate() float64 {
	return engine.config.PrefillTokensPerSecond / millisecondsPerSecond
}

func (engine *Engine) decodeRate() float64 {
	others := float64(max(len(engine.batch)-1, 0))
	return engine.config.DecodeTokensPerSecond / millisecondsPerSecond / (1 + engine.config.Slowdown*others)
}

func (engine *Engine) emit(event Event) {
	event.At = roundUp(engine.now)
	engine.events = append(engine.events, event)
}

func roundUp(at float64) bvclock.Time {
	return bvclock.Time(math.Ceil(at - arithmeticError))
}
