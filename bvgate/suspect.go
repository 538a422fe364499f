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
	ExpiresIn   bvclock.Duration // until it is forgotten
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
			Member: key.member, Fingerprint: key.fingerprint, Crashes: found.crashes, ExpiresIn: found.timer.at.Sub(now),
		})
	}
	slices.SortFunc(suspects, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return suspects
}

// Suspected reports whether a crash is held against a request content.
func (pool *Pool) IsSuspect(member string, fingerprint uint64) bool {
	return pool.suspicions[suspectKey{member: member, fingerprint: fingerprint}] != nil
}

// SuspectedCrashes returns how many crashes were seen here that made suspects.
// What other hosts tell does not count.
func (pool *Pool) SuspectCrashes() uint64 { return pool.suspectedCrashes }

// AddSuspects learns from another host. The higher number of crashes counts;
// they are not added up, because hosts tell each other of the same crash.
func (pool *Pool) AddSuspects(now bvclock.Time, suspects []Suspect) {
	for _, suspect := range suspects {
		if suspect.ExpiresIn <= 0 || suspect.Fingerprint == 0 {
			continue
		}
		key := suspectKey{member: suspect.Member, fingerprint: suspect.Fingerprint}
		known := pool.suspicions[key]
		if known != nil && known.crashes >= suspect.Crashes {
			continue
		}
		pool.suspect(now, key, suspect.Crashes, min(suspect.ExpiresIn, suspicionKept))
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
	pool.suspectedCrashes++
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
