// Package bvfleet plays a load of agent programs on many hosts before many model
// engines, in virtual time, and tells what their callers got.
//
// Each host decides with a bvdispatch.Pool of its own, on what it would have heard of
// the others: digests, whose age is part of the load, and trackers. Engines batch
// calls, read prompts between the tokens of calls that run, keep parts of prompts in a
// bounded memory and admit calls by urgency. All is drawn from a seed and moves in
// steps of a millisecond, so that two plays of one load are the same. Networks, the
// platform and failures are not played. The engines are not those of bvmodel, whose
// caches hold one prefix for each program: here many programs' prompts begin alike.
//
// # Usage
//
//	load := bvfleet.SurgeLoad(295)
//	load.Trackers = true
//	result := bvfleet.Simulate(load)
//	fmt.Println(result.InTime(), result.Late)
package bvfleet

import (
	"math"
	"math/rand/v2"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
)

// Load is what is played. Fields without a default are needed.
type Load struct {
	Hosts    int
	Zones    int
	Engines  int
	Engine   Engine
	Kinds    []Kind
	Surges   []Surge
	Duration bvclock.Duration // for which programs begin
	Seed     uint64

	// Workspaces is how many send programs, all alike; 0: programs are of none. What a
	// crowd adds is of the first of them if Flood is set.
	Workspaces           int
	SingleWorkspaceSurge bool

	// Wanders is the share of turns that come through another host than the one before.
	HostChangeShare float64
	// DigestEvery is the time between two digests; nothing is told otherwise, but for
	// trackers.
	DigestInterval bvclock.Duration
	// Totals: digests tell of the calls of all hosts at all engines. Without, hosts
	// hear of other zones' engines only what their own zone's hosts do there.
	GlobalDigests bool
	// Trackers tell how many calls an engine has, and where a conversation is, whenever
	// they are asked.
	Trackers bool
	Disabled bvmechanism.Set
}

// Engine describes the engines; all are alike.
type Engine struct {
	Slots            int
	CacheTokens      int     // tokens
	PrefillRate      float64 // prompt tokens a millisecond
	PrefillChunk     int     // prompt tokens that are read between two tokens of other calls
	TokenTime        float64 // milliseconds for a token of a call that runs alone
	TokenTimePerCall float64 // milliseconds added to it for each call that runs
}

// Kind is a kind of programs.
type Kind struct {
	Rate           float64
	Priority       int
	Turns          Lognormal
	SharedPrefixes int       // how many long parts there are that its programs begin with
	PrefixSize     Lognormal // tokens of such a part
	Input          Lognormal // tokens that a turn adds to the prompt
	Output         Lognormal // tokens that a turn generates
	Pause          Lognormal // milliseconds between two turns
	// Slack is the time that a program has, as a multiple of its time on idle engines.
	Slack float64
}

// Surge multiplies the programs that begin for a while.
type Surge struct {
	Start, Duration bvclock.Duration
	Factor          float64
}

// Lognormal is a lognormal size.
type Lognormal struct {
	Mean   float64
	Spread float64 // standard deviation of its logarithm
}

func (size Lognormal) draw(random *rand.Rand) float64 {
	return size.Mean * math.Exp(size.Spread*random.NormFloat64()-size.Spread*size.Spread/2)
}

// SurgeLoad is the load of a number of hosts with engines of few slots, at which a crowd
// comes that the engines can just serve. Two kinds of programs, of about four and
// eleven turns, begin with long parts that many share; an engine's memory holds half of
// these.
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
