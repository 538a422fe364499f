package bvdispatch

import (
	"math"

	"balsamvalve.example/bvclock"
)

// Fairness between workspaces, for an overload caused by one workspace. While one
// workspace starts a large part of all programs, its programs are rejected before those of
// the others. It is judged by the programs that this host started where the work of all
// hosts is not known (shares.go).
const (
	// programCountDecay is the time constant of the decay of the program counts.
	programCountDecay = 5 * bvclock.Second
	// dominantShare is the share of the programs started at this host above which a
	// workspace dominates. It must also have started minDominantPrograms: a share of fewer
	// programs is not significant.
	dominantShare       = 0.25
	minDominantPrograms = 3
	// othersExtraShare is added to the admission limit for the other workspaces.
	othersExtraShare = 0.2
)

// programCounts counts the programs started at this host, by workspace, with exponential
// decay. The zero value has counted none.
type programCounts struct {
	programs  map[string]float64
	total     float64
	updatedAt bvclock.Time
	mean      meanWork
}

func (counts *programCounts) add(now bvclock.Time, workspace string) {
	if counts.programs == nil {
		counts.programs = make(map[string]float64)
	}
	counts.decay(now)
	counts.programs[workspace]++
	counts.total++
	counts.mean.addProgram()
}

// minProgramCount is the count below which a workspace is dropped.
const minProgramCount = 0.05

func (counts *programCounts) decay(now bvclock.Time) {
	factor := math.Exp(-float64(now.Sub(counts.updatedAt)) / float64(programCountDecay))
	counts.updatedAt, counts.total = now, 0
	for workspace, programs := range counts.programs {
		if programs *= factor; programs < minProgramCount {
			delete(counts.programs, workspace)
			continue
		}
		counts.programs[workspace] = programs
		counts.total += programs
	}
}

// dominant returns the workspace that started a dominant share of the programs, if any.
func (counts *programCounts) dominant(now bvclock.Time) (workspace string, found bool) {
	counts.decay(now)
	largest := 0.0
	for name, programs := range counts.programs {
		if programs > largest {
			workspace, largest = name, programs
		}
	}
	return workspace, largest >= minDominantPrograms && largest > dominantShare*counts.total
}
