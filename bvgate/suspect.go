package bvgate

import (
	"cmp"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

const (
	// poisonousAt is the number of crashes at which a request is refused.
	poisonousAt = 2
	// suspicionKept is how long a crash is held against a request.
	suspicionKept = bvclock.Hour
	// suspicionLimit bounds a member's suspects; the oldest are forgotten.
	suspicionLimit = 1024
	// isolationPart is the part of the endpoints that suspects may empty at a
	// time; one endpoint at least.
	isolationPart = 16
	// suspectsWeighed bounds the work of a Tick when many suspects wait.
	suspectsWeighed = 8
	// zoneWindow and zoneCrashes tell the crash of a zone from a poisonous
	// request, which crashes one endpoint after the other: in the window so
	// many endpoints crashed, and half of the zone's at least.
	zoneWindow  = 10 * bvclock.Second
	zoneCrashes = 3
)

type suspectKey struct {
	member      string
	fingerprint uint64
}

// suspicion is a request content that was in flight when an endpoint crashed.
//
// It guards against a request that crashes each endpoint that runs it while
// its caller sends it again: the suspect runs with nothing beside it, so that
// no other call dies with it, and is refused after its second crash. One that
// finishes is cleared.
type suspicion struct {
	key     suspectKey
	crashes int
	timer   timer
}

// Suspect is a suspicion in a form that hosts can tell each other.
type Suspect struct {
	Member      string
	Fingerprint uint64
	Crashes     int
	Left        bvclock.Duration // until it is forgotten
}

// zone is what crashed lately in an availability zone.
type zone struct {
	crashed   []zoneCrash
	suspected []suspectKey // by these crashes
}

type zoneCrash struct {
	endpoint *endpoint
	at       bvclock.Time
}

func keyOf(request *Request) suspectKey {
	return suspectKey{member: request.Member, fingerprint: request.Fingerprint}
}

// suspicion returns what is held against a request, or nil.
func (pool *Pool) suspicion(request *Request) *suspicion {
	if request.Fingerprint == 0 {
		return nil
	}
	return pool.suspicions[keyOf(request)]
}

func (pool *Pool) poisonous(request *Request) bool {
	found := pool.suspicion(request)
	return found != nil && found.crashes >= poisonousAt
}

func errPoisonous() *bvverdict.Error {
	return bvverdict.Refuse(bvverdict.Poisonous, "endpoints crashed each time that this request ran")
}

// Suspects returns all suspects, sorted by member and fingerprint.
func (pool *Pool) Suspects(now bvclock.Time) []Suspect {
	suspects := make([]Suspect, 0, len(pool.suspicions))
	for key, found := range pool.suspicions {
		suspects = append(suspects, Suspect{
			Member: key.member, Fingerprint: key.fingerprint, Crashes: found.crashes, Left: found.timer.at.Sub(now),
		})
	}
	slices.SortFunc(suspects, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return suspects
}

// AddSuspects learns from another host. The higher number of crashes counts;
// they are not added up, because hosts tell each other of the same crash.
func (pool *Pool) AddSuspects(now bvclock.Time, suspects []Suspect) {
	for _, suspect := range suspects {
		if suspect.Left <= 0 || suspect.Fingerprint == 0 {
			continue
		}
		key := suspectKey{member: suspect.Member, fingerprint: suspect.Fingerprint}
		known := pool.suspicions[key]
		if known != nil && known.crashes >= suspect.Crashes {
			continue
		}
		pool.suspect(now, key, suspect.Crashes, min(suspect.Left, suspicionKept))
	}
}

// suspect records crashes of a request for as long as kept.
func (pool *Pool) suspect(now bvclock.Time, key suspectKey, crashes int, kept bvclock.Duration) {
	found := pool.suspicions[key]
	if found == nil {
		found = &suspicion{key: key}
		if pool.suspicions == nil {
			pool.suspicions = make(map[suspectKey]*suspicion)
		}
		pool.suspicions[key] = found
		pool.boundSuspicions(pool.member(key.member), key)
	}
	found.crashes = crashes
	pool.setTimer(&found.timer, now.Add(kept), found)
}

func (pool *Pool) boundSuspicions(of *member, added suspectKey) {
	of.suspicions = append(of.suspicions, added)
	if len(of.suspicions) <= suspicionLimit {
		return
	}
	if oldest := pool.suspicions[of.suspicions[0]]; oldest != nil {
		pool.clear(oldest)
		return
	}
	of.suspicions = of.suspicions[1:]
}

// ring forgets a suspicion that is old.
func (suspicion *suspicion) ring(pool *Pool, _ bvclock.Time) {
	pool.clear(suspicion)
}

func (pool *Pool) clear(cleared *suspicion) {
	pool.stopTimer(&cleared.timer)
	delete(pool.suspicions, cleared.key)
	of := pool.member(cleared.key.member)
	if at := slices.Index(of.suspicions, cleared.key); at >= 0 {
		of.suspicions = slices.Delete(of.suspicions, at, at+1)
	}
}

// blame makes suspects of all calls in flight at a crash. The first report of
// a crash blames them all; what their owners report later is the same crash.
func (pool *Pool) blame(now bvclock.Time, crashed *call) {
	if crashed.boot == nil || crashed.blamed {
		return
	}
	at := crashed.boot.endpoint
	zone := pool.countCrash(now, at)
	failed := zone != nil && pool.zoneFailed(at.report.Zone, zone)
	for _, call := range crashed.boot.inOrder() {
		call.blamed = true
		if call.request.Fingerprint == 0 || failed {
			continue
		}
		key := keyOf(&call.request)
		crashes := 1
		if known := pool.suspicions[key]; known != nil {
			crashes += known.crashes
		}
		pool.suspect(now, key, crashes, suspicionKept)
		if zone != nil {
			zone.suspected = append(zone.suspected, key)
		}
	}
	if failed {
		pool.pardon(zone)
	}
}

func (boot *boot) inOrder() []*call {
	calls := make([]*call, 0, len(boot.calls))
	for _, call := range boot.calls {
		calls = append(calls, call)
	}
	slices.SortFunc(calls, func(a, b *call) int { return cmp.Compare(a.request.ID, b.request.ID) })
	return calls
}

// countCrash records a crash in the endpoint's zone; nil without a known zone.
func (pool *Pool) countCrash(now bvclock.Time, at *endpoint) *zone {
	name := at.report.Zone
	if name == "" {
		return nil
	}
	found := pool.zones[name]
	if found == nil {
		found = &zone{}
		if pool.zones == nil {
			pool.zones = make(map[string]*zone)
		}
		pool.zones[name] = found
	}
	found.crashed = slices.DeleteFunc(found.crashed, func(crash zoneCrash) bool {
		return crash.endpoint == at || now.Sub(crash.at) > zoneWindow
	})
	if len(found.crashed) == 0 {
		found.suspected = nil
	}
	found.crashed = append(found.crashed, zoneCrash{endpoint: at, at: now})
	return found
}

func (pool *Pool) zoneFailed(name string, crashed *zone) bool {
	size := 0
	for _, endpoint := range pool.names {
		if pool.endpoints[endpoint].report.Zone == name {
			size++
		}
	}
	return len(crashed.crashed) >= zoneCrashes && 2*len(crashed.crashed) >= size
}

// pardon takes back the suspicions of crashes that the zone's failure
// explains. Otherwise each request that was in flight in the zone would
// empty an endpoint elsewhere, when those are needed most.
func (pool *Pool) pardon(failed *zone) {
	for _, key := range failed.suspected {
		found := pool.suspicions[key]
		if found == nil {
			continue
		}
		found.crashes--
		if found.crashes == 0 {
			pool.clear(found)
		}
	}
	failed.suspected = nil
}

// countFlight counts the calls in flight of one content.
func (pool *Pool) countFlight(request *Request, change int) {
	if request.Fingerprint == 0 {
		return
	}
	if pool.flights == nil {
		pool.flights = make(map[suspectKey]int)
	}
	key := keyOf(request)
	pool.flights[key] += change
	if pool.flights[key] == 0 {
		delete(pool.flights, key)
	}
}

// setAside moves a suspect from its member's queue to those that wait for an
// empty endpoint, and refuses a poisonous request.
func (pool *Pool) setAside(suspect *request) {
	if pool.poisonous(&suspect.Request) {
		pool.dequeue(suspect)
		pool.refuse(suspect.ID, errPoisonous())
		return
	}
	if suspect.parkedAt != nil {
		suspect.parkedAt.unpark(suspect)
	}
	if suspect.bucket != nil {
		suspect.line().remove(suspect)
	}
	pool.watch(suspect)
	pool.place(suspect.member)
	suspect.aside = true
	pool.suspects = append(pool.suspects, suspect)
}

// serveSuspects gives endpoints to suspects, and reports whether it did
// anything.
func (pool *Pool) serveSuspects(now bvclock.Time) bool {
	served := false
	for range min(suspectsWeighed, len(pool.suspects)) {
		suspect := pool.suspects[0]
		pool.suspects = pool.suspects[1:]
		suspect.aside = false
		if !pool.serveSuspect(suspect) {
			suspect.aside = true
			pool.suspects = append(pool.suspects, suspect)
			continue
		}
		served = true
	}
	for _, at := range slices.Clone(pool.isolated) {
		if at.running() == 0 && at.external == 0 {
			pool.grantAlone(now, at)
			served = true
		}
	}
	return served
}

// serveSuspect refuses a suspect, puts it back into its member's queue or
// isolates an endpoint for it; false leaves it waiting.
func (pool *Pool) serveSuspect(suspect *request) bool {
	held := pool.suspicion(&suspect.Request)
	if held == nil {
		suspect.line().add(suspect)
		pool.place(suspect.member)
		return true
	}
	if held.crashes >= poisonousAt {
		pool.dequeue(suspect)
		pool.refuse(suspect.ID, errPoisonous())
		return true
	}
	if !pool.isolatable(suspect) {
		return false
	}
	pool.isolate(pool.free[0], suspect)
	return true
}

func (pool *Pool) isolate(at *endpoint, suspect *request) {
	suspect.isolates = at
	at.isolates = suspect
	pool.isolated = append(pool.isolated, at)
	pool.countFlight(&suspect.Request, 1)
	pool.seat(at)
	pool.unparkAll(at)
}

func (pool *Pool) isolatable(suspect *request) bool {
	if len(pool.free) == 0 || len(pool.isolated) >= max(1, len(pool.names)/isolationPart) {
		return false
	}
	if pool.flights[keyOf(&suspect.Request)] > 0 {
		return false
	}
	from := suspect.member
	if from.atConcurrency() || from.atRate() {
		return false
	}
	return len(pool.backlog) == 0 || from.virtual <= pool.backlog[0].virtual+pool.claim()
}

// grantAlone grants an empty endpoint to the suspect that waited for it.
func (pool *Pool) grantAlone(now bvclock.Time, at *endpoint) {
	suspect := at.isolates
	if pool.poisonous(&suspect.Request) {
		// Another host told of its second crash, or a call of the same content
		// that was adopted crashed too.
		pool.dequeue(suspect)
		pool.refuse(suspect.ID, errPoisonous())
		return
	}
	if pool.flights[keyOf(&suspect.Request)] > 1 {
		// A call of the same content was adopted while the endpoint emptied.
		pool.abandon(at)
		pool.seat(at)
		return
	}
	chosen := pool.weigh(now, suspect, at)
	chosen.alone = true
	pool.grant(now, suspect, chosen)
}

// unisolate gives an endpoint back that was being emptied for a suspect.
func (pool *Pool) unisolate(suspect *request) {
	at := suspect.isolates
	suspect.isolates = nil
	at.isolates = nil
	pool.isolated = slices.DeleteFunc(pool.isolated, func(other *endpoint) bool { return other == at })
	pool.countFlight(&suspect.Request, -1)
	pool.seat(at)
}

// abandon lets the suspect of an endpoint that closed wait for another one.
func (pool *Pool) abandon(closed *endpoint) {
	suspect := closed.isolates
	if suspect == nil {
		return
	}
	closed.isolates = nil
	suspect.isolates = nil
	pool.isolated = slices.DeleteFunc(pool.isolated, func(other *endpoint) bool { return other == closed })
	pool.countFlight(&suspect.Request, -1)
	suspect.aside = true
	pool.suspects = append(pool.suspects, suspect)
}
