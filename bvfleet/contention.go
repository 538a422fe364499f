package bvfleet

import "balsamvalve.example/bvclock"

// ContendedLoad returns a load of short urgent programs and long programs on engines of 12
// slots, with a surge of four times the usual rate for eight seconds. At the usual rate the
// engines are hardly busy; the surge is beyond what they can serve in time.
func ContendedLoad(hosts int) Load {
	perHost := float64(hosts)
	return Load{
		Hosts: hosts, Zones: 3, Engines: max(hosts*48/84, 3),
		Engine: Engine{Slots: 12, CacheTokens: 294_983, PrefillRate: 256, PrefillChunk: 2048, TokenTime: 0.925, TokenTimePerCall: 0.07},
		Kinds: []Kind{
			{
				Name: "short", Rate: 0.64 * perHost, Priority: 0, Turns: Lognormal{4, 0.4}, SharedPrefixes: 8, PrefixSize: Lognormal{12_600, 0.3},
				Input: Lognormal{1680, 0.7}, Output: Lognormal{250, 0.6}, Pause: Lognormal{140, 0.6}, Slack: 1.6, ExtraTime: 200,
			},
			{
				Name: "long", Rate: 0.14 * perHost, Priority: 2, Turns: Lognormal{11, 0.4}, SharedPrefixes: 8, PrefixSize: Lognormal{12_600, 0.3},
				Input: Lognormal{840, 0.7}, Output: Lognormal{250, 0.6}, Pause: Lognormal{230, 0.6}, Slack: 1.7, ExtraTime: 400,
			},
		},
		Surges:          []Surge{{Start: 6 * bvclock.Second, Duration: 8 * bvclock.Second, Factor: 4}},
		Duration:        20 * bvclock.Second,
		Seed:            1,
		TurnTimeout:     3 * bvclock.Second,
		ReportsPace:     true,
		HostChangeShare: 0.55,
		DigestInterval:  max(100, bvclock.Duration(hosts)),
		GlobalDigests:   true,
		Trackers:        true,
	}
}

// SlowFifth makes a fifth of the engines three times as slow during the first surge.
func (load *Load) SlowFifth() {
	load.Slow = Slowdown{Start: load.Surges[0].Start, Duration: load.Surges[0].Duration, Share: 0.2, Factor: 3}
}
