package bvsuspect

import (
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

// Crash is the loss of an endpoint while it ran a request.
type Crash struct {
	Request  uint64 // content hash, which is the same for each retry of the request
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
	crashes     map[uint64]map[uint64]bvclock.Time // by request and endpoint
}

// brokenCall is a call whose endpoint may have crashed.
type brokenCall struct {
	Crash
	at      bvclock.Time
	running bool // the endpoint still ran when it was checked
}

// RecordBrokenCall records that the connection to an endpoint broke during a request. This
// alone does not make the request a suspect: answers are lost for many reasons.
func (table *Table) RecordBrokenCall(now bvclock.Time, request, endpoint uint64) {
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
	if table.crashes == nil {
		table.crashes = make(map[uint64]map[uint64]bvclock.Time)
	}
	endpoints := table.crashes[crash.Request]
	if endpoints == nil {
		endpoints = make(map[uint64]bvclock.Time)
		table.crashes[crash.Request] = endpoints
	}
	if _, known := endpoints[crash.Endpoint]; known {
		return false
	}
	endpoints[crash.Endpoint] = now
	return true
}

// Crashes returns how many endpoints a request has crashed.
func (table *Table) Crashes(request uint64) int { return len(table.crashes[request]) }

// Len returns the number of suspects.
func (table *Table) Len() int { return len(table.crashes) }

// IsPoisonous reports whether a request has crashed crashLimit endpoints or more.
func (table *Table) IsPoisonous(now bvclock.Time, request uint64) bool {
	endpoints := table.crashes[request]
	if len(endpoints) < crashLimit {
		return false
	}
	for _, at := range endpoints {
		if now.Sub(at) < crashRetention {
			return true
		}
	}
	delete(table.crashes, request)
	return false
}

// RecentCrashes returns the crashes to report to other hosts, and drops old ones.
func (table *Table) RecentCrashes(now bvclock.Time) []Crash {
	var recent []Crash
	for request, endpoints := range table.crashes {
		latest := bvclock.Time(0)
		for endpoint, at := range endpoints {
			latest = max(latest, at)
			if now.Sub(at) < crashReportTime {
				recent = append(recent, Crash{request, endpoint})
			}
		}
		if now.Sub(latest) > crashRetention {
			delete(table.crashes, request)
		}
	}
	return recent
}
