package bvgate

import "balsamvalve.example/bvclock"

// releaseInterval is how often a Release is repeated until it is confirmed.
const releaseInterval = bvclock.Second

// programKept is how long a program without calls is remembered.
const programKept = bvclock.Hour

type programKey struct {
	member string
	name   string
}

// program is what the pool knows of a program that waits, runs or is cached.
type program struct {
	key     programKey
	firstAt bvclock.Time // of its first request that the pool saw
	open    int          // requests that wait or run
	ended   bool
	away    bool    // pauses for long
	history int     // tokens, of its last call
	memory  float64 // counted in pool.memory
	sites   []*site
	timer   timer // set while no call of it waits or runs
}

// ring releases a program that nobody asked for in a long time. Its owner and
// caller may have died: it shows as cache that is held for good, and as a row
// that never goes. If it comes back, its history is prefilled again.
func (program *program) ring(pool *Pool, now bvclock.Time) {
	for _, site := range program.sites {
		pool.release(now, site)
	}
}

// site is an endpoint that ran a program, and what it is thought to cache of
// it. It is kept after an eviction too, because the endpoint may still hold
// what this model takes for evicted: an ended program is released everywhere.
type site struct {
	program  *program
	endpoint *endpoint
	tokens   int
	pins     int // calls that run here
	usedAt   bvclock.Time
	previous *site // in the endpoint's cache, from the least recently used
	next     *site
	cached   bool // is in the endpoint's cache list

	timer timer // set while a Release is not confirmed
}

func (pool *Pool) program(now bvclock.Time, member, name string) *program {
	key := programKey{member: member, name: name}
	found := pool.programs[key]
	if found != nil {
		return found
	}
	found = &program{key: key, firstAt: now}
	if name == "" {
		return found
	}
	if pool.programs == nil {
		pool.programs = make(map[programKey]*program)
	}
	pool.programs[key] = found
	return found
}

func (program *program) site(at *endpoint) *site {
	for _, site := range program.sites {
		if site.endpoint == at {
			return site
		}
	}
	return nil
}

// visit returns the program's site at an endpoint, a new one if need be.
func (program *program) visit(at *endpoint) *site {
	found := program.site(at)
	if found == nil {
		found = &site{program: program, endpoint: at}
		program.sites = append(program.sites, found)
		at.visit(found)
	}
	return found
}

// forget drops a site, and the program with its last one.
func (pool *Pool) forget(gone *site) {
	pool.stopTimer(&gone.timer)
	gone.endpoint.cache.remove(gone)
	delete(gone.endpoint.sites, gone.program.key)
	kept := gone.program.sites[:0]
	for _, site := range gone.program.sites {
		if site != gone {
			kept = append(kept, site)
		}
	}
	gone.program.sites = kept
	pool.dropProgram(gone.program)
}

func (pool *Pool) dropProgram(dropped *program) {
	pool.countMemory(dropped)
	if dropped.open == 0 && len(dropped.sites) > 0 && !dropped.ended {
		pool.setTimer(&dropped.timer, pool.now.Add(programKept), dropped)
	}
	if dropped.open == 0 && len(dropped.sites) == 0 {
		pool.stopTimer(&dropped.timer)
		delete(pool.programs, dropped.key)
	}
}

// cachedTokens is the longest prefix that an endpoint caches.
func (program *program) cachedTokens() int {
	cached := 0
	for _, site := range program.sites {
		cached = max(cached, site.tokens)
	}
	return cached
}

// learnHistory takes over where the program's last turn ran, as its owner
// knows: a host that has just begun to decide for the pool does not.
func (pool *Pool) learnHistory(queued *request) {
	at := pool.endpoints[queued.HistoryEndpoint]
	if at == nil || at.gone || len(queued.program.sites) > 0 || queued.program.key.name == "" {
		return
	}
	site := queued.program.visit(at)
	site.tokens = min(queued.HistoryTokens, at.report.CacheTokens)
	at.cache.add(queued.askedAt, site)
	pool.shrink(queued.askedAt, at)
	pool.seat(at)
}

// EndProgram releases what endpoints cache for a program that has ended.
func (pool *Pool) EndProgram(now bvclock.Time, member, program string) {
	ended := pool.programs[programKey{member: member, name: program}]
	if ended == nil {
		return
	}
	ended.ended = true
	for _, site := range ended.sites {
		pool.release(now, site)
	}
}

// EndProgramAt is EndProgram for a program that may have run on the given
// endpoints before this pool knew of it: a host that has just begun to decide
// for the pool knows no program, but the owner's record names its endpoints.
func (pool *Pool) EndProgramAt(now bvclock.Time, member, program string, endpoints []string) {
	for _, endpoint := range endpoints {
		pool.program(now, member, program).visit(pool.endpointOf(now, endpoint))
	}
	pool.EndProgram(now, member, program)
}

// release asks the endpoint to drop what it caches, until it confirms.
func (pool *Pool) release(now bvclock.Time, released *site) {
	if released.timer.index == 0 {
		pool.setTimer(&released.timer, now, released)
	}
}

// ring repeats the Release. An endpoint that left the list may still hold the
// cache: it is asked again when it is back with the same incarnation.
func (site *site) ring(pool *Pool, now bvclock.Time) {
	pool.setTimer(&site.timer, now.Add(releaseInterval), site)
	if site.endpoint.gone {
		return
	}
	pool.effects = append(pool.effects, Release{
		Endpoint: site.endpoint.name(),
		Member:   site.program.key.member,
		Program:  site.program.key.name,
	})
}

// ConfirmRelease reports that an endpoint has dropped what it cached for a
// program.
func (pool *Pool) ConfirmRelease(_ bvclock.Time, endpoint, member, program string) {
	released := pool.programs[programKey{member: member, name: program}]
	at := pool.endpoints[endpoint]
	if released == nil || at == nil {
		return
	}
	done := released.site(at)
	if done == nil || done.timer.index == 0 {
		return
	}
	if done.pins > 0 {
		// The call that runs there fills the cache again: its end starts the
		// release anew.
		pool.stopTimer(&done.timer)
		return
	}
	pool.forget(done)
	pool.seat(at)
}
