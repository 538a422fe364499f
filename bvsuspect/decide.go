package bvsuspect

import (
	"slices"

	"balsamvalve.example/bvclock"
)

//go:generate stringer -type=Access -linecomment -output=access_string.go

// Access is what a request may do.
type Access int

// The kinds of access. An Exclusive request may run at one endpoint at a time, through one host.
const (
	Free      Access = iota // free
	Exclusive               // exclusive
	Denied                  // denied
)

// Decision is what a request may do, and why.
type Decision struct {
	Access     Access
	Crashes    int              // endpoints that it has crashed
	RetryAfter bvclock.Duration // until a denied request may run exclusively
	// Cause is what has crashed the endpoints: the request, or a shared feature of it.
	Cause Fingerprint

	key uint64 // of the cause, or of the request with any query: whose crashes decided
}

const (
	// exclusiveCrashes is the number of crashes from which a request runs exclusively. Other
	// requests are in flight at one crash, few of them at two.
	exclusiveCrashes = 2
	// crashLimit is the number of crashes from which a request is denied.
	crashLimit = 3
	// sharedExclusiveCrashes and sharedCrashLimit apply to shared features: many requests have a
	// popular one in common, so that it is in flight at two crashes more often than a request.
	sharedExclusiveCrashes = 3
	sharedCrashLimit       = 4
)

// sharedSettleTime is how long after a crash it counts against shared features. The reports of one crash
// arrive one after the other, and a feature that others have in common is answered meanwhile: before, the
// crash would count against the wrong one.
const sharedSettleTime = 100 * bvclock.Millisecond

// limits returns the numbers of crashes from which a request runs exclusively and is denied.
func (fingerprint Fingerprint) limits() (exclusive, denied int) {
	if fingerprint.Feature.isShared() {
		return sharedExclusiveCrashes, sharedCrashLimit
	}
	return exclusiveCrashes, crashLimit
}

// exclusivePauses is how long a denied request waits after its last crash until it may run once
// more, exclusively; by how many of its exclusive runs have crashed. Its endpoints may have been
// mended, or the crashes may have had another cause.
var exclusivePauses = []bvclock.Duration{10 * bvclock.Second, bvclock.Minute, 10 * bvclock.Minute, bvclock.Hour}

// DecideContent decides what a request may do by its most restricted feature. Of equally restricted
// ones it takes the one with the most crashes, and a shared one before the request: requests that have
// it in common must not run at the same time.
func (table *Table) DecideContent(now bvclock.Time, content Content) Decision {
	strictest := table.Decide(now, content.Request)
	for _, shared := range content.Shared {
		decision := table.Decide(now, shared)
		if decision.Access > strictest.Access || decision.Access == strictest.Access && decision.Crashes >= max(strictest.Crashes, 1) {
			strictest = decision
		}
	}
	return strictest
}

// Decide decides what a request may do by its own crashes.
func (table *Table) Decide(now bvclock.Time, request Fingerprint) Decision {
	counted := table.counted(request, now.Add(-table.settleTime))
	decision := Decision{Crashes: counted.crashes(), Cause: request, key: counted.key}
	exclusive, denied := request.limits()
	switch {
	case decision.Crashes < exclusive:
		return decision
	case decision.Crashes < denied:
		decision.Access = Exclusive
		return decision
	}
	pause := exclusivePauses[min(counted.exclusive, len(exclusivePauses)-1)]
	decision.Access, decision.RetryAfter = Denied, pause-now.Sub(counted.latest)
	if decision.RetryAfter <= 0 {
		decision.Access, decision.RetryAfter = Exclusive, 0
	}
	return decision
}

// RestrictedCount returns the number of requests that have crashed endpoints and do not run freely.
func (table *Table) RestrictedCount(now bvclock.Time) (count int) {
	for _, suspect := range table.suspects {
		if table.mayHaveCrashes(suspect.request, exclusiveCrashes) && table.Decide(now, suspect.request).Access != Free {
			count++
		}
	}
	return count
}

