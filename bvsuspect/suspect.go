// Package bvsuspect finds requests that crash the endpoints that run them.
//
// A request may crash each endpoint that runs it, and its caller sends it again through any
// host: without this package it would crash one endpoint after the other. A crash is a call
// that broke and the end of its endpoint. Answers are lost for many reasons, so the host whose
// call broke checks at once whether the endpoint still runs; where that can't be found out, the
// list of endpoints and later calls show it. Each host records what it detects, and reports it
// to the others. An answer to the request, or of the endpoint, withdraws a crash. The crashes
// of requests with several of them are in the platform's store too: hosts that start or were
// cut off read them there.
//
// Requests that differ may crash endpoints by what they have in common: the path, the object that they
// concern, or a part of their prompts. So a crash counts against each of these features of a call that broke
// there, and a request is restricted by its worst feature.
//
// A Table holds what is known; it is pure logic. Suspects wraps a Table for concurrent use,
// and writes a log line for each step that decides whether a request is refused.
//
// # Usage
//
//	suspects := bvsuspect.New(clock, store, counters, log)
//	suspects.RecordBrokenCall(call)
//	suspects.RecordCheck(call, connections.Check(ctx, endpoint))
//	switch decision := suspects.Decide(content); decision.Access {
//	case bvsuspect.Exclusive:
//		claim, err := suspects.Claim(ctx, decision) // and EndClaim after the run
//	case bvsuspect.Denied:
//		// refuse the request until decision.RetryAfter
//	}
//
// # What a suspect may do
//
// A request that has crashed one endpoint is sent on as any other: nearly all of those in flight at
// a crash did not cause it. One that has crashed two runs exclusively, at one endpoint at a time:
// hosts claim the right to run it in the platform's store. One that has crashed three is refused,
// and may run exclusively once after ten seconds, a minute, ten minutes, and each hour.
package bvsuspect

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvforward"
	"balsamvalve.example/bvplatform"
)

//go:generate stringer -type=Sign -linecomment -output=sign_string.go

// Sign is a sign that an endpoint has ended.
type Sign int

// The signs. Unreachable alone proves nothing: a link may be cut, or the endpoint may have too
// many connections. Removed counts only where the endpoint did not accept connections when it
// was checked: endpoints also leave as planned.
const (
	Unreachable     Sign = iota // unreachable
	Refused                     // connection refused
	AnotherInstance             // another instance
	Restarted                   // restarted
	Removed                     // removed from the list
)

// BrokenCall is a call to an endpoint that ended without a complete answer.
type BrokenCall struct {
	Content
	Endpoint uint64 // hash of the endpoint's ID
	// ID, Route and Name describe the call in the log: the request's ID, its route, and the
	// endpoint's name.
	ID, Route string
	Name      string
	TimedOut  bool // the call's deadline passed
	HasAnswer bool // the endpoint began to answer
	Exclusive bool // the request ran exclusively
}

// Counters counts events.
type Counters interface {
	Count(name, kind string)
}

// Suspects holds the requests that may crash endpoints, as known to this host. It is safe
// for concurrent use. Make one with New.
type Suspects struct {
	clock    bvclock.Clock
	counters Counters
	log      logrus.FieldLogger

	store bvplatform.Store
	// unixMilli returns the time that saved rows have, as other hosts have another clock.
	unixMilli func() int64

	changed chan struct{} // has an element while TakeChanges has something to return

	mutex  sync.Mutex
	table  Table
	losses lossLog
	// endedClaims are claims that the store must no longer have.
	endedClaims []*Claim
}

// New returns Suspects without suspects. They are saved in a store.
func New(clock bvclock.Clock, store bvplatform.Store, counters Counters, log logrus.FieldLogger) *Suspects {
	return &Suspects{
		table: Table{settleTime: sharedSettleTime},
		clock: clock, store: store, counters: counters, log: log, changed: make(chan struct{}, 1),
		unixMilli: func() int64 { return time.Now().UnixMilli() },
	}
}

// Changed returns a channel that receives when there are changes to take.
func (suspects *Suspects) Changed() <-chan struct{} { return suspects.changed }

