package bvmodel

import (
	"math"

	"balsamvalve.example/bvclock"
)

// runUntil carries out all changes up to now, each at its exact time. A change
// that is due later by an arithmetic error counts as due: Next has rounded it
// down to now, and its user would ask for the same time again without end.
func (engine *Engine) runUntil(now float64) {
	for {
		at, call := engine.nextChange()
		if at > now+arithmeticError {
			break
		}
		engine.flow(at)
		engine.change(call)
	}
	if now > engine.now {
		engine.flow(now)
	}
}

// flow moves prefill and decode on to a time, up to which nothing changes.
func (engine *Engine) flow(to float64) {
	passed := to - engine.now
	engine.now = to
	if passed <= 0 {
		return
	}
	decoded := passed * engine.decodeRate()
	engine.decoded += decoded
	for _, call := range engine.batch {
		if call.decoding {
			engine.servedTo(call.Salt).Decoded += decoded
		}
	}
	if at := engine.prefilling(); at >= 0 {
		prefilled := passed * engine.prefillRate()
		engine.batch[at].prefill -= prefilled
		engine.servedTo(engine.batch[at].Salt).Prefilled += prefilled
	}
}

func (engine *Engine) servedTo(salt string) *Served {
	served := engine.served[salt]
	if served == nil {
		if engine.served == nil {
			engine.served = make(map[string]*Served)
		}
		served = &Served{}
		engine.served[salt] = served
	}
	return served
}

// change ends the prefill or the decode of a call.
func (engine *Engine) change(at int) {
	call := engine.batch[at]
	if !call.decoding {
		call.decoding = true
		call.prefill = 0
		call.finishAt = engine.decoded + float64(call.output()-1)
		engine.emit(Event{Kind: FirstToken, Call: call.ID, CachedTokens: call.cached, Salt: call.Salt, Prefix: call.Prefix})
		return
	}
	engine.leave(at, call.PromptTokens+call.output())
	engine.emit(Event{Kind: Finished, Call: call.ID, CachedTokens: call.cached,
		OutputTokens: call.output(), Salt: call.Salt, Prefix: call.Prefix})
	engine.admit()
}

// nextChange returns when the next prefill or decode ends, and whose.
func (engine *Engine) nextChange() (float64, int) {
	soonest, which := math.Inf(1), -1
	if at := engine.prefilling(); at >= 0 {
		soonest, which = engine.now+max(0, engine.batch[at].prefill)/engine.prefillRate(), at
	}
	rate := engine.decodeRate()
	for at, call := range engine.batch {
		if !call.decoding {
			continue
		}
		if finish := engine.now + max(0, call.finishAt-engine.decoded)/rate; finish < soonest {
			soonest, which = finish, at
		}
	}
	return soonest, which
}

// prefilling returns the place of the call that is being prefilled, or -1.
func (engine *Engine) prefilling() int {
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
	return engine.config.PrefillTokensPerSecond / millisecondsASecond
}

func (engine *Engine) decodeRate() float64 {
	others := float64(max(len(engine.batch)-1, 0))
	return engine.config.DecodeTokensPerSecond / millisecondsASecond / (1 + engine.config.Slowdown*others)
}

func (engine *Engine) emit(event Event) {
	event.At = roundUp(engine.now)
	engine.events = append(engine.events, event)
}

func roundUp(at float64) bvclock.Time {
	return bvclock.Time(math.Ceil(at - arithmeticError))
}