// mayHaveCrashes reports whether at least a number of crashes are known of a request. Few of the suspects of one
// crash have more than that one, and to count those that have no better explanation takes much longer.
func (table *Table) mayHaveCrashes(request Fingerprint, least int) bool {
	known := 0
	for _, suspect := range table.families[request.AnyQuery] {
		known += len(suspect.crashes)
	}
	return known >= least
}

// countedCrashes are the crashes that count against a request.
type countedCrashes struct {
	key       uint64          // of the request, or of all its queries
	endpoints map[uint64]bool // that crashed
	exclusive int             // crashes of exclusive runs
	latest    bvclock.Time    // time of the last one

	sharedUntil bvclock.Time // later crashes of a shared feature do not count
}

func (counted *countedCrashes) crashes() int { return len(counted.endpoints) }

// counted returns the crashes that count against a request: its own, or those of requests that
// differ from it in their query only, if several of them have crashed endpoints. Crashes of a shared
// feature count only up to a time.
func (table *Table) counted(request Fingerprint, sharedUntil bvclock.Time) countedCrashes {
	exact := countedCrashes{key: request.Exact, sharedUntil: sharedUntil}
	exact.add(table, table.suspects[request.Exact], false)
	family, queries := countedCrashes{key: request.AnyQuery, sharedUntil: sharedUntil}, 0
	for _, suspect := range table.families[request.AnyQuery] {
		if family.add(table, suspect, true) {
			queries++
		}
	}
	if queries > 1 && family.crashes() > exact.crashes() {
		return family
	}
	return exact
}

// add adds the crashes of a suspect and reports whether there are any; ofFamily leaves out those
// that count against one query only.
func (counted *countedCrashes) add(table *Table, suspect *suspect, ofFamily bool) (added bool) {
	if suspect == nil {
		return false
	}
	total := suspect.total()
	for endpoint, crash := range suspect.crashes {
		isUnsettled := suspect.request.Feature.isShared() && crash.at.After(counted.sharedUntil)
		if crash.withdrawn || isUnsettled || ofFamily && crash.otherQuery || table.hasOtherCause(endpoint, suspect, total) {
			continue
		}
		if counted.endpoints == nil {
			counted.endpoints = make(map[uint64]bool)
		}
		counted.endpoints[endpoint], added = true, true
		counted.latest = max(counted.latest, crash.at)
		if crash.exclusive {
			counted.exclusive++
		}
	}
	return added
}

// total returns the number of endpoints that crashed while they ran the suspect.
func (suspect *suspect) total() (count int) {
	for _, crash := range suspect.crashes {
		if !crash.withdrawn {
			count++
		}
	}
	return count
}

// hasOtherCause reports whether an endpoint's crash has a better explanation than a suspect with a total of
// crashes: a restricted suspect with more of them, or a likelier one with as many. Without this rule,
// requests beside a poisonous one would be restricted with it, and so would all those that have a wider
// feature in common with it.
func (table *Table) hasOtherCause(endpoint uint64, suspected *suspect, total int) bool {
	return slices.ContainsFunc(table.crashed[endpoint], func(other *suspect) bool {
		exclusive, _ := other.request.limits()
		if other.crashes[endpoint].withdrawn || len(other.crashes) < max(total, exclusive) {
			return false
		}
		others := other.total()
		return others >= exclusive && (others > total || others == total && table.isLikelier(other, suspected))
	})
}

// isLikelier reports whether one of two suspects with the same number of crashes is the likelier cause: the
// one that was not answered recently, or the narrower one.
func (table *Table) isLikelier(suspect, than *suspect) bool {
	wasAnswered, otherWasAnswered := table.answered.knows(suspect.request.Exact), table.answered.knows(than.request.Exact)
	if wasAnswered != otherWasAnswered {
		return otherWasAnswered
	}
	return suspect.request.Feature < than.request.Feature
}
