package bvrouter

import (
	"maps"
	"math"
	"slices"
	"unique"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// reregistrationTime is how long after an outage of the platform its list may still lack
// endpoints that are alive: their entries expire during the outage, and they register
// again within about two seconds after it.
const reregistrationTime = 2 * bvclock.Second

// minExpiryIntervals is the number of registration intervals that an outage lasts at least
// if an entry expires in it: entries expire after three intervals without a write, and the
// last write may be one interval before the outage.
const minExpiryIntervals = 2

// endpointList is the list of endpoints. It retains endpoints that are missing only because
// the platform was unreachable.
//
// It guards against an empty pool after an outage: all entries have expired, and the
// first list after it is empty, although every endpoint is healthy. Only the first answer
// after an outage is ambiguous. An entry that a later answer removes has left, and an entry
// that is still missing when reregistrationTime is over counts as left too.
//
// An engine may restart under its name, and a read may return the state of the store some
// seconds earlier. Going back to an earlier start would restore outdated state of that
// endpoint, so the newest start of each name is recorded.
type endpointList struct {
	listed        map[string]bvplatform.Endpoint
	missing       map[string]bvplatform.Endpoint // not listed, but retained for now
	substitute    []bvplatform.Endpoint          // partial list, or another host's, used in place of this one; nil: none
	next          int64                          // platform's change sequence number up to which the list is known
	log           changeLog
	minExpiry     bvclock.Duration        // in an outage that is shorter, no entry expires
	answeredAt    bvclock.Time            // when the platform last answered a read of the list
	retainedUntil bvclock.Time            // end of the retention after the last outage
	readFailed    bool                    // a read has failed since then
	substitutedAt bvclock.Time            // time of the first substitute since the last own list
	newestStarts  map[string]bvclock.Time // newest start of each name that is not listed
}

// listUpdate is the effect of an update on the list in use.
type listUpdate struct {
	full   bool // listed is the full list
	listed []bvplatform.Endpoint
	gone   []bvplatform.Endpoint // their entries before the update
	events listEvents
}

// recordFailure records that the list could not be read.
func (list *endpointList) recordFailure() { list.readFailed = true }

// update applies an answer to the list, and reports whether the endpoints in use may differ
// from those before.
func (list *endpointList) update(now bvclock.Time, changes bvplatform.EndpointChanges) (listUpdate, bool) {
	outageStart, entriesMayHaveExpired := list.answeredAt, list.readFailed && now.Sub(list.answeredAt) >= list.minExpiry
	list.readFailed, list.answeredAt = false, now
	isFull := changes.Whole || list.listed == nil || list.substitute != nil
	list.substitute, list.substitutedAt = nil, 0
	list.next = changes.Next
	update := list.applyAnswer(changes)
	if entriesMayHaveExpired {
		list.retainedUntil = now.Add(reregistrationTime)
		list.retain(changes.Unusable, &update)
	}
	list.resumeRetention(outageStart, &update)
	if !entriesMayHaveExpired {
		list.endRetention(now, slices.Concat(changes.Gone, changes.Unusable))
	}
	list.dropRetained(now, &update)
	if isFull {
		update.full, update.listed = true, list.all()
		return update, true
	}
	return update, len(update.listed)+len(update.gone) > 0
}

// applyAnswer applies the changes of an answer, or replaces the list by a full one.
func (list *endpointList) applyAnswer(changes bvplatform.EndpointChanges) listUpdate {
	if !changes.Whole {
		return list.apply(changes)
	}
	list.log.reset(changes.Next)
	older := list.listed
	list.listed = list.newestByName(changes.Listed)
	var update listUpdate
	for name, endpoint := range older {
		if _, found := list.listed[name]; !found {
			list.recordStart(endpoint)
			update.gone = append(update.gone, endpoint)
		}
	}
	update.events.addDifference(older, list.listed)
	return update
}

// retain keeps endpoints in use that an answer has removed. Those that were leaving, or whose
// entries can't be read, are not retained.
func (list *endpointList) retain(unusable []string, update *listUpdate) {
	missing := findMissing(list.listed, update.gone)
	for _, name := range unusable {
		delete(missing, name)
	}
	for name, endpoint := range missing {
		if endpoint.State != bvplatform.HostLive {
			continue
		}
		endpoint.RetainedUntil = list.retainedUntil
		if list.missing == nil {
			list.missing = make(map[string]bvplatform.Endpoint)
		}
		list.missing[name] = endpoint
		update.listed = append(update.listed, endpoint)
		update.events.retained = append(update.events.retained, name)
	}
	update.gone = slices.DeleteFunc(update.gone, func(endpoint bvplatform.Endpoint) bool { return list.isRetained(endpoint) })
}

// untilNextAnswer is the end of the retention while the list can't be read.
const untilNextAnswer = bvclock.Time(math.MaxInt64)

// holdRetention keeps the retained endpoints in use until the next answer, since they can't
// register again in a further outage. It returns them.
func (list *endpointList) holdRetention() (held []bvplatform.Endpoint) {
	for name, endpoint := range list.missing {
		if endpoint.RetainedUntil.After(list.answeredAt) {
			endpoint.RetainedUntil = untilNextAnswer
			list.missing[name] = endpoint
			held = append(held, endpoint)
		}
	}
	return held
}

// resumeRetention sets the end of the retention for the endpoints that were still retained
// when an outage began.
func (list *endpointList) resumeRetention(outageStart bvclock.Time, update *listUpdate) {
	for name, endpoint := range list.missing {
		if endpoint.RetainedUntil.After(outageStart) && endpoint.RetainedUntil != list.retainedUntil {
			endpoint.RetainedUntil = list.retainedUntil
			list.missing[name] = endpoint
			update.listed = append(update.listed, endpoint)
		}
	}
}

// endRetention ends the retention of endpoints whose entries were back and have been removed
// or overwritten.
func (list *endpointList) endRetention(now bvclock.Time, names []string) {
	for _, name := range names {
		if endpoint, found := list.missing[name]; found {
			endpoint.RetainedUntil = now
			list.missing[name] = endpoint
		}
	}
}

func (list *endpointList) isRetained(endpoint bvplatform.Endpoint) bool {
	retained, found := list.missing[endpoint.Name]
	return found && retained.ID() == endpoint.ID()
}

// dropRetained drops the retained endpoints that are listed again, whose addresses others
// have now, or whose time is over.
func (list *endpointList) dropRetained(now bvclock.Time, update *listUpdate) {
	if len(list.missing) == 0 {
		return
	}
	stillMissing := findMissing(list.listed, slices.Collect(maps.Values(list.missing)))
	for name, endpoint := range list.missing {
		if _, found := stillMissing[name]; found && now.Before(endpoint.RetainedUntil) {
			continue
		}
		delete(list.missing, name)
		listed, isListed := list.listed[name]
		if !isListed {
			update.events.dropped = append(update.events.dropped, name)
			update.listed = slices.DeleteFunc(update.listed, func(endpoint bvplatform.Endpoint) bool { return endpoint.Name == name })
		}
		if !isListed || listed.ID() != endpoint.ID() {
			update.gone = append(update.gone, endpoint)
		}
	}
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
// this host does not have all of them. A host whose own list is newer gets no changes: its
// list has all that this one has.
func (list *endpointList) since(after int64) (bvplatform.EndpointChanges, bool) {
	names, known := list.log.since(after)
	if !known || !list.isComplete() {
		return bvplatform.EndpointChanges{}, false
	}
	if after > list.next {
		return bvplatform.EndpointChanges{Next: after}, true
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
	if until := list.substitutedAt.Add(reregistrationTime); now.Before(until) {
		for _, endpoint := range findMissing(newest, list.ownEndpoints()) {
			endpoint.RetainedUntil = until
			list.substitute = append(list.substitute, endpoint)
		}
	}
	return list.substitute
}

// applyPartial uses a part of the list, or changes of the part in use.
func (list *endpointList) applyPartial(now bvclock.Time, changes bvplatform.EndpointChanges) []bvplatform.Endpoint {
	if list.substitute == nil {
		return list.useSubstitute(now, changes.Listed)
	}
	removed := make(map[string]bool)
	for _, name := range slices.Concat(changes.Gone, changes.Unusable) {
		removed[name] = true
	}
	for _, endpoint := range changes.Listed {
		removed[endpoint.Name] = true
	}
	kept := slices.DeleteFunc(slices.Clone(list.substitute), func(endpoint bvplatform.Endpoint) bool { return removed[endpoint.Name] })
	return list.useSubstitute(now, append(kept, changes.Listed...))
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
			missing[endpoint.Name] = endpoint
		}
	}
	return missing
}
