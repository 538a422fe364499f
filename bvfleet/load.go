// Package bvfleet simulates a load of agent programs on many hosts in front of many
// model engines, in virtual time, and summarizes the outcomes for their callers.
//
// Each host decides with its own bvdispatch.Pool, based on the data that it would have
// received from the others: digests, whose interval is part of the load, and trackers.
// Engines batch calls, prefill prompts between the tokens of running calls, cache parts
// of prompts in bounded memory and admit calls by urgency. All random values come from a
// seed and time advances in steps of a millisecond, so two simulations of one load give
// the same result. Networks, the platform and failures are not simulated. The engines
// are not those of bvmodel, whose caches hold one prefix for each program: here many
// programs share prompt prefixes.
//
// # Usage
//
//	load := bvfleet.SurgeLoad(295)
//	load.Trackers = true
//	result := bvfleet.Simulate(load)
//	fmt.Println(result.InTime, result.Late)
package bvfleet

import (
	"math"
	"math/rand/v2"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
)

// Load describes a simulated load. Fields without a documented default are required.
type Load struct {
	Hosts    int
	Zones    int
	Engines  int
	Engine   Engine
	Kinds    []Kind
	Surges   []Surge
	Slow     Slowdown
	Duration bvclock.Duration // time during which programs start
	Seed     uint64
	// TurnTimeout is how long a caller waits for a turn to start. 0: callerTimeout.
	TurnTimeout bvclock.Duration
	// ReportsPace makes engines report a pace.
	ReportsPace bool
	// Oracle makes admission know the size and the progress of all programs.
	Oracle bool

	// Workspaces is the number of workspaces, which send programs at equal rates; with 0,
	// programs have no workspace. The programs that a surge adds are all of the first
	// workspace if SingleWorkspaceSurge is set.
	Workspaces           int
	SingleWorkspaceSurge bool

	// HostChangeShare is the fraction of turns for which the program's host is drawn anew.
	HostChangeShare float64
	// DigestInterval is the time between two digests. Other than by digests, hosts share
	// data only through trackers.
	DigestInterval bvclock.Duration
	// GlobalDigests makes digests report the calls of all hosts at all engines. Without
	// it, hosts receive for other zones' engines only the calls of their own zone's hosts.
	GlobalDigests bool
	// Trackers makes trackers available: they answer queries with an engine's current
	// number of calls and with the engine that has a conversation cached.
	Trackers bool
	Disabled bvmechanism.Set

	// SlowShare is the fraction of the engines whose work takes SlowFactor times as long. With
	// a SlowPeriod, they are slow in every other period only, not all in the same. If it is
	// set, engines report their pace, and hosts share the outcomes of calls within a zone;
	// with FalsePace, the slow ones report the usual pace.
	SlowShare  float64
	SlowFactor float64
	SlowPeriod bvclock.Duration
	FalsePace  bool
}

// Engine describes the engines, which are all equal but for the slow ones.
type Engine struct {
	Slots            int
	CacheTokens      int     // tokens
	PrefillRate      float64 // prompt tokens a millisecond
	PrefillChunk     int     // prompt tokens that are prefilled between two tokens of other calls
	TokenTime        float64 // milliseconds for a token of a call that is alone in the batch
	TokenTimePerCall float64 // milliseconds added to it for each running call
}

// Kind is a kind of program.
type Kind struct {
	Name           string
	Rate           float64
	Priority       int
	Turns          Lognormal
	SharedPrefixes int       // number of long prefixes that its programs share
	PrefixSize     Lognormal // tokens of such a prefix
	Input          Lognormal // tokens that a turn adds to the prompt
	Output         Lognormal // tokens that a turn generates
	Pause          Lognormal // milliseconds between two turns
	// Slack is the time in which a program should end, as a multiple of its time on
	// idle engines, plus ExtraTime.
	Slack     float64
	ExtraTime bvclock.Duration
}

// Surge multiplies the rate of starting programs for some time.
type Surge struct {
	Start, Duration bvclock.Duration
	Factor          float64
	OneKind         bool // only the first kind of program surges
}

// rateFactor returns the factor by which the surge multiplies the rate of a kind now.
func (surge Surge) rateFactor(now bvclock.Time, kind int) float64 {
	since := bvclock.Duration(now) - surge.Start
	if since < 0 || since >= surge.Duration || surge.OneKind && kind != 0 {
		return 1
	}
	return surge.Factor
}

// Slowdown makes a share of the engines slower for some time.
type Slowdown struct {
	Start, Duration bvclock.Duration
	Share           float64
	Factor          float64
}

// Lognormal is a lognormal distribution.
type Lognormal struct {
	Mean   float64
	Spread float64 // standard deviation of its logarithm
}

func (lognormal Lognormal) draw(random *rand.Rand) float64 {
	return lognormal.Mean * math.Exp(lognormal.Spread*random.NormFloat64()-lognormal.Spread*lognormal.Spread/2)
}

// SurgeLoad returns a load for a number of hosts with engines of few slots, with a surge
// that the engines can just serve. Two kinds of programs, of about four and eleven
// turns, start with long shared prefixes; an engine's memory holds half of these.
func SurgeLoad(hosts int) Load {
	engines := max(hosts*13/30, 6)
	perEngine := float64(engines)
	return Load{
		Hosts: hosts, Zones: 6, Engines: engines,
		Engine: Engine{Slots: 6, CacheTokens: 175_000, PrefillRate: 336, PrefillChunk: 2048, TokenTime: 1.14, TokenTimePerCall: 0.03},
		Kinds: []Kind{
			{
				Rate: 1.15 * perEngine, Priority: 1, Turns: Lognormal{4, 0.4}, SharedPrefixes: 8, PrefixSize: Lognormal{12_600, 0.3},
				Input: Lognormal{1680, 0.7}, Output: Lognormal{250, 0.6}, Pause: Lognormal{140, 0.6}, Slack: 1.6,
			},
			{
				Rate: 0.47 * perEngine, Priority: 0, Turns: Lognormal{11, 0.4}, SharedPrefixes: 8, PrefixSize: Lognormal{12_600, 0.3},
				Input: Lognormal{840, 0.7}, Output: Lognormal{250, 0.6}, Pause: Lognormal{230, 0.6}, Slack: 1.5,
			},
		},
		Surges:          []Surge{{Start: 3 * bvclock.Second, Duration: 5 * bvclock.Second, Factor: 1.6}},
		Duration:        12 * bvclock.Second,
		Seed:            1,
		HostChangeShare: 0.55,
		DigestInterval:  max(100, bvclock.Duration(hosts)),
	}
}
