package bvgate

import (
	"slices"

	"balsamvalve.example/bvclock"
)

const (
	// zoneWindow and zoneCrashes tell the crash of a zone from a poisonous
	// request, which crashes one endpoint after the other: in the window so
	// many endpoints crashed, and half of the zone's at least.
	zoneWindow  = 10 * bvclock.Second
	zoneCrashes = 3
)

// zone is what crashed lately in an availability zone.
type zone struct {
	crashed   []zoneCrash
	suspected []suspectKey // by these crashes
}

type zoneCrash struct {
	endpoint *endpoint
	at       bvclock.Time
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
