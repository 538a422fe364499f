package bvrouter

import (
	"context"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgossip"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvsuspect"
)

// minLargeFleetCrashes is the number of crashes of a request from which each change is sent to all
// hosts of a large fleet at once. Other changes are in the next digests: many requests are in
// flight at each crash.
const minLargeFleetCrashes = 2

// reportSuspects reports crashes to other hosts as soon as this host detects them.
func (router *Router) reportSuspects(ctx context.Context) {
	for {
		select {
		case <-router.suspects.Changed():
			router.sendSuspectChanges()
		case <-ctx.Done():
			return
		}
	}
}

func (router *Router) sendSuspectChanges() {
	minCrashes := 0
	if router.fleet().isLarge() {
		minCrashes = minLargeFleetCrashes
	}
	for changes := router.suspects.TakeChanges(minCrashes); len(changes) > 0; changes = router.suspects.TakeChanges(minCrashes) {
		message := &bvgossip.Crashes{Host: router.settings.Name}
		for _, report := range changes {
			message.Crashes = append(message.Crashes, encodeReport(report))
		}
		router.gossip.SendCrashes(message)
	}
}

// HandleCrashes implements bvgossip.Handler.
func (handler peerHandler) HandleCrashes(crashes *bvgossip.Crashes) {
	for _, crash := range crashes.GetCrashes() {
		handler.suspects.AddPeerReport(crashes.GetHost(), decodeReport(crash))
	}
}

const (
	// saveInterval is the time between two checks for crashes to save.
	saveInterval = 100 * bvclock.Millisecond
	// maxStall is how much longer such an interval may take before this host may have missed
	// reports of others.
	maxStall = bvclock.Second
	// loadRetryInterval is the minimum time between two reads of the saved crashes.
	loadRetryInterval = 500 * bvclock.Millisecond
	// isolatedInterval is the time between two reads of the saved crashes while more than half of
	// the other hosts are silent; intervalPerIsolatedHost lengthens it with their number.
	isolatedInterval        = bvclock.Second
	intervalPerIsolatedHost = 5 * bvclock.Millisecond
)

// persistSuspects saves crashes in the platform's store, and reads those of other hosts after a
// time in which this host may have missed their reports.
func (router *Router) persistSuspects(ctx context.Context) {
	outage := bvlog.Outage{Dependency: "saved crashes", Log: router.log}
	mustLoad, triedAt := true, bvclock.Time(0)
	for ctx.Err() == nil {
		before, wasReachable := router.clock.Now(), router.store.isReachable()
		pause(ctx, saveInterval)
		if !router.store.hasRoute() {
			continue
		}
		now := router.clock.Now()
		regained, stalled := !wasReachable && router.store.isReachable(), now.Sub(before) > saveInterval+maxStall
		mustLoad = mustLoad || regained || stalled || router.isIsolatedSince(triedAt)
		if mustLoad && now.Sub(triedAt) >= loadRetryInterval {
			err := router.suspects.Load(ctx)
			outage.Record(unlessCanceled(ctx, err))
			mustLoad, triedAt = err != nil, now
		}
		if err := router.suspects.Save(ctx); err != nil {
			router.log.WithError(err).Debug("crashes not saved; retried later")
		}
	}
}

// isIsolatedSince reports whether the saved crashes must be read again, because most other hosts
// are silent; triedAt is the time of the last read.
func (router *Router) isIsolatedSince(triedAt bvclock.Time) bool {
	known, reachable, _ := router.gossip.PeerStats()
	interval := max(isolatedInterval, bvclock.Duration(known)*intervalPerIsolatedHost)
	return 2*reachable < known && router.clock.Now().Sub(triedAt) >= interval
}

func encodeReport(report bvsuspect.Report) *bvgossip.Crash {
	return &bvgossip.Crash{
		Request:    report.Request.Exact,
		AnyQuery:   report.Request.AnyQuery,
		Endpoint:   report.Endpoint,
		Age:        uint32(report.Age),
		Withdrawn:  report.Withdrawn,
		Exclusive:  report.Exclusive,
		OtherQuery: report.OtherQuery,
		Feature:    uint32(report.Request.Feature),
	}
}

func decodeReport(crash *bvgossip.Crash) bvsuspect.Report {
	request := bvsuspect.Fingerprint{Exact: crash.GetRequest(), AnyQuery: crash.GetAnyQuery(), Feature: bvsuspect.Feature(crash.GetFeature())}
	if request.AnyQuery == 0 {
		request.AnyQuery = request.Exact // an older build does not report it
	}
	return bvsuspect.Report{
		Crash:      bvsuspect.Crash{Request: request, Endpoint: crash.GetEndpoint()},
		Age:        bvclock.Duration(crash.GetAge()),
		Withdrawn:  crash.GetWithdrawn(),
		Exclusive:  crash.GetExclusive(),
		OtherQuery: crash.GetOtherQuery(),
	}
}
