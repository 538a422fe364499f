package bvsuspect

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"balsamvalve.example/bvclock"
)

const (
	// crashRetention is how long a request's crashes are retained after the last one. Then it
	// may run again: its endpoints may have been mended.
	crashRetention = 2 * bvclock.Hour
	// reportTime is how long a request's crashes are reported to other hosts after their last
	// change: some datagrams are lost, and some hosts are cut off for seconds.
	reportTime = 10 * bvclock.Second
	// maxSuspects bounds the requests that are retained, and maxReports the crashes that are
	// reported at once.
	maxSuspects = 4096
	maxReports  = 64
	// maxSuspectReports is how many of these are of one suspect. A popular part is in flight at nearly every
	// crash and changes with nearly every answer, so it would take the place of all others.
	maxSuspectReports = 16
)

// Fingerprint identifies what may crash endpoints: a request that its caller sends again, in the same
// workspace, with the same method, host, path, parent turn and body; or what requests of a workspace
// have in common. The zero value is none.
type Fingerprint struct {
	Exact    uint64 // hash of the request with its query
	AnyQuery uint64 // hash of the request without its query
	// Feature is what the hashes are of. Both are the same unless it is WholeRequest.
	Feature Feature
}

// Crash is the end of an endpoint while it ran a request, or one with a shared feature.
type Crash struct {
	Request  Fingerprint
	Endpoint uint64 // hash of the endpoint's ID, which differs with each start
}

// Report is the state of a crash as hosts exchange it. Reports can be merged in any order.
type Report struct {
	Crash
	Age bvclock.Duration // time since it was detected
	// Withdrawn: the endpoint did not crash, or the request did not cause it.
	Withdrawn bool
	Exclusive bool // the request ran exclusively
	// OtherQuery: an endpoint has answered the request with another query, so that the crash
	// counts against this query only.
	OtherQuery bool
}

// Table holds the requests that were in flight when endpoints crashed. It uses no clock:
// callers pass the time to its methods. The zero value is empty.
//
// Several requests are in flight at an endpoint that crashes. The one that caused it is never
// answered; for each other one, an answer withdraws the crashes that count against it. So does an
// answer of an endpoint that counted as crashed. The same holds for the shared features of these
// requests.
type Table struct {
	settleTime  bvclock.Duration // until a crash counts against a shared feature; 0: at once
	brokenCalls brokenCalls
	answered    recentAnswers
	suspects    map[uint64]*suspect // by exact request
	// families holds the suspects that differ in their query only.
	families map[uint64][]*suspect
	crashed  map[uint64][]*suspect // by endpoint
	unsaved  bool                  // Unsaved may have something to return
	unused   []unusedSuspect       // to remove next, the last one first
}

// suspect is a request or a shared feature that was in flight when endpoints crashed.
type suspect struct {
	request   Fingerprint
	crashes   map[uint64]*crash // by endpoint
	changedAt bvclock.Time
	// changedHere: this host has not yet reported a change that it detected itself.
	changedHere bool
}

// recordChange records a change of a crash that this host detected itself.
func (suspect *suspect) recordChange(now bvclock.Time, changed *crash) {
	suspect.changedAt, suspect.changedHere, changed.changedAt = now, true, now
}

type crash struct {
	at                    bvclock.Time
	withdrawn, otherQuery bool // as in Report
	exclusive             bool // as in Report
	changedAt             bvclock.Time

	here          bool // this host detected it
	withdrawnHere bool // this host withdrew it
	saved         bool // the platform's store may have it
}

// latest returns the time of the suspect's last crash.
func (suspect *suspect) latest() bvclock.Time {
	latest := bvclock.Time(0)
	for _, crash := range suspect.crashes {
		latest = max(latest, crash.at)
	}
	return latest
}

// RecordCrash records a crash that this host detected. A crash that is recorded twice counts
// once; it returns false the second time.
func (table *Table) RecordCrash(now bvclock.Time, crash Crash, exclusive bool) (isNew bool) {
	if !table.Merge(now, Report{Crash: crash, Exclusive: exclusive}) {
		return false
	}
	found := table.suspects[crash.Request.Exact]
	added := found.crashes[crash.Endpoint]
	added.here = true
	found.recordChange(now, added)
	return true
}

