// Package bvmechanism names the mechanisms by which routing daemons decide, so that
// experiments can switch each of them off and measure what it is worth. None of them
// guards a promise to callers. Off, each leaves what a daemon would do without it.
//
// # Usage
//
//	without, err := bvmechanism.Parse("affinity,samples")
//	if without.Has(bvmechanism.Affinity) {
//		return 0
//	}
package bvmechanism

import (
	"fmt"
	"strings"
)

//go:generate stringer -type=Mechanism -linecomment -output=mechanism_string.go

// Mechanism is a way of deciding that can be switched off.
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
	last
)

// What each of them does, for the command line's help.
var purposes = [last]string{
	Affinity:      "prompts that begin alike meet at few endpoints where memory is scarce",
	Digests:       "hosts tell each other of their calls, prompts and how calls ended",
	Samples:       "in a crowd, a decision looks at a few endpoints only",
	Outliers:      "endpoints are judged by how calls end there",
	Admission:     "new programs are turned away in a crowd",
	Ranks:         "calls wait at engines by their route's priority, programs under way first",
	Lending:       "hosts give up unspent tokens of a program's budget to each other",
	Halves:        "half of a budget is granted from one host's memory",
	Relays:        "calls to the store go through another host while it turns this one away",
	Conversations: "conversations are taken from hosts that have them at hand",
	Objects:       "calls that concern one object meet at an endpoint",
	Held:          "a turn's row names the engine that ran it",
	Average:       "reading a prompt weighs by the calls that engines have on average",
	ReadingRate:   "how fast engines read prompts is learnt",
	Holding:       "while the store is away, turns are run and their ends held",
	Probes:        "a decision asks how many calls a few endpoints have now",
	Holders:       "a host is asked which endpoint has a conversation, and whether its program is under way",
	Readers:       "in a large fleet, few hosts read the store's lists and hand them on",
	Fairness:      "in a crowd, the workspace that begins most programs is turned away first",
}

// Purpose returns what the mechanism does, in one line.
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

// With returns the set with a mechanism.
func (set Set) With(mechanism Mechanism) Set { return set | 1<<mechanism }

// Parse reads names with commas between.
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
	return 0, fmt.Errorf("mechanism: there is no %q", name)
}
