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
//	load := bvfleet.Crowded(295)
//	load.Trackers = true
//	result := bvfleet.Play(load)
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
	Hosts   int
	Zones   int
	Engines int
	Engine  Engine
	Kinds   []Kind
	Crowds  []Crowd
	Length  bvclock.Duration // for which programs begin
	Seed    uint64

	// Workspaces is how many send programs, all alike; 0: programs are of none. What a
	// crowd adds is of the first of them if Flood is set.
	Workspaces int
	Flood      bool

	// Wanders is the share of turns that come through another host than the one before.
	Wanders float64
	// DigestEvery is the time between two digests; nothing is told otherwise, but for
	// trackers.
	DigestEvery bvclock.Duration
	// Totals: digests tell of the calls of all hosts at all engines. Without, hosts
	// hear of other zones' engines only what their own zone's hosts do there.
	Totals bool
	// Trackers tell how many calls an engine has, and where a conversation is, whenever
	// they are asked.
	Trackers bool
	Without  bvmechanism.Set
}

// Engine describes the engines; all are alike.
type Engine struct {
	Slots         int
	Memory        int     // tokens
	Reads         float64 // prompt tokens a millisecond
	Chunk         int     // prompt tokens that are read between two tokens of other calls
	Token         float64 // milliseconds for a token of a call that runs alone
	TokenEachCall float64 // milliseconds added to it for each call that runs
}

// Kind is a kind of programs.
type Kind struct {
	PerSecond  float64
	Priority   int
	Turns      Size
	Beginnings int  // how many long parts there are that its programs begin with
	Beginning  Size // tokens of such a part
	Input      Size // tokens that a turn adds to the prompt
	Output     Size // tokens that a turn generates
	Pause      Size // milliseconds between two turns
	// Slack is the time that a program has, as a multiple of its time on idle engines.
	Slack float64
}

// Crowd multiplies the programs that begin for a while.
type Crowd struct {
	From, For bvclock.Duration
	Factor    float64
}

// Size is a lognormal size.
type Size struct {
	Mean   float64
	Spread float64 // standard deviation of its logarithm
}

func (size Size) draw(random *rand.Rand) float64 {
	return size.Mean * math.Exp(size.Spread*random.NormFloat64()-size.Spread*size.Spread/2)
}

// Crowded is the load of a number of hosts with engines of few slots, at which a crowd
// comes that the engines can just serve. Two kinds of programs, of about four and
// eleven turns, begin with long parts that many share; an engine's memory holds half of
// these.
func Crowded(hosts int) Load {
	engines := max(hosts*13/30, 6)
	perEngine := float64(engines)
	return Load{
		Hosts: hosts, Zones: 6, Engines: engines,
		Engine: Engine{Slots: 6, Memory: 175_000, Reads: 336, Chunk: 2048, Token: 1.14, TokenEachCall: 0.03},
		Kinds: []Kind{
			{
				PerSecond: 1.15 * perEngine, Priority: 1, Turns: Size{4, 0.4}, Beginnings: 8, Beginning: Size{12_600, 0.3},
				Input: Size{1680, 0.7}, Output: Size{250, 0.6}, Pause: Size{140, 0.6}, Slack: 1.6,
			},
			{
				PerSecond: 0.47 * perEngine, Priority: 0, Turns: Size{11, 0.4}, Beginnings: 8, Beginning: Size{12_600, 0.3},
				Input: Size{840, 0.7}, Output: Size{250, 0.6}, Pause: Size{230, 0.6}, Slack: 1.5,
			},
		},
		Crowds:      []Crowd{{From: 3 * bvclock.Second, For: 5 * bvclock.Second, Factor: 1.6}},
		Length:      12 * bvclock.Second,
		Seed:        1,
		Wanders:     0.55,
		DigestEvery: max(100, bvclock.Duration(hosts)),
	}
}
