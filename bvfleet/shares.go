package bvfleet

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvshare"
)

// The intervals between digests grow with the number of hosts, and are longer between
// availability zones, as in bvgossip.
const (
	minZoneInterval          = 100 * bvclock.Millisecond
	zoneIntervalPerHost      = 2 * bvclock.Millisecond
	minCrossZoneInterval     = 400 * bvclock.Millisecond
	crossZoneIntervalPerHost = 6 * bvclock.Millisecond
)

// exchangeShares sends the reports of the workspaces' work that are due now. Hosts send at
// different times.
func (simulation *simulation) exchangeShares() {
	count := bvclock.Duration(len(simulation.hosts))
	zoneInterval := max(minZoneInterval, count*zoneIntervalPerHost)
	crossZoneInterval := max(minCrossZoneInterval, count*crossZoneIntervalPerHost)
	for i, sender := range simulation.hosts {
		elapsed := bvclock.Duration(simulation.now) + bvclock.Duration(i)*crossZoneInterval/count
		toZone, toOthers := elapsed%zoneInterval == 0, elapsed%crossZoneInterval == 0
		if !toZone && !toOthers {
			continue
		}
		sender.pool.Shares().SetHosts(len(simulation.hosts)-1, crossZoneInterval)
		usages := sender.pool.Shares().Report(simulation.now)
		simulation.result.ShareReports++
		simulation.result.ShareEntries += len(usages)
		simulation.sendShares(i, usages, toZone, toOthers)
	}
}

// sendShares sends a host's report to the hosts of its availability zone, of the others, or
// both.
func (simulation *simulation) sendShares(sender int, usages []bvshare.Usage, toZone, toOthers bool) {
	zone := simulation.hosts[sender].zone
	for i, host := range simulation.hosts {
		if i != sender && (host.zone == zone && toZone || host.zone != zone && toOthers) {
			host.pool.Shares().SetPeerUsage(simulation.now, uint64(sender), usages)
		}
	}
}
