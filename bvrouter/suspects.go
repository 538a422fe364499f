package bvrouter

import (
	"context"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgossip"
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
	changes := router.suspects.TakeChanges(minCrashes)
	if len(changes) == 0 {
		return
	}
	message := &bvgossip.Crashes{Host: router.settings.Name}
	for _, report := range changes {
		message.Crashes = append(message.Crashes, encodeReport(report))
	}
	router.gossip.SendCrashes(message)
}

// HandleCrashes implements bvgossip.Handler.
func (handler peerHandler) HandleCrashes(crashes *bvgossip.Crashes) {
	for _, crash := range crashes.GetCrashes() {
		handler.suspects.AddPeerReport(crashes.GetHost(), decodeReport(crash))
	}
}

func encodeReport(report bvsuspect.Report) *bvgossip.Crash {
	return &bvgossip.Crash{
		Request:    report.Request.Exact,
		AnyQuery:   report.Request.AnyQuery,
		Endpoint:   report.Endpoint,
		Age:        uint32(report.Age),
		Withdrawn:  report.Withdrawn,
		OtherQuery: report.OtherQuery,
	}
}

func decodeReport(crash *bvgossip.Crash) bvsuspect.Report {
	request := bvsuspect.Fingerprint{Exact: crash.GetRequest(), AnyQuery: crash.GetAnyQuery()}
	if request.AnyQuery == 0 {
		request.AnyQuery = request.Exact // an older build does not report it
	}
	return bvsuspect.Report{
		Crash:      bvsuspect.Crash{Request: request, Endpoint: crash.GetEndpoint()},
		Age:        bvclock.Duration(crash.GetAge()),
		Withdrawn:  crash.GetWithdrawn(),
		OtherQuery: crash.GetOtherQuery(),
	}
}