// Merge adds what a report contains, and reports whether it contained anything new.
func (table *Table) Merge(now bvclock.Time, report Report) (changed bool) {
	if report.Age >= crashRetention {
		return false
	}
	found := table.getOrAdd(now, report.Request)
	known := found.crashes[report.Endpoint]
	if known == nil {
		known = &crash{at: now.Add(-report.Age)}
		found.crashes[report.Endpoint] = known
		table.crashed[report.Endpoint] = append(table.crashed[report.Endpoint], found)
		changed = true
	}
	changed = known.merge(report.Withdrawn, report.OtherQuery) || report.Exclusive && !known.exclusive || changed
	known.exclusive = known.exclusive || report.Exclusive
	if changed {
		found.changedAt, known.changedAt, table.unsaved = now, now, true
	}
	isAnswered := table.answered.clears(now, report.Request.Exact, found.request.Feature, known.at)
	if known.merge(isAnswered, table.answered.clears(now, report.Request.AnyQuery, found.request.Feature, known.at)) {
		known.withdrawnHere = known.withdrawnHere || isAnswered
		found.recordChange(now, known)
		changed = true
	}
	return changed
}

// MergeSaved adds a crash that the platform's store has.
func (table *Table) MergeSaved(now bvclock.Time, report Report) (changed bool) {
	changed = table.Merge(now, report)
	if found := table.suspects[report.Request.Exact]; found != nil && found.crashes[report.Endpoint] != nil {
		found.crashes[report.Endpoint].saved, table.unsaved = true, true
	}
	return changed
}

// Unsaved returns up to limit crashes that the platform's store must have, or must no longer have
// since they are withdrawn. The host that detected a crash saves it.
func (table *Table) Unsaved(now bvclock.Time, limit int) []Report {
	if !table.unsaved {
		return nil
	}
	var unsaved []Report
	for _, suspect := range table.suspects {
		hasEnough := table.mayHaveCrashes(suspect.request, minSavedCrashes) && table.Crashes(suspect.request) >= minSavedCrashes
		for endpoint, crash := range suspect.crashes {
			mustSave := crash.here && !crash.withdrawn && !crash.saved && hasEnough
			mustRemove := crash.saved && crash.withdrawn && (crash.here || crash.withdrawnHere)
			if mustSave || mustRemove {
				unsaved = append(unsaved, crash.report(now, Crash{suspect.request, endpoint}))
			}
		}
	}
	table.unsaved = len(unsaved) > 0
	return unsaved[:min(len(unsaved), limit)]
}

// UnsavedOf returns the crashes that count against a request and that the store does not have, also
// those that other hosts detected.
func (table *Table) UnsavedOf(now bvclock.Time, request Fingerprint) []Report {
	var unsaved []Report
	for _, suspect := range table.families[request.AnyQuery] {
		for endpoint, crash := range suspect.crashes {
			if !crash.withdrawn && !crash.saved {
				unsaved = append(unsaved, crash.report(now, Crash{suspect.request, endpoint}))
			}
		}
	}
	return unsaved
}

// MarkSaved records that the platform's store has a crash, or no longer has it if it is
// withdrawn.
func (table *Table) MarkSaved(report Report) {
	found := table.suspects[report.Request.Exact]
	if found == nil || found.crashes[report.Endpoint] == nil {
		return
	}
	found.crashes[report.Endpoint].saved = !report.Withdrawn
}

// merge adds to the state of a crash, and reports whether it has changed.
func (crash *crash) merge(withdrawn, otherQuery bool) (changed bool) {
	changed = withdrawn && !crash.withdrawn || otherQuery && !crash.otherQuery
	crash.withdrawn, crash.otherQuery = crash.withdrawn || withdrawn, crash.otherQuery || otherQuery
	return changed
}

func (table *Table) getOrAdd(now bvclock.Time, request Fingerprint) *suspect {
	if found := table.suspects[request.Exact]; found != nil {
		found.request.Feature = max(found.request.Feature, request.Feature) // an older build reports each as a request
		return found
	}
	if table.suspects == nil {
		table.suspects, table.families, table.crashed = make(map[uint64]*suspect), make(map[uint64][]*suspect), make(map[uint64][]*suspect)
	}
	if len(table.suspects) >= maxSuspects {
		table.remove(table.leastUsed())
	}
	added := &suspect{request: request, crashes: make(map[uint64]*crash), changedAt: now}
	table.suspects[request.Exact] = added
	table.families[request.AnyQuery] = append(table.families[request.AnyQuery], added)
	return added
}

// RecordSharedAnswer records that an endpoint has answered a request with a shared feature, which was
// sent to it at a time. It returns the crashes before that, which no longer count against the feature.
func (table *Table) RecordSharedAnswer(now bvclock.Time, hash uint64, sentAt bvclock.Time) (withdrawn []Crash) {
	table.answered.add(now, hash, answer{sentAt, now})
	suspect := table.suspects[hash]
	if suspect == nil {
		return nil
	}
	for endpoint, crash := range suspect.crashes {
		if crash.withdrawn || !sentAt.After(crash.at) {
			continue
		}
		crash.withdrawn, crash.withdrawnHere, table.unsaved = true, true, true
		suspect.recordChange(now, crash)
		withdrawn = append(withdrawn, Crash{suspect.request, endpoint})
	}
	return withdrawn
}