func (suspects *Suspects) signalChange() {
	select {
	case suspects.changed <- struct{}{}:
	default: // it is signaled already
	}
}

// TakeChanges returns the changes to report to other hosts at once: those of requests that have
// crashed at least a number of endpoints, and those that clear a request.
func (suspects *Suspects) TakeChanges(minCrashes int) []Report {
	now := suspects.clock.Now()
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	return suspects.table.TakeChanges(now, minCrashes)
}

// Len returns the number of suspects.
func (suspects *Suspects) Len() int {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	return suspects.table.Len()
}

// RestrictedCount returns the number of requests that run exclusively or are denied.
func (suspects *Suspects) RestrictedCount() int {
	now := suspects.clock.Now()
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	return suspects.table.RestrictedCount(now)
}

// RecordBrokenCall records that a call broke at an endpoint that may have run it.
func (suspects *Suspects) RecordBrokenCall(call BrokenCall) {
	now := suspects.clock.Now()
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	suspects.table.RecordBrokenCall(now, call.Content, call.Endpoint, call.Exclusive)
	suspects.counters.Count("broken_calls", call.kind())
	suspects.log.WithFields(logrus.Fields{
		"request":     call.ID,
		"route":       call.Route,
		"content":     FormatHash(call.Request.Exact),
		"any_query":   FormatHash(call.Request.AnyQuery),
		"shared":      formatShared(call.Shared),
		"endpoint":    call.Name,
		"incarnation": FormatHash(call.Endpoint),
		"kind":        call.kind(),
	}).Info("call broke at an endpoint")
}

// kind names the way in which a call broke.
func (call BrokenCall) kind() string {
	switch {
	case call.TimedOut:
		return "timed out"
	case call.HasAnswer:
		return "within the answer"
	}
	return "without an answer"
}

// RecordCheck records whether an endpoint still ran when it was checked after a call broke
// there.
func (suspects *Suspects) RecordCheck(call BrokenCall, result bvforward.Liveness) {
	suspects.counters.Count("endpoint_checks", result.String())
	suspects.log.WithFields(logrus.Fields{
		"request": call.ID, "endpoint": call.Name, "incarnation": FormatHash(call.Endpoint), "result": result.String(),
	}).Info("endpoint checked after a broken call")
	switch result {
	case bvforward.Refused:
		suspects.RecordEndpointLoss(call.Endpoint, Refused)
	case bvforward.Running:
		suspects.mutex.Lock()
		defer suspects.mutex.Unlock()
		suspects.table.RecordConnected(call.Endpoint)
	}
}

// RecordEndpointLoss records a sign that an endpoint has ended.
func (suspects *Suspects) RecordEndpointLoss(endpoint uint64, sign Sign) {
	now := suspects.clock.Now()
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	suspects.counters.Count("endpoint_losses", sign.String())
	crashes := suspects.table.RecordEndpointLoss(now, endpoint, sign)
	if suspects.losses.add(now, endpoint) {
		suspects.log.WithFields(logrus.Fields{
			"incarnation": FormatHash(endpoint), "sign": sign.String(), "broken_calls": len(crashes),
		}).Info("endpoint lost")
	}
	for _, crash := range crashes {
		suspects.counters.Count("crashes", "here")
		suspects.logCrash(crash.Crash, "crash counted", logrus.Fields{
			"source": "here", "sign": sign.String(), "broken_ms": int64(crash.BrokenFor),
		})
	}
	if len(crashes) > 0 {
		suspects.signalChange()
	}
}

// Answer is a complete answer of an endpoint.
type Answer struct {
	Content
	SentAt  bvclock.Time // when the request was sent to the endpoint
	Partial bool         // the endpoint ran a part of the request only: the rest of a stream
}

// RecordAnswer records that an endpoint has answered a request completely.
func (suspects *Suspects) RecordAnswer(answer Answer) {
	now := suspects.clock.Now()
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	suspects.logWithdrawn(suspects.table.RecordAnswer(now, answer.Request), "request answered")
	if answer.Partial {
		return
	}
	for _, shared := range answer.Shared {
		suspects.logWithdrawn(suspects.table.RecordSharedAnswer(now, shared.Exact, answer.SentAt), "request with it answered")
	}
}

