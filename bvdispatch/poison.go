package bvdispatch

import (
	"balsamvalve.example/bvclock"
)

const (
	// crashLimit is the number of endpoints that a request must have crashed to be
	// refused by all hosts.
	crashLimit = 3
	// crashWindow is the time after a broken call within which the loss of its endpoint
	// counts as a crash caused by the call.
	crashWindow = 2 * bvclock.Second
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

// Suspects holds the requests that were in flight when endpoints crashed. A request may
// crash each endpoint that runs it, and its caller retries it through any host; without
// this table it would crash one endpoint after the other. The zero value is empty.
type Suspects struct {
	brokenCalls []brokenCall
	crashes     map[uint64]map[uint64]bvclock.Time // by request and endpoint
}

type brokenCall struct {
	Crash
	at bvclock.Time
}

// RecordBrokenCall records that the connection to an endpoint broke during a request. This
// alone does not make the request a suspect: answers are lost for many reasons.
func (suspects *Suspects) RecordBrokenCall(now bvclock.Time, request, endpoint uint64) {
	if len(suspects.brokenCalls) >= maxBrokenCalls {
		suspects.brokenCalls = suspects.brokenCalls[maxBrokenCalls/2:]
	}
	suspects.brokenCalls = append(suspects.brokenCalls, brokenCall{Crash{request, endpoint}, now})
}

// RecordEndpointLoss records that an endpoint is no longer reachable or was replaced. The
// requests whose calls broke there within crashWindow become suspects.
func (suspects *Suspects) RecordEndpointLoss(now bvclock.Time, endpoint uint64) {
	kept := suspects.brokenCalls[:0]
	for _, broken := range suspects.brokenCalls {
		switch {
		case now.Sub(broken.at) > crashWindow:
		case broken.Endpoint == endpoint:
			suspects.RecordCrash(now, broken.Crash)
		default:
			kept = append(kept, broken)
		}
	}
	suspects.brokenCalls = kept
}

// RecordCrash records a crash that this or another host detected. A crash that is recorded
// twice counts once.
func (suspects *Suspects) RecordCrash(now bvclock.Time, crash Crash) {
	if suspects.crashes == nil {
		suspects.crashes = make(map[uint64]map[uint64]bvclock.Time)
	}
	endpoints := suspects.crashes[crash.Request]
	if endpoints == nil {
		endpoints = make(map[uint64]bvclock.Time)
		suspects.crashes[crash.Request] = endpoints
	}
	if _, known := endpoints[crash.Endpoint]; !known {
		endpoints[crash.Endpoint] = now
	}
}

// IsPoisonous reports whether a request has crashed crashLimit endpoints or more.
func (suspects *Suspects) IsPoisonous(now bvclock.Time, request uint64) bool {
	endpoints := suspects.crashes[request]
	if len(endpoints) < crashLimit {
		return false
	}
	for _, at := range endpoints {
		if now.Sub(at) < crashRetention {
			return true
		}
	}
	delete(suspects.crashes, request)
	return false
}

// RecentCrashes returns the crashes to report to other hosts, and drops old ones.
func (suspects *Suspects) RecentCrashes(now bvclock.Time) []Crash {
	var recent []Crash
	for request, endpoints := range suspects.crashes {
		latest := bvclock.Time(0)
		for endpoint, at := range endpoints {
			latest = max(latest, at)
			if now.Sub(at) < crashReportTime {
				recent = append(recent, Crash{request, endpoint})
			}
		}
		if now.Sub(latest) > crashRetention {
			delete(suspects.crashes, request)
		}
	}
	return recent
}
