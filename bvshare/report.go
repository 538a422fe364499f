package bvshare

import (
	"cmp"
	"maps"
	"slices"

	"balsamvalve.example/bvclock"
)

const (
	// reportTimeout is how long a report counts at least, and reportLags is the same as a
	// multiple of the interval between reports: one or two of them may be lost.
	reportTimeout = 1500 * bvclock.Millisecond
	reportLags    = 3
	// minReportedRate is the rate below which a workspace is dropped: a thousandth of an
	// engine makes no difference.
	minReportedRate = 0.001
)

// report is the last report of another host.
type report struct {
	usages     []Usage // the largest first
	receivedAt bvclock.Time
}

// Report returns this host's counts for its next digest: those of the workspaces with the
// largest demand, and at the end the sum of all others as that of Remainder.
func (shares *Shares) Report(now bvclock.Time) []Usage {
	usages := make([]Usage, 0, len(shares.own)+1)
	for workspace, account := range shares.own {
		if usage := account.at(now).usage(); usage.demand() >= minReportedRate {
			usages = append(usages, usage)
			continue
		}
		delete(shares.own, workspace)
	}
	slices.SortFunc(usages, largestFirst)
	remainder := Usage{Workspace: Remainder}
	for _, usage := range usages[min(len(usages), maxReported):] {
		remainder.Asked += usage.Asked
		remainder.Used += usage.Used
	}
	return append(usages[:min(len(usages), maxReported)], remainder)
}

func largestFirst(a, b Usage) int {
	return cmp.Or(cmp.Compare(b.demand(), a.demand()), cmp.Compare(a.Workspace, b.Workspace))
}

// SetPeerUsage records the report of another host. Further entries than a report can have
// are ignored, and rates that are invalid count as 0.
func (shares *Shares) SetPeerUsage(now bvclock.Time, host uint64, usages []Usage) {
	if shares.peers == nil {
		shares.peers = make(map[uint64]report)
	}
	if _, known := shares.peers[host]; !known && len(shares.peers) >= maxPeers {
		shares.dropOldReports(now)
		if len(shares.peers) >= maxPeers {
			return
		}
	}
	usages = slices.Clone(usages[:min(len(usages), maxReported+1)])
	for i := range usages {
		usages[i].Asked, usages[i].Used = validRate(usages[i].Asked), validRate(usages[i].Used)
	}
	shares.peers[host] = report{usages: usages, receivedAt: now}
}

func validRate(rate float64) float64 {
	if !isPositive(rate) {
		return 0
	}
	return min(rate, maxRate)
}

// dropOldReports removes the reports of hosts that no longer send any.
func (shares *Shares) dropOldReports(now bvclock.Time) {
	timeout := max(reportTimeout, reportLags*shares.lag)
	maps.DeleteFunc(shares.peers, func(_ uint64, report report) bool { return now.Sub(report.receivedAt) > timeout })
}
