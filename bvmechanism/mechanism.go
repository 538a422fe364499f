// Package bvmechanism names the mechanisms that routing daemons use for decisions, so
// that experiments can switch each of them off and measure its effect. No promise to
// callers depends on them. With a mechanism off, daemons decide as if it did not exist.
//
// # Usage
//
//	disabled, err := bvmechanism.Parse("affinity,samples")
//	if disabled.Has(bvmechanism.Affinity) {
//		return 0
//	}
package bvmechanism

import (
	"fmt"
	"strings"
)

//go:generate stringer -type=Mechanism -linecomment -output=mechanism_string.go

// Mechanism is a part of the decision logic that can be switched off.
type Mechanism int

// The mechanisms.
const (
	Affinity      Mechanism = iota // affinity
	Digests                        // digests
	Samples                        // samples
	Outliers                       // outliers
	Admission                      // admission
	Ranks                          // ranks
	Lending                        // lending
	Halves                         // halves
	Relays                         // relays
	Conversations                  // conversations
	Objects                        // objects
	Held                           // held
	Average                        // average
	ReadingRate                    // rate
	Holding                        // holding
	Probes                         // probes
	Holders                        // holders
	Fairness                       // fairness
	Readers                        // readers
	Versions                       // versions
	Shares                         // shares
	Speeds                         // speeds
	Tools                          // tools
	Deadlines                      // deadlines
	Returns                        // returns
	last
)

// purposes describe the mechanisms in the help of the command line.
var purposes = [last]string{
	Affinity:      "where KV cache is scarce, prompts with a common prefix go to few endpoints",
	Digests:       "hosts exchange digests of their calls, cached prompts and outcomes of calls",
	Samples:       "under contention, a decision considers a few sampled endpoints only",
	Outliers:      "endpoints are rated by the outcomes of their calls",
	Admission:     "new programs are rejected under overload",
	Ranks:         "engines queue calls by the priority of their route, running programs first",
	Lending:       "hosts transfer unspent tokens of a program's budget to each other",
	Halves:        "half of a budget is granted from the memory of one host",
	Relays:        "calls to the store go through another host while the store refuses this one",
	Conversations: "conversations are fetched from hosts that have them cached",
	Objects:       "calls on one object go to the same endpoint",
	Held:          "the stored row of a turn names the engine that ran it",
	Average:       "the cost of reading a prompt counts at least the average number of calls on engines",
	ReadingRate:   "the rate at which engines read prompts is estimated",
	Holding:       "while the store is unavailable, turns run and their results are held in memory",
	Probes:        "a decision queries the current number of calls of a few endpoints",
	Holders:       "a host is queried for the endpoint that caches a conversation and whether its program is running",
	Readers:       "in a large fleet, few hosts read the lists of the store and pass them on",
	Versions:      "streams begin at a software version that stays, while others are about to go",
	Speeds:        "endpoints are rated by the speed that they report and that is measured",
	Tools:         "calls of tools avoid full endpoints and rejections, by counts of calls and reported paces",
	Deadlines:     "new programs are admitted only if they can end within their deadline",
	Returns:       "rejected callers are given times to retry in the order of their rejection",
	Fairness:      "under overload, the workspace that starts most programs is rejected first",
	Shares:        "under overload, workspaces above their fair share over all hosts are rejected first",
}

// Purpose returns a one-line description of the mechanism.
func (mechanism Mechanism) Purpose() string { return purposes[mechanism] }

// All returns all mechanisms.
func All() []Mechanism {
	all := make([]Mechanism, last)
	for i := range all {
		all[i] = Mechanism(i)
	}
	return all
}

// Set is a set of mechanisms. The zero value is empty.
type Set uint32

// Has reports whether a mechanism is in the set.
func (set Set) Has(mechanism Mechanism) bool { return set&(1<<mechanism) != 0 }

// With returns the set with a mechanism added.
func (set Set) With(mechanism Mechanism) Set { return set | 1<<mechanism }

// Parse parses a comma-separated list of names.
func Parse(names string) (Set, error) {
	var set Set
	if names == "" {
		return set, nil
	}
	for _, name := range strings.Split(names, ",") {
		mechanism, err := byName(strings.TrimSpace(name))
		if err != nil {
			return 0, err
		}
		set = set.With(mechanism)
	}
	return set, nil
}

func byName(name string) (Mechanism, error) {
	for _, mechanism := range All() {
		if mechanism.String() == name {
			return mechanism, nil
		}
	}
	return 0, fmt.Errorf("mechanism: unknown name %q", name)
}
