package bvgate

import (
	"cmp"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

const (
	// poisonousCrashes is the number of crashes after which a request is refused.
	poisonousCrashes = 2
	// suspicionTTL is how long a crash counts against a request.
	suspicionTTL = bvclock.Hour
	// maxSuspicions bounds a member's suspects; the oldest are deleted.
	maxSuspicions = 1024
)

type suspectKey struct {
	member      string
	fingerprint uint64
}

// suspicion is a request content that was in flight when an endpoint crashed.
//
// It guards against a request that crashes each endpoint that runs it while its caller
// retries it: the suspect runs isolated, so that its crash fails no other call, and is
// refused after its second crash. A suspect that finishes is cleared.
type suspicion struct {
	key     suspectKey
	crashes int
	timer   timer
}

// Suspect is a suspicion in the form that hosts exchange.
type Suspect struct {
	Member      string
	Fingerprint uint64
	Crashes     int
	ExpiresIn   bvclock.Duration // time until the suspicion is deleted
}

func suspectKeyOf(request *Request) suspectKey {
	return suspectKey{member: request.Member, fingerprint: request.Fingerprint}
}

// suspicionOf returns the suspicion of a request's content, or nil.
func (pool *Pool) suspicionOf(request *Request) *suspicion {
	if request.Fingerprint == 0 {
		return nil
	}
	return pool.suspicions[suspectKeyOf(request)]
}

func (pool *Pool) isPoisonous(request *Request) bool {
	found := pool.suspicionOf(request)
	return found != nil && found.crashes >= poisonousCrashes
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

// IsSuspect reports whether a crash counts against a request content.
func (pool *Pool) IsSuspect(member string, fingerprint uint64) bool {
	return pool.suspicions[suspectKey{member: member, fingerprint: fingerprint}] != nil
}

// SuspectCrashes returns how many crashes on endpoints of this pool made suspects.
// Suspects received from other hosts don't count.
func (pool *Pool) SuspectCrashes() uint64 { return pool.suspectCrashes }

// AddSuspects adds suspects received from another host. The higher number of crashes
// counts; the numbers are not added, because hosts report the same crash to each other.
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
		pool.recordSuspicion(now, key, suspect.Crashes, min(suspect.ExpiresIn, suspicionTTL))
	}
}

// recordSuspicion records the crashes of a request for the given time.
func (pool *Pool) recordSuspicion(now bvclock.Time, key suspectKey, crashes int, ttl bvclock.Duration) {
	found := pool.suspicions[key]
	if found == nil {
		found = &suspicion{key: key}
		if pool.suspicions == nil {
			pool.suspicions = make(map[suspectKey]*suspicion)
		}
		pool.suspicions[key] = found
		pool.limitSuspicions(pool.member(key.member), key)
	}
	found.crashes = crashes
	pool.setTimer(&found.timer, now.Add(ttl), found)
}

func (pool *Pool) limitSuspicions(of *member, added suspectKey) {
	of.suspicions = append(of.suspicions, added)
	if len(of.suspicions) <= maxSuspicions {
		return
	}
	if oldest := pool.suspicions[of.suspicions[0]]; oldest != nil {
		pool.clearSuspicion(oldest)
		return
	}
	of.suspicions = of.suspicions[1:]
}

// fire deletes a suspicion whose time has passed.
func (suspicion *suspicion) fire(pool *Pool, _ bvclock.Time) {
	pool.clearSuspicion(suspicion)
}

func (pool *Pool) clearSuspicion(cleared *suspicion) {
	pool.stopTimer(&cleared.timer)
	delete(pool.suspicions, cleared.key)
	of := pool.member(cleared.key.member)
	if at := slices.Index(of.suspicions, cleared.key); at >= 0 {
		of.suspicions = slices.Delete(of.suspicions, at, at+1)
	}
}

// suspectInFlight makes suspects of all calls in flight at a crash. The first report of
// a crash covers all of them; later reports by their owners are of the same crash.
func (pool *Pool) suspectInFlight(now bvclock.Time, crashed *call) {
	if crashed.incarnation == nil || crashed.crashCounted {
		return
	}
	target := crashed.incarnation.endpoint
	zone := pool.recordCrash(now, target)
	pool.suspectCrashes++
	failed := zone != nil && pool.isZoneFailed(target.report.Zone, zone)
	for _, call := range crashed.incarnation.callsInOrder() {
		call.crashCounted = true
		if call.request.Fingerprint == 0 || failed {
			continue
		}
		key := suspectKeyOf(&call.request)
		crashes := 1
		if known := pool.suspicions[key]; known != nil {
			crashes += known.crashes
		}
		pool.recordSuspicion(now, key, crashes, suspicionTTL)
		if zone != nil {
			zone.suspects = append(zone.suspects, key)
		}
	}
	if failed {
		pool.withdrawSuspicions(zone)
	}
}

func (incarnation *incarnation) callsInOrder() []*call {
	calls := make([]*call, 0, len(incarnation.calls))
	for _, call := range incarnation.calls {
		calls = append(calls, call)
	}
	slices.SortFunc(calls, func(a, b *call) int { return cmp.Compare(a.request.ID, b.request.ID) })
	return calls
}
