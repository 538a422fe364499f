package bvrouter

import (
	"maps"
	"slices"
	"unique"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// reregistrationTime is how long after an outage of the platform its list may still lack
// endpoints that are alive: their entries expire during the outage, and they register
// again within about two seconds after it.
const reregistrationTime = 2 * bvclock.Second

// endpointList is the list of endpoints. It retains endpoints that are missing only because
// the platform was unreachable.
//
// It guards against an empty pool after an outage: all entries have expired, and the
// first list after it is empty, although every endpoint is healthy.
//
// An engine may restart under its name, and a read may return the state of the store some
// seconds earlier. Going back to an earlier start would restore outdated state of that
// endpoint, so the newest start of each name is recorded.
type endpointList struct {
	listed         map[string]bvplatform.Endpoint
	missing        map[string]bvplatform.Endpoint // not listed, but retained for now
	substitute     []bvplatform.Endpoint          // partial list, or another host's, used in place of this one; nil: none
	next           int64                          // platform's change sequence number up to which the list is known
	log            changeLog
	everMissed     bool
	reachableSince bvclock.Time            // time of the first list since the last outage
	substitutedAt  bvclock.Time            // time of the first substitute since the last own list
	retainMissing  bool                    // missing endpoints are retained for now
	newestStarts   map[string]bvclock.Time // newest start of each name that is not listed
}

// listUpdate is the effect of an update on the list in use.
type listUpdate struct {
	full   bool // listed is the full list
	listed []bvplatform.Endpoint
	gone   []bvplatform.Endpoint // their entries before the update
	events listEvents
}

// recordMissed records that the list could not be read.
func (list *endpointList) recordMissed() {
	list.everMissed = true
	list.reachableSince = 0
}

// update applies changes to the list, and reports whether the endpoints in use may differ
// from those before.
func (list *endpointList) update(now bvclock.Time, changes bvplatform.EndpointChanges) (listUpdate, bool) {
	if list.reachableSince == 0 {
		list.reachableSince = now
	}
	substituted, retained := list.substitute != nil, list.retainMissing
	list.substitute, list.substitutedAt = nil, 0
	list.retainMissing = list.everMissed && now.Sub(list.reachableSince) < reregistrationTime
	list.next = changes.Next
	if changes.Whole || list.listed == nil || substituted || retained || list.retainMissing {
		if changes.IsEmpty() && !retained && !substituted {
			return listUpdate{}, false
		}
		events := list.rebuild(changes)
		return listUpdate{full: true, listed: list.all(), events: events}, true
	}
	update := list.apply(changes)
	return update, len(update.listed)+len(update.gone) > 0
}

// rebuild applies changes and recomputes the retained missing endpoints.
func (list *endpointList) rebuild(changes bvplatform.EndpointChanges) (events listEvents) {
	before, missingBefore := list.ownEndpoints(), list.missing
	if changes.Whole {
		list.log.reset(changes.Next)
		older := list.listed
		list.listed = list.newestByName(changes.Listed)
		changes.Listed = nil
		for name, endpoint := range older {
			if _, found := list.listed[name]; !found {
				list.recordStart(endpoint)
			}
		}
		events.addDifference(older, list.listed)
	}
	events.append(list.apply(changes).events)
	for _, name := range changes.Unusable {
		before = slices.DeleteFunc(before, func(endpoint bvplatform.Endpoint) bool { return endpoint.Name == name })
	}
	list.missing = nil
	if list.retainMissing {
		list.missing = findMissing(list.listed, before)
	}
	events.addRetained(missingBefore, list.missing, list.listed)
	return events
}

// newestByName returns the endpoints by name, each with its newest known start.
func (list *endpointList) newestByName(endpoints []bvplatform.Endpoint) map[string]bvplatform.Endpoint {
	newest := make(map[string]bvplatform.Endpoint, len(endpoints))
	for _, endpoint := range endpoints {
		if list.isOlder(endpoint) {
			newer, found := list.listed[endpoint.Name]
			if !found {
				continue
			}
			endpoint = newer
		}
		newest[endpoint.Name] = internStrings(endpoint)
	}
	return newest
}

// internStrings shares the strings that many endpoints have in common.
func internStrings(endpoint bvplatform.Endpoint) bvplatform.Endpoint {
	endpoint.Serves = unique.Make(endpoint.Serves).Value()
	endpoint.Zone = unique.Make(endpoint.Zone).Value()
	return endpoint
}

// apply applies changes to the list.
func (list *endpointList) apply(changes bvplatform.EndpointChanges) (update listUpdate) {
	if list.listed == nil {
		list.listed = make(map[string]bvplatform.Endpoint, len(changes.Listed))
	}
	for _, endpoint := range changes.Listed {
		before, found := list.listed[endpoint.Name]
		if list.isOlder(endpoint) || found && before == endpoint {
			continue
		}
		if found && before.ID() != endpoint.ID() {
			update.gone = append(update.gone, before)
		}
		update.events.addChange(before, found, endpoint)
		endpoint = internStrings(endpoint)
		list.listed[endpoint.Name] = endpoint
		update.listed = append(update.listed, endpoint)
		list.log.add(changes.Next, endpoint.Name)
	}
	for _, name := range slices.Concat(changes.Gone, changes.Unusable) {
		if before, found := list.listed[name]; found {
			update.gone = append(update.gone, before)
			update.events.removed = append(update.events.removed, name)
			list.recordStart(before)
			delete(list.listed, name)
			list.log.add(changes.Next, name)
		}
	}
	return update
}

// all returns the endpoints in use.
func (list *endpointList) all() []bvplatform.Endpoint {
	if list.substitute != nil {
		return list.substitute
	}
	return list.ownEndpoints()
}

// ownEndpoints returns the endpoints of this host's own list.
func (list *endpointList) ownEndpoints() []bvplatform.Endpoint {
	all := make([]bvplatform.Endpoint, 0, len(list.listed)+len(list.missing))
	all = slices.AppendSeq(all, maps.Values(list.listed))
	return slices.AppendSeq(all, maps.Values(list.missing))
}

// since returns the changes after a sequence number, for another host. It returns false if
// this host does not have all of them.
func (list *endpointList) since(after int64) (bvplatform.EndpointChanges, bool) {
	names, known := list.log.since(after)
	if !known || !list.isComplete() || list.next < after {
		return bvplatform.EndpointChanges{}, false
	}
	changes := bvplatform.EndpointChanges{Next: list.next}
	for _, name := range names {
		if endpoint, found := list.listed[name]; found {
			changes.Listed = append(changes.Listed, endpoint)
			continue
		}
		changes.Gone = append(changes.Gone, name)
	}
	return changes, true
}

// isComplete reports whether this host has a full list of its own.
func (list *endpointList) isComplete() bool { return list.listed != nil && list.substitute == nil }

// isOlder reports whether an entry is older than another one of its name, or has no start
// time although others had one.
func (list *endpointList) isOlder(endpoint bvplatform.Endpoint) bool {
	newest := list.newestStarts[endpoint.Name]
	if listed, found := list.listed[endpoint.Name]; found {
		newest = max(newest, listed.Started)
	}
	return endpoint.Started.Before(newest)
}

// recordStart records the start of an endpoint that is not on this host's own list.
func (list *endpointList) recordStart(endpoint bvplatform.Endpoint) {
	if endpoint.Started == 0 || list.isOlder(endpoint) {
		return
	}
	if list.newestStarts == nil || len(list.newestStarts) > maxStarts {
		list.newestStarts = make(map[string]bvclock.Time)
	}
	list.newestStarts[endpoint.Name] = endpoint.Started
}

// maxStarts bounds the recorded starts: several times the 4,200 engines that the system is
// designed for, of which 310 a day are replaced under other names.
const maxStarts = 20_000

// useSubstitute uses a partial list or another host's list, which may be older than this
// host's last one. The other host may have started during the outage, and read a list whose
// entries have expired, so missing endpoints are retained for a time.
func (list *endpointList) useSubstitute(now bvclock.Time, endpoints []bvplatform.Endpoint) []bvplatform.Endpoint {
	if list.substitutedAt == 0 {
		list.substitutedAt = now
	}
	newest := list.newestByName(endpoints)
	for _, endpoint := range newest {
		list.recordStart(endpoint)
	}
	list.substitute = slices.AppendSeq(make([]bvplatform.Endpoint, 0, len(newest)), maps.Values(newest))
	if now.Sub(list.substitutedAt) < reregistrationTime {
		list.substitute = slices.AppendSeq(list.substitute, maps.Values(findMissing(newest, list.ownEndpoints())))
	}
	return list.substitute
}

// findMissing returns the known endpoints that are not listed, except those whose address
// another endpoint has now.
func findMissing(listed map[string]bvplatform.Endpoint, known []bvplatform.Endpoint) map[string]bvplatform.Endpoint {
	addresses := make(map[string]bool, len(listed))
	for _, endpoint := range listed {
		addresses[endpoint.Address] = true
	}
	missing := make(map[string]bvplatform.Endpoint)
	for _, endpoint := range known {
		if _, found := listed[endpoint.Name]; !found && !addresses[endpoint.Address] {
			endpoint.Retained = true
			missing[endpoint.Name] = endpoint
		}
	}
	return missing
}