// RecordRunning records that an endpoint has answered a request that was sent to it at a time.
func (suspects *Suspects) RecordRunning(endpoint uint64, sentAt bvclock.Time) {
	now := suspects.clock.Now()
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	suspects.logWithdrawn(suspects.table.RecordRunning(now, endpoint, sentAt), "endpoint answered")
}

func (suspects *Suspects) logWithdrawn(withdrawn []Crash, reason string) {
	for _, crash := range withdrawn {
		suspects.counters.Count("crashes_withdrawn", reason)
		suspects.logCrash(crash, "crash withdrawn", logrus.Fields{"reason": reason})
	}
	if len(withdrawn) > 0 {
		suspects.signalChange()
	}
}

// AddPeerReport adds what another host reports of a crash.
func (suspects *Suspects) AddPeerReport(host string, report Report) {
	suspects.addReport(host, report, (*Table).Merge)
}

// addReport adds a report by a method of the table, and logs what has changed.
func (suspects *Suspects) addReport(source string, report Report, merge func(*Table, bvclock.Time, Report) bool) {
	now := suspects.clock.Now()
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	before := suspects.table.Crashes(report.Request)
	if !merge(&suspects.table, now, report) {
		return
	}
	suspects.signalChange() // the request may have been answered here
	message := "crash counted"
	switch after := suspects.table.Crashes(report.Request); {
	case after < before:
		message = "crash withdrawn"
	case after == before:
		return // the report does not change what counts
	}
	suspects.counters.Count("crashes", "other hosts")
	suspects.logCrash(report.Crash, message, logrus.Fields{"source": source, "age_ms": int64(report.Age)})
}

// logCrash logs a change of a crash. A single crash of a shared feature is not logged: nearly all of
// those in flight did not cause it.
func (suspects *Suspects) logCrash(crash Crash, message string, fields logrus.Fields) {
	crashes := suspects.table.Crashes(crash.Request)
	if crash.Request.Feature.isShared() && crashes < exclusiveCrashes {
		return
	}
	suspects.log.WithFields(fields).WithFields(logrus.Fields{
		"content":     FormatHash(crash.Request.Exact),
		"any_query":   FormatHash(crash.Request.AnyQuery),
		"feature":     crash.Request.Feature.String(),
		"incarnation": FormatHash(crash.Endpoint),
		"crashes":     crashes,
	}).Info(message)
}

// Decide decides what a request may do.
func (suspects *Suspects) Decide(content Content) Decision {
	now := suspects.clock.Now()
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	return suspects.table.DecideContent(now, content)
}

// Reports returns what to report to other hosts.
func (suspects *Suspects) Reports() []Report {
	now := suspects.clock.Now()
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	return suspects.table.Reports(now)
}

// formatShared formats shared features for the log.
func formatShared(shared []Fingerprint) string {
	formatted := make([]string, len(shared))
	for i, fingerprint := range shared {
		formatted[i] = fingerprint.Feature.String() + " " + FormatHash(fingerprint.Exact)
	}
	return strings.Join(formatted, ",")
}

// FormatHash formats a hash for the log.
func FormatHash(hash uint64) string { return fmt.Sprintf("%016x", hash) }

const (
	// lossLogInterval is the time between two log lines about the loss of the same
	// endpoint: each call that can't reach it is a sign.
	lossLogInterval = 10 * bvclock.Second
	// maxLoggedLosses bounds the endpoints whose last line is remembered.
	maxLoggedLosses = 1024
)

// lossLog limits the log lines about lost endpoints. The zero value is empty.
type lossLog struct {
	loggedAt map[uint64]bvclock.Time // by endpoint
}

// add reports whether the loss of an endpoint is to be logged.
func (losses *lossLog) add(now bvclock.Time, endpoint uint64) bool {
	if at, found := losses.loggedAt[endpoint]; found && now.Sub(at) < lossLogInterval {
		return false
	}
	if losses.loggedAt == nil || len(losses.loggedAt) >= maxLoggedLosses {
		losses.loggedAt = make(map[uint64]bvclock.Time)
	}
	losses.loggedAt[endpoint] = now
	return true
}
