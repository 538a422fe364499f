package bvrouter

import (
	"slices"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvplatform"
)

// listEvents holds the names of the endpoints whose use changed in an update of the list.
type listEvents struct {
	added    []string // new on the list, or no longer leaving
	leaving  []string // on the list, but no longer accept calls
	removed  []string // no longer on the list
	retained []string // not on the list, and in use until their entries may be back
	dropped  []string // retained until now
}

// addChange adds the change of one entry; found is false if there was none before.
func (events *listEvents) addChange(before bvplatform.Endpoint, found bool, after bvplatform.Endpoint) {
	isLive, wasLive := after.State == bvplatform.HostLive, found && before.State == bvplatform.HostLive
	switch {
	case isLive && !wasLive:
		events.added = append(events.added, after.Name)
	case !isLive && (!found || wasLive):
		events.leaving = append(events.leaving, after.Name)
	}
}

// addDifference adds the differences of two full lists.
func (events *listEvents) addDifference(before, after map[string]bvplatform.Endpoint) {
	for name, endpoint := range after {
		previous, found := before[name]
		events.addChange(previous, found, endpoint)
	}
	for name := range before {
		if _, found := after[name]; !found {
			events.removed = append(events.removed, name)
		}
	}
}

// logListEvents logs an update of the list, with what decides whether a call after it was
// late: where the answer came from, when it was requested, how old the list was before it,
// and the platform's change sequence number, which is the same on all hosts.
func (router *Router) logListEvents(events listEvents, answer endpointAnswer) {
	now := router.clock.Now()
	entry := router.log.WithFields(logrus.Fields{
		"source":   answer.source(),
		"asked_ms": int64(now.Sub(answer.requestedAt)),
		"list_ms":  int64(answer.listAge),
		"sequence": answer.changes.Next,
	})
	logNames(entry.WithField("versions", versionsOf(events.added, answer.changes.Listed)), "endpoints listed", events.added)
	logNames(entry, "endpoints leaving", events.leaving)
	logNames(entry, "endpoints removed", events.removed)
	logNames(entry, "endpoints retained", events.retained)
	logNames(entry, "retained endpoints dropped", events.dropped)
}

// versionsOf returns the software versions of the named endpoints among the listed ones, with
// the number of endpoints of each.
func versionsOf(names []string, listed []bvplatform.Endpoint) map[string]int {
	versions := make(map[string]int)
	for _, endpoint := range listed {
		if slices.Contains(names, endpoint.Name) {
			versions[endpoint.Version]++
		}
	}
	return versions
}

// maxLoggedNames bounds the length of a log line.
const maxLoggedNames = 50

func logNames(entry *logrus.Entry, message string, names []string) {
	if len(names) == 0 {
		return
	}
	slices.Sort(names)
	entry.WithFields(logrus.Fields{"count": len(names), "endpoints": names[:min(len(names), maxLoggedNames)]}).Info(message)
}