// RecordAnswer records that an endpoint has answered a request completely. It returns the
// crashes that no longer count against the request.
func (table *Table) RecordAnswer(now bvclock.Time, request Fingerprint) (withdrawn []Crash) {
	table.answered.add(now, request.Exact, answer{now, now})
	table.answered.add(now, request.AnyQuery, answer{now, now})
	for _, suspect := range table.families[request.AnyQuery] {
		isExact := suspect.request.Exact == request.Exact
		for endpoint, crash := range suspect.crashes {
			wasWithdrawn := crash.withdrawn
			if crash.merge(isExact, true) {
				suspect.recordChange(now, crash)
			}
			if crash.withdrawn && !wasWithdrawn {
				crash.withdrawnHere, table.unsaved = true, true
				withdrawn = append(withdrawn, Crash{suspect.request, endpoint})
			}
		}
	}
	return withdrawn
}

// RecordRunning records that an endpoint has answered a request that was sent to it at a time: it
// has not crashed before. It returns the crashes that no longer count.
func (table *Table) RecordRunning(now bvclock.Time, endpoint uint64, sentAt bvclock.Time) (withdrawn []Crash) {
	table.brokenCalls.drop(endpoint, sentAt)
	for _, suspect := range table.crashed[endpoint] {
		crash := suspect.crashes[endpoint]
		if crash.withdrawn || !sentAt.After(crash.at) {
			continue
		}
		crash.withdrawn, crash.withdrawnHere, table.unsaved = true, true, true
		suspect.recordChange(now, crash)
		withdrawn = append(withdrawn, Crash{suspect.request, endpoint})
	}
	return withdrawn
}

// Crashes returns how many endpoints a request has crashed, also with other queries if it has
// come with several.
func (table *Table) Crashes(request Fingerprint) int {
	counted := table.counted(request, math.MaxInt64)
	return counted.crashes()
}

// Len returns the number of suspects.
func (table *Table) Len() int { return len(table.suspects) }

// TakeChanges returns what to report at once of the changes that this host has detected: those of
// requests that have crashed at least a number of endpoints, and those that clear a request. What is
// beyond maxReports is returned by the next calls.
func (table *Table) TakeChanges(now bvclock.Time, minCrashes int) []Report {
	var changed []*suspect
	for _, suspect := range table.suspects {
		if !suspect.changedHere {
			continue
		}
		if total := suspect.total(); total == 0 || max(total, table.Crashes(suspect.request)) >= minCrashes {
			changed = append(changed, suspect)
			continue
		}
		suspect.changedHere = false
	}
	slices.SortFunc(changed, compareUse)
	var reports []Report
	for _, suspect := range changed {
		if len(reports) >= maxReports {
			break
		}
		suspect.changedHere = false
		reports = append(reports, suspect.reports(now)...)
	}
	return reports
}

// Reports returns what to report to other hosts regularly, and removes old crashes.
func (table *Table) Reports(now bvclock.Time) []Report {
	table.removeExpired(now)
	table.brokenCalls.removeExpired(now)
	var changed []*suspect
	for _, suspect := range table.suspects {
		if now.Sub(suspect.changedAt) < reportTime {
			changed = append(changed, suspect)
		}
	}
	slices.SortFunc(changed, compareUse)
	var reports []Report
	for _, suspect := range changed[:min(len(changed), maxReports)] {
		ofSuspect := suspect.reports(now)
		reports = append(reports, ofSuspect[:min(len(ofSuspect), maxSuspectReports)]...)
	}
	return reports[:min(len(reports), maxReports)]
}

// reports returns what this host reports of a suspect. All hosts report a suspect with several
// crashes; one with a single crash only the host that detected or withdrew it, since there are many. Those
// that changed last come first.
func (suspect *suspect) reports(now bvclock.Time) []Report {
	reports := make([]Report, 0, len(suspect.crashes))
	changedAt := func(endpoint uint64) bvclock.Time { return suspect.crashes[endpoint].changedAt }
	latestFirst := func(a, b uint64) int { return cmp.Compare(changedAt(b), changedAt(a)) }
	for _, endpoint := range slices.SortedFunc(maps.Keys(suspect.crashes), latestFirst) {
		crash := suspect.crashes[endpoint]
		if len(suspect.crashes) < exclusiveCrashes && !crash.here && !crash.withdrawnHere {
			continue
		}
		reports = append(reports, crash.report(now, Crash{suspect.request, endpoint}))
	}
	return reports
}

func (crash *crash) report(now bvclock.Time, of Crash) Report {
	return Report{
		Crash: of, Age: now.Sub(crash.at), Withdrawn: crash.withdrawn, Exclusive: crash.exclusive, OtherQuery: crash.otherQuery,
	}
}
