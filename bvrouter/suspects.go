package bvrouter

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgossip"
	"balsamvalve.example/bvsuspect"
)

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
