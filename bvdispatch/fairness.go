package bvdispatch

import (
	"math"

	"balsamvalve.example/bvclock"
)

// Fairness between workspaces, for a crowd that is one workspace's. While one of them
// begins a large part of all programs, it is turned away before the others are.
const (
	// begunDecay is the time constant by which programs that began are forgotten.
	begunDecay = 5 * bvclock.Second
	// dominantShare is from where on a workspace dominates, as a share of the programs
	// that began at this host, and dominantLeast how many it must have begun: few say little.
	dominantShare = 0.25
	dominantLeast = 3
	// othersShare is added to the limit of admission for the other workspaces.
	othersShare = 0.2
)

// begun counts the programs that began at this host, by workspace, and forgets them
// with time. The zero value has counted none.
type begun struct {
	programs map[string]float64
	total    float64
	at       bvclock.Time
}

func (begun *begun) add(now bvclock.Time, workspace string) {
	if begun.programs == nil {
		begun.programs = make(map[string]float64)
	}
	begun.fade(now)
	begun.programs[workspace]++
	begun.total++
}

// forgotten is the count below which a workspace is forgotten.
const forgotten = 0.05

func (begun *begun) fade(now bvclock.Time) {
	left := math.Exp(-float64(now.Sub(begun.at)) / float64(begunDecay))
	begun.at, begun.total = now, 0
	for workspace, programs := range begun.programs {
		if programs *= left; programs < forgotten {
			delete(begun.programs, workspace)
			continue
		}
		begun.programs[workspace] = programs
		begun.total += programs
	}
}

// dominant returns the workspace that dominates, if any.
func (begun *begun) dominant(now bvclock.Time) (workspace string, found bool) {
	begun.fade(now)
	most := 0.0
	for name, programs := range begun.programs {
		if programs > most {
			workspace, most = name, programs
		}
	}
	return workspace, most >= dominantLeast && most > dominantShare*begun.total
}
