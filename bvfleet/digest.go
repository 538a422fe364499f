package bvfleet

import (
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvroute"
)

// exchangeDigests gives each host the other hosts' calls and prompts, as their digests
// would.
func (simulation *simulation) exchangeDigests() {
	zoneCounts := make([]map[uint64]int, simulation.load.Zones) // calls of a zone's hosts
	for zone := range zoneCounts {
		zoneCounts[zone] = make(map[uint64]int)
	}
	for _, host := range simulation.hosts {
		for engine, running := range host.running {
			zoneCounts[host.zone][engine] += running
		}
	}
	for _, host := range simulation.hosts {
		host.pool.SetPeerLoads(simulation.now, simulation.peerLoads(host, zoneCounts[host.zone]))
	}
	for _, host := range simulation.hosts {
		simulation.sendPlacements(host)
		simulation.sendOutcomes(host)
	}
}

// peerLoads returns the other hosts' calls that digests report to a host.
func (simulation *simulation) peerLoads(host *host, zoneCalls map[uint64]int) map[uint64]int {
	loads := make(map[uint64]int)
	for _, engine := range simulation.engines {
		loads[engine.hash] = zoneCalls[engine.hash] - host.running[engine.hash]
		if simulation.load.GlobalDigests || engine.zone == host.zone {
			loads[engine.hash] = engine.calls() - host.running[engine.hash]
		}
	}
	return loads
}

// sendPlacements sends a host's new placements to the hosts of its zone, and to other
// hosts only those on engines of their zone.
func (simulation *simulation) sendPlacements(sender *host) {
	for _, host := range simulation.hosts {
		if host == sender {
			continue
		}
		for _, placement := range sender.unsentPlacements {
			if host.zone == sender.zone || host.zone == simulation.byHash[placement.Endpoint].zone {
				host.pool.AddPeerPlacement(placement.Endpoint, []bvroute.Part{placement.Part})
			}
		}
	}
	sender.unsentPlacements = []bvdispatch.Placement{}
}
