package bvsuspect

import (
	"slices"

	"balsamvalve.example/bvclock"
)

const (
	// crashLimit is the number of endpoints that a request must have crashed to be
	// refused by all hosts.
	crashLimit = 3
	// crashWindow is the time after a broken call within which the end of its endpoint
	// counts as a crash caused by the call. An endpoint whose machine is silent shows it by
	// its entry, which expires after some seconds.
	crashWindow = 10 * bvclock.Second
	// crashRetention is how long crashes are retained after the last one: both the restart
	// of the endpoint and the caller's retry take only some seconds.
	crashRetention = bvclock.Minute
	// crashReportTime is how long a crash is included in digests, since some digests are
	// lost.
	crashReportTime = 3 * bvclock.Second
	// maxBrokenCalls bounds the broken calls that are retained.
	maxBrokenCalls = 1024
)

// Fingerprint identifies a request that its caller sends again: in the same workspace, with the
// same method, host, path, parent turn and body. The zero value is none.
type Fingerprint struct {
	Exact    uint64 // hash of the request with its query
	AnyQuery uint64 // hash of the request without its query
}

// Crash is the end of an endpoint while it ran a request.
type Crash struct {
	Request  Fingerprint
	Endpoint uint64 // hash of the endpoint's ID, which differs with each start
}

// DetectedCrash is a crash that this host detected.
type DetectedCrash struct {
	Crash
	BrokenFor bvclock.Duration // time from the broken call to the loss of the endpoint
}

// Table holds the requests that were in flight when endpoints crashed. It uses no clock:
// callers pass the time to its methods. The zero value is empty.
type Table struct {
	brokenCalls []brokenCall
	suspects    map[uint64]*suspect // by exact request
	// families holds the suspects that differ in their query only.
	families map[uint64][]*suspect
}

// brokenCall is a call whose endpoint may have crashed.
type brokenCall struct {
	Crash
	at      bvclock.Time
	running bool // the endpoint still ran when it was checked
}

// suspect is a request that was in flight when endpoints crashed.
type suspect struct {
	request Fingerprint
	crashes map[uint64]bvclock.Time // by endpoint
}

// latest returns the time of the suspect's last crash.
func (suspect *suspect) latest() bvclock.Time {
	latest := bvclock.Time(0)
	for _, at := range suspect.crashes {
		latest = max(latest, at)
	}
	return latest
}

// RecordBrokenCall records that the connection to an endpoint broke during a request. This
// alone does not make the request a suspect: answers are lost for many reasons.
func (table *Table) RecordBrokenCall(now bvclock.Time, request Fingerprint, endpoint uint64) {
	if len(table.brokenCalls) >= maxBrokenCalls {
		table.brokenCalls = table.brokenCalls[maxBrokenCalls/2:]
	}
	table.brokenCalls = append(table.brokenCalls, brokenCall{Crash: Crash{request, endpoint}, at: now})
}

// RecordRunning records that an endpoint accepted connections after calls broke there.
func (table *Table) RecordRunning(endpoint uint64) {
	for i := range table.brokenCalls {
		if table.brokenCalls[i].Endpoint == endpoint {
			table.brokenCalls[i].running = true
		}
	}
}

// RecordEndpointLoss records a sign that an endpoint has ended. The requests whose calls broke
// there within crashWindow become suspects; it returns them.
func (table *Table) RecordEndpointLoss(now bvclock.Time, endpoint uint64, sign Sign) (crashes []DetectedCrash) {
	if sign == Unreachable {
		return nil
	}
	kept := table.brokenCalls[:0]
	for _, broken := range table.brokenCalls {
		switch {
		case now.Sub(broken.at) > crashWindow:
		case broken.Endpoint == endpoint && (sign != Removed || !broken.running):
			table.RecordCrash(now, broken.Crash)
			crashes = append(crashes, DetectedCrash{broken.Crash, now.Sub(broken.at)})
		default:
			kept = append(kept, broken)
		}
	}
	table.brokenCalls = kept
	return crashes
}

// RecordCrash records a crash that this or another host detected. A crash that is recorded
// twice counts once; it returns false the second time.
func (table *Table) RecordCrash(now bvclock.Time, crash Crash) (added bool) {
	found := table.getOrAdd(crash.Request)
	if _, known := found.crashes[crash.Endpoint]; known {
		return false
	}
	found.crashes[crash.Endpoint] = now
	return true
}

func (table *Table) getOrAdd(request Fingerprint) *suspect {
	if found := table.suspects[request.Exact]; found != nil {
		return found
	}
	if table.suspects == nil {
		table.suspects, table.families = make(map[uint64]*suspect), make(map[uint64][]*suspect)
	}
	added := &suspect{request: request, crashes: make(map[uint64]bvclock.Time)}
	table.suspects[request.Exact] = added
	table.families[request.AnyQuery] = append(table.families[request.AnyQuery], added)
	return added
}

func (table *Table) remove(removed *suspect) {
	delete(table.suspects, removed.request.Exact)
	family := slices.DeleteFunc(table.families[removed.request.AnyQuery], func(other *suspect) bool { return other == removed })
	if len(family) == 0 {
		delete(table.families, removed.request.AnyQuery)
		return
	}
	table.families[removed.request.AnyQuery] = family
}

// Crashes returns how many endpoints a request has crashed, also with other queries if it has
// come with several.
func (table *Table) Crashes(request Fingerprint) int {
	if family := table.families[request.AnyQuery]; len(family) > 1 {
		return countEndpoints(family...)
	}
	if found := table.suspects[request.Exact]; found != nil {
		return countEndpoints(found)
	}
	return 0
}

// countEndpoints returns how many endpoints some suspects have crashed.
func countEndpoints(suspects ...*suspect) int {
	endpoints := make(map[uint64]bool)
	for _, suspect := range suspects {
		for endpoint := range suspect.crashes {
			endpoints[endpoint] = true
		}
	}
	return len(endpoints)
}

// Len returns the number of suspects.
func (table *Table) Len() int { return len(table.suspects) }

// IsPoisonous reports whether a request has crashed crashLimit endpoints or more.
func (table *Table) IsPoisonous(now bvclock.Time, request Fingerprint) bool {
	if table.Crashes(request) < crashLimit {
		return false
	}
	table.removeExpired(now)
	return table.Crashes(request) >= crashLimit
}

// removeExpired removes the suspects whose last crash is too long ago.
func (table *Table) removeExpired(now bvclock.Time) {
	for _, suspect := range table.suspects {
		if now.Sub(suspect.latest()) >= crashRetention {
			table.remove(suspect)
		}
	}
}

// RecentCrashes returns the crashes to report to other hosts, and removes old ones.
func (table *Table) RecentCrashes(now bvclock.Time) []Crash {
	table.removeExpired(now)
	var recent []Crash
	for _, suspect := range table.suspects {
		for endpoint, at := range suspect.crashes {
			if now.Sub(at) < crashReportTime {
				recent = append(recent, Crash{suspect.request, endpoint})
			}
		}
	}
	return recent
}
