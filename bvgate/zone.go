package bvgate

import (
	"slices"

	"balsamvalve.example/bvclock"
)

const (
	// zoneWindow and minZoneCrashes distinguish the failure of a zone from a poisonous
	// request, which crashes one endpoint after the other: a zone failed if
	// minZoneCrashes endpoints and at least half of the zone's endpoints crashed within
	// the window.
	zoneWindow     = 10 * bvclock.Second
	minZoneCrashes = 3
)

// zone records the recent crashes in an availability zone.
type zone struct {
	recentCrashes []zoneCrash
	suspects      []suspectKey // made by these crashes
}

type zoneCrash struct {
	endpoint *endpoint
	at       bvclock.Time
}

// recordCrash records a crash in the endpoint's zone. It returns nil if the zone is
// unknown.
func (pool *Pool) recordCrash(now bvclock.Time, target *endpoint) *zone {
	name := target.report.Zone
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
	found.recentCrashes = slices.DeleteFunc(found.recentCrashes, func(crash zoneCrash) bool {
		return crash.endpoint == target || now.Sub(crash.at) > zoneWindow
	})
	if len(found.recentCrashes) == 0 {
		found.suspects = nil
	}
	found.recentCrashes = append(found.recentCrashes, zoneCrash{endpoint: target, at: now})
	return found
}

func (pool *Pool) isZoneFailed(name string, crashed *zone) bool {
	size := 0
	for _, endpoint := range pool.endpointNames {
		if pool.endpoints[endpoint].report.Zone == name {
			size++
		}
	}
	return len(crashed.recentCrashes) >= minZoneCrashes && 2*len(crashed.recentCrashes) >= size
}

// withdrawSuspicions withdraws the suspicions of crashes that the zone's failure
// explains. Otherwise each request that was in flight in the zone would drain an
// endpoint elsewhere, when those endpoints are needed most.
func (pool *Pool) withdrawSuspicions(failed *zone) {
	for _, key := range failed.suspects {
		found := pool.suspicions[key]
		if found == nil {
			continue
		}
		found.crashes--
		if found.crashes == 0 {
			pool.clearSuspicion(found)
		}
	}
	failed.suspects = nil
}
