package bvmodel

// Config returns the engine's configuration with defaults filled in.
func (engine *Engine) Config() Config { return engine.config }

// RunningCalls returns the number of calls in the batch.
func (engine *Engine) RunningCalls() int { return len(engine.batch) }

// WaitingCalls returns the number of calls that have no slot yet.
func (engine *Engine) WaitingCalls() int { return len(engine.waiting) }

// PrefilledTokens returns how many tokens were prefilled so far, and how many
// of them were history of a program that was not in the cache.
func (engine *Engine) PrefilledTokens() (all, repeated float64) {
	return engine.prefilled, engine.recomputed
}

// MemberService returns the service that all calls of a salt have received so far.
func (engine *Engine) MemberService(salt string) Service {
	if served := engine.served[salt]; served != nil {
		return *served
	}
	return Service{}
}

// CallService returns the service that a running call has received so far.
func (engine *Engine) CallService(id CallID) Service {
	for _, call := range engine.batch {
		if call.ID == id {
			return Service{
				Prefilled: float64(max(call.PromptTokens-call.cached, 0)) - call.unprefilled,
				Decoded:   call.decodedTokens(engine.decoded),
			}
		}
	}
	return Service{}
}

// CachedPrefixTokens returns how many tokens are cached for a program that has no call
// running here.
func (engine *Engine) CachedPrefixTokens(salt, prefix string) int {
	cached := engine.cache.get(prefixKey{salt, prefix})
	if cached == nil {
		return 0
	}
	return cached.tokens
}

// CachedTokens returns how many tokens of memory hold prefixes of programs
// that have no call running here.
func (engine *Engine) CachedTokens() int { return engine.cache.tokens }

// FreeMemory returns the part of the memory that holds neither running calls
// nor cached prefixes.
func (engine *Engine) FreeMemory() float64 {
	used := engine.memory + engine.cache.tokens
	return 1 - float64(used)/float64(engine.config.CacheTokens)
}

// ProducedTokens returns how many tokens of a running call are out by the time of
// the last method call.
func (engine *Engine) ProducedTokens(id CallID) int {
	for _, call := range engine.batch {
		if call.ID == id && call.decoding {
			return 1 + int(call.decodedTokens(engine.decoded)+arithmeticError)
		}
	}
	return 0
}
