package bvfleet

import (
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvroute"
)

// tellDigests tells each host of the others' calls and prompts, as their digests would.
func (play *simulation) tellDigests() {
	ofZone := make([]map[uint64]int, play.load.Zones) // calls of a zone's hosts
	for zone := range ofZone {
		ofZone[zone] = make(map[uint64]int)
	}
	for _, host := range play.hosts {
		for engine, running := range host.running {
			ofZone[host.zone][engine] += running
		}
	}
	for _, host := range play.hosts {
		host.pool.SetPeerLoads(play.now, play.loadsFor(host, ofZone[host.zone]))
	}
	for _, host := range play.hosts {
		play.tellPlaced(host)
	}
}

// loadsFor returns the calls of the other hosts, as far as a host hears of them.
func (play *simulation) loadsFor(host *host, mates map[uint64]int) map[uint64]int {
	loads := make(map[uint64]int)
	for _, engine := range play.engines {
		loads[engine.hash] = mates[engine.hash] - host.running[engine.hash]
		if play.load.GlobalDigests || engine.zone == host.zone {
			loads[engine.hash] = engine.calls() - host.running[engine.hash]
		}
	}
	return loads
}

// tellPlaced tells what a host has placed to those of its zone, and to others what
// concerns their engines.
func (play *simulation) tellPlaced(teller *host) {
	for _, host := range play.hosts {
		if host == teller {
			continue
		}
		for _, placed := range teller.placed {
			if host.zone == teller.zone || host.zone == play.byHash[placed.Endpoint].zone {
				host.pool.AddPeerPlacement(placed.Endpoint, []bvroute.Part{placed.Part})
			}
		}
	}
	teller.placed = []bvdispatch.Placement{}
}
