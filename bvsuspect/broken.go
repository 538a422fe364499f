package bvsuspect

import (
	"slices"

	"balsamvalve.example/bvclock"
)

const (
	// crashWindow is the time after a broken call within which the end of its endpoint
	// counts as a crash caused by the call. An endpoint whose machine is silent shows it by
	// its entry, which expires after some seconds.
	crashWindow = 10 * bvclock.Second
	// maxBrokenCalls bounds the broken calls that are retained.
	maxBrokenCalls = 1024
)

// brokenCalls are calls whose endpoints may have crashed. The zero value is empty.
type brokenCalls []brokenCall

type brokenCall struct {
	content  Content
	endpoint uint64
	at       bvclock.Time
	running  bool // the endpoint still ran when it was checked

	exclusive bool // the request ran exclusively
}

// DetectedCrash is a crash that this host detected.
type DetectedCrash struct {
	Crash
	BrokenFor bvclock.Duration // time from the broken call to the loss of the endpoint
}

// drop drops the calls that broke at an endpoint before a time.
func (calls *brokenCalls) drop(endpoint uint64, before bvclock.Time) {
	*calls = slices.DeleteFunc(*calls, func(call brokenCall) bool { return call.endpoint == endpoint && call.at.Before(before) })
}

func (calls *brokenCalls) removeExpired(now bvclock.Time) {
	*calls = slices.DeleteFunc(*calls, func(call brokenCall) bool { return now.Sub(call.at) > crashWindow })
}

// RecordBrokenCall records that the connection to an endpoint broke during a request. This
// alone does not make the request a suspect: answers are lost for many reasons.
func (table *Table) RecordBrokenCall(now bvclock.Time, content Content, endpoint uint64, exclusive bool) {
	if len(table.brokenCalls) >= maxBrokenCalls {
		table.brokenCalls = slices.Delete(table.brokenCalls, 0, maxBrokenCalls/2)
	}
	table.brokenCalls = append(table.brokenCalls, brokenCall{content: content, endpoint: endpoint, at: now, exclusive: exclusive})
}

// RecordConnected records that an endpoint accepted connections after calls broke there.
func (table *Table) RecordConnected(endpoint uint64) {
	for i := range table.brokenCalls {
		if table.brokenCalls[i].endpoint == endpoint {
			table.brokenCalls[i].running = true
		}
	}
}

// RecordEndpointLoss records a sign that an endpoint has ended. The features of the requests whose
// calls broke there within crashWindow become suspects; it returns them.
func (table *Table) RecordEndpointLoss(now bvclock.Time, endpoint uint64, sign Sign) (crashes []DetectedCrash) {
	if sign == Unreachable {
		return nil
	}
	table.brokenCalls = slices.DeleteFunc(table.brokenCalls, func(call brokenCall) bool {
		age := now.Sub(call.at)
		isCrash := age <= crashWindow && call.endpoint == endpoint && (sign != Removed || !call.running)
		if isCrash {
			crashes = append(crashes, table.recordCrashes(now, call)...)
		}
		return isCrash || age > crashWindow
	})
	return crashes
}

// recordCrashes records the crash of an endpoint against each feature of a call that broke there.
func (table *Table) recordCrashes(now bvclock.Time, call brokenCall) (crashes []DetectedCrash) {
	for _, feature := range call.content.features() {
		crash := Crash{feature, call.endpoint}
		if table.RecordCrash(now, crash, call.exclusive) {
			crashes = append(crashes, DetectedCrash{crash, now.Sub(call.at)})
		}
	}
	return crashes
}
