package bvexperiment

// oracle provides data that no policy of the product can have.
type oracle interface {
	// remaining returns the seconds of service that a program still needs.
	remaining(program string) float64
	// cached returns how many tokens an endpoint currently has cached for a program.
	cached(endpoint, member, program string) int
	// prefillSeconds returns how long an endpoint takes to prefill tokens.
	prefillSeconds(tokens int) float64
	// freeMemory returns the unused fraction of an endpoint's memory.
	freeMemory(endpoint string) float64
}

// clairvoyantPolicy is a Policy that has access to the oracle.
type clairvoyantPolicy interface {
	setOracle(oracle oracle)
}

// remaining implements oracle.
func (simulation *simulation) remaining(key string) float64 {
	program := simulation.programs[key]
	if program == nil {
		return 0
	}
	return program.seconds(simulation.scenario.pool.config, program.stepIndex)
}

// cached implements oracle.
func (simulation *simulation) cached(endpoint, member, program string) int {
	return simulation.byName[endpoint].model.CachedPrefixTokens(member, program)
}

// prefillSeconds implements oracle.
func (simulation *simulation) prefillSeconds(tokens int) float64 {
	return float64(tokens) / simulation.scenario.pool.config.PrefillTokensPerSecond
}

// freeMemory implements oracle.
func (simulation *simulation) freeMemory(endpoint string) float64 {
	return simulation.byName[endpoint].model.FreeMemory()
}
