package bvdispatch

import (
	"balsamvalve.example/bvclock"
)

const (
	// crashLimit is how many endpoints a request may have crashed before it is
	// refused everywhere.
	crashLimit = 3
	// crashWindow is how long after a call broke off its endpoint's going
	// away counts as a crash under that call.
	crashWindow = 2 * bvclock.Second
	// crashMemory is how long crashes are remembered after the last one: the
	// endpoint is back after some seconds, and so is the caller.
	crashMemory = bvclock.Minute
	// tellCrashFor is how long a crash stands in digests, some of which are
	// lost.
	tellCrashFor = 3 * bvclock.Second
	// maxFailures bounds the calls that are remembered as broken off.
	maxFailures = 1024
)

// Crash is an endpoint that went away under a request.
type Crash struct {
	Request  uint64 // what the request is known by: the same each time it comes
	Endpoint uint64 // hash of the endpoint's ID, which differs with each start
}

// Suspects holds the requests that were in flight when endpoints crashed. One
// request can crash each endpoint that begins to run it, and its caller sends
// it again, to any host; without this table it takes one endpoint down after
// the other. The zero value is empty.
type Suspects struct {
	failures []failure
	crashes  map[uint64]map[uint64]bvclock.Time // by request and endpoint
}

type failure struct {
	Crash
	at bvclock.Time
}

// RecordBrokenCall notes that an endpoint's connection broke under a request. It alone
// says little: answers get lost for many reasons.
func (suspects *Suspects) RecordBrokenCall(now bvclock.Time, request, endpoint uint64) {
	if len(suspects.failures) >= maxFailures {
		suspects.failures = suspects.failures[maxFailures/2:]
	}
	suspects.failures = append(suspects.failures, failure{Crash{request, endpoint}, now})
}

// RecordEndpointLoss notes that an endpoint can't be reached any more or is another one: the
// requests that broke off there just before are suspects.
func (suspects *Suspects) RecordEndpointLoss(now bvclock.Time, endpoint uint64) {
	kept := suspects.failures[:0]
	for _, broken := range suspects.failures {
		switch {
		case now.Sub(broken.at) > crashWindow:
		case broken.Endpoint == endpoint:
			suspects.RecordCrash(now, broken.Crash)
		default:
			kept = append(kept, broken)
		}
	}
	suspects.failures = kept
}

// RecordCrash notes a crash, seen here or told by another host; the same one twice
// counts once.
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

// IsPoisonous reports whether a request has crashed too many endpoints.
func (suspects *Suspects) IsPoisonous(now bvclock.Time, request uint64) bool {
	endpoints := suspects.crashes[request]
	if len(endpoints) < crashLimit {
		return false
	}
	for _, at := range endpoints {
		if now.Sub(at) < crashMemory {
			return true
		}
	}
	delete(suspects.crashes, request)
	return false
}

// RecentCrashes returns the crashes to tell other hosts, and forgets old ones.
func (suspects *Suspects) RecentCrashes(now bvclock.Time) []Crash {
	var recent []Crash
	for request, endpoints := range suspects.crashes {
		latest := bvclock.Time(0)
		for endpoint, at := range endpoints {
			latest = max(latest, at)
			if now.Sub(at) < tellCrashFor {
				recent = append(recent, Crash{request, endpoint})
			}
		}
		if now.Sub(latest) > crashMemory {
			delete(suspects.crashes, request)
		}
	}
	return recent
}
