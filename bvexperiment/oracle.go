package bvexperiment

// oracle knows what no policy of the product can know.
type oracle interface {
	// remaining returns the seconds of service that a program still needs.
	remaining(program string) float64
	// cached returns what an endpoint has cached for a program right now.
	cached(endpoint, member, program string) int
	// prefillSeconds is how long an endpoint takes to prefill tokens.
	prefillSeconds(tokens int) float64
	// freeMemory is the part of an endpoint's memory that holds nothing.
	freeMemory(endpoint string) float64
}

// clairvoyantPolicy is a Policy that is told the future.
type clairvoyantPolicy interface {
	foresee(oracle oracle)
}

// remaining implements oracle.
func (simulation *simulation) remaining(key string) float64 {
	program := simulation.programs[key]
	if program == nil {
		return 0
	}
	return program.seconds(simulation.scenario.pool.config, program.at)
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
