package bvgate

import "balsamvalve.example/bvclock"

// releaseRetryInterval is how often a Release is repeated until it is confirmed.
const releaseRetryInterval = bvclock.Second

// programTTL is how long a program without calls is remembered.
const programTTL = bvclock.Hour

type programKey struct {
	member string
	name   string
}

// program is the state of a program that waits, runs or is cached.
type program struct {
	key           programKey
	firstSeen     bvclock.Time // arrival of its first request in this pool
	openRequests  int          // waiting or running
	ended         bool
	paused        bool    // for at least minLongPause
	historyTokens int     // tokens of its last call
	memory        float64 // counted in Pool.memory
	prefixes      []*cachedPrefix
	timer         timer // set while no call waits or runs
}

// fire releases a program that has had no requests for programTTL. Its owner and caller
// may have crashed, and its cache and state would be retained permanently. If the
// program resumes, its history is prefilled again.
func (program *program) fire(pool *Pool, now bvclock.Time) {
	for _, prefix := range program.prefixes {
		pool.releasePrefix(now, prefix)
	}
}

// cachedPrefix is the estimated copy of a program's prefix on an endpoint that ran the
// program. It is retained after an eviction, because the endpoint may still hold what
// this model assumes evicted: an ended program is released everywhere.
type cachedPrefix struct {
	program  *program
	endpoint *endpoint
	tokens   int
	pins     int // calls that use it
	usedAt   bvclock.Time
	previous *cachedPrefix // in the endpoint's eviction list, from the least recently used
	next     *cachedPrefix
	inCache  bool // is in the endpoint's eviction list

	timer timer // set while a Release is unconfirmed
}

func (pool *Pool) program(now bvclock.Time, member, name string) *program {
	key := programKey{member: member, name: name}
	found := pool.programs[key]
	if found != nil {
		return found
	}
	found = &program{key: key, firstSeen: now}
	if name == "" {
		return found
	}
	if pool.programs == nil {
		pool.programs = make(map[programKey]*program)
	}
	pool.programs[key] = found
	return found
}

func (program *program) prefixAt(target *endpoint) *cachedPrefix {
	for _, prefix := range program.prefixes {
		if prefix.endpoint == target {
			return prefix
		}
	}
	return nil
}

// addPrefix returns the program's prefix on an endpoint, and adds it if needed.
func (program *program) addPrefix(target *endpoint) *cachedPrefix {
	found := program.prefixAt(target)
	if found == nil {
		found = &cachedPrefix{program: program, endpoint: target}
		program.prefixes = append(program.prefixes, found)
		target.addPrefix(found)
	}
	return found
}

// forgetPrefix deletes a prefix, and the program with its last one.
func (pool *Pool) forgetPrefix(forgotten *cachedPrefix) {
	pool.stopTimer(&forgotten.timer)
	forgotten.endpoint.cache.remove(forgotten)
	delete(forgotten.endpoint.prefixes, forgotten.program.key)
	kept := forgotten.program.prefixes[:0]
	for _, prefix := range forgotten.program.prefixes {
		if prefix != forgotten {
			kept = append(kept, prefix)
		}
	}
	forgotten.program.prefixes = kept
	pool.cleanUpProgram(forgotten.program)
}

func (pool *Pool) cleanUpProgram(dropped *program) {
	pool.countMemory(dropped)
	if dropped.openRequests == 0 && len(dropped.prefixes) > 0 && !dropped.ended {
		pool.setTimer(&dropped.timer, pool.now.Add(programTTL), dropped)
	}
	if dropped.openRequests == 0 && len(dropped.prefixes) == 0 {
		pool.stopTimer(&dropped.timer)
		delete(pool.programs, dropped.key)
	}
}

// cachedTokens is the length of the longest prefix that an endpoint caches.
func (program *program) cachedTokens() int {
	cached := 0
	for _, prefix := range program.prefixes {
		cached = max(cached, prefix.tokens)
	}
	return cached
}

// learnHistory records where the program's last turn ran, as its owner reports it. A
// host that has just started to decide for the pool does not know it.
func (pool *Pool) learnHistory(queued *request) {
	target := pool.endpoints[queued.HistoryEndpoint]
	if target == nil || target.removed || len(queued.program.prefixes) > 0 || queued.program.key.name == "" {
		return
	}
	prefix := queued.program.addPrefix(target)
	prefix.tokens = min(queued.HistoryTokens, target.report.CacheTokens)
	target.cache.add(queued.submittedAt, prefix)
	pool.evict(queued.submittedAt, target)
	pool.refreshEndpoint(target)
}

// EndProgram releases the cached prefixes of a program that has ended.
func (pool *Pool) EndProgram(now bvclock.Time, member, program string) {
	ended := pool.programs[programKey{member: member, name: program}]
	if ended == nil {
		return
	}
	ended.ended = true
	for _, prefix := range ended.prefixes {
		pool.releasePrefix(now, prefix)
	}
}

// EndProgramAt is EndProgram for a program that may have run on the given endpoints
// before this pool knew of it: a host that has just started to decide for the pool
// knows no program, but the owner's record contains the endpoints.
func (pool *Pool) EndProgramAt(now bvclock.Time, member, program string, endpoints []string) {
	for _, endpoint := range endpoints {
		pool.program(now, member, program).addPrefix(pool.endpointNamed(now, endpoint))
	}
	pool.EndProgram(now, member, program)
}

// releasePrefix requests the release of a prefix from its endpoint until it is
// confirmed.
func (pool *Pool) releasePrefix(now bvclock.Time, released *cachedPrefix) {
	if released.timer.index == 0 {
		pool.setTimer(&released.timer, now, released)
	}
}

// fire repeats the Release. An endpoint that left the list may still hold the cache:
// the Release continues when it returns with the same incarnation.
func (prefix *cachedPrefix) fire(pool *Pool, now bvclock.Time) {
	pool.setTimer(&prefix.timer, now.Add(releaseRetryInterval), prefix)
	if prefix.endpoint.removed {
		return
	}
	pool.effects = append(pool.effects, Release{
		Endpoint: prefix.endpoint.name(),
		Member:   prefix.program.key.member,
		Program:  prefix.program.key.name,
	})
}

// ConfirmRelease reports that an endpoint has dropped a program's cached prefix.
func (pool *Pool) ConfirmRelease(_ bvclock.Time, endpoint, member, program string) {
	released := pool.programs[programKey{member: member, name: program}]
	target := pool.endpoints[endpoint]
	if released == nil || target == nil {
		return
	}
	done := released.prefixAt(target)
	if done == nil || done.timer.index == 0 {
		return
	}
	if done.pins > 0 {
		// The call that runs there fills the cache again; the release restarts when it
		// ends.
		pool.stopTimer(&done.timer)
		return
	}
	pool.forgetPrefix(done)
	pool.refreshEndpoint(target)
}
