package bvfleet

import (
	"fmt"
	"sync"

	"balsamvalve.example/bvclock"
)

// Group holds the outcomes of some of the programs.
type Group struct {
	Programs int
	InTime   int
	Half     int // ended before twice their time
	Late     int
	Retried  int // of the late ones, those that had been rejected before
	Rejected int // never admitted
	Failed   int
}

const (
	// peakDelay is the time from the start of a surge until its load has built up.
	peakDelay = 2 * bvclock.Second
	// recoveryStep is the time whose programs are compared for Recovery.
	recoveryStep = 500 * bvclock.Millisecond
	// calmLateShare is the share of programs that may miss their time without a surge.
	calmLateShare = 0.1
	// lateWorth is the worth of a program that ends within twice its time.
	lateWorth = 0.25
)

func (group *Group) add(program *program) {
	group.Programs++
	switch took := program.endedAt.Sub(program.startedAt); {
	case program.failed && program.turnIndex == 0 && program.refused:
		group.Rejected++
	case program.failed || program.endedAt == 0:
		group.Failed++
	case took <= program.timeLimit:
		group.InTime++
	default:
		group.Late++
		if program.refusedAt != 0 {
			group.Retried++
		}
		if took <= 2*program.timeLimit {
			group.Half++
		}
	}
}

// Worth returns the mean worth of the programs: 1 for each that ends in time.
func (group Group) Worth() float64 {
	return (float64(group.InTime) + lateWorth*float64(group.Half)) / float64(max(group.Programs, 1))
}

// ShareInTime returns the fraction of the programs that ended in time.
func (group Group) ShareInTime() float64 {
	return float64(group.InTime) / float64(max(group.Programs, 1))
}

// ShareLate returns the fraction of the programs that ended late.
func (group Group) ShareLate() float64 {
	return float64(group.Late) / float64(max(group.Programs, 1))
}

// Total returns the sum of groups.
func Total(groups []Group) (total Group) {
	for _, group := range groups {
		total.Programs += group.Programs
		total.InTime += group.InTime
		total.Half += group.Half
		total.Late += group.Late
		total.Retried += group.Retried
		total.Rejected += group.Rejected
		total.Failed += group.Failed
	}
	return total
}

// groupBySurge sorts the programs by when they started in relation to the first surge.
func (simulation *simulation) groupBySurge(result *Result) {
	result.Peak = make([]Group, len(simulation.load.Kinds))
	if len(simulation.load.Surges) == 0 {
		return
	}
	surge := simulation.load.Surges[0]
	var steps []Group
	for _, program := range simulation.programs {
		since := bvclock.Duration(program.startedAt) - surge.Start
		if since >= peakDelay && since < surge.Duration {
			result.Peak[program.kindIndex].add(program)
		}
		if since < surge.Duration {
			continue
		}
		result.After.add(program)
		step := int((since - surge.Duration) / recoveryStep)
		for len(steps) <= step {
			steps = append(steps, Group{})
		}
		steps[step].add(program)
	}
	for i, step := range steps {
		if float64(step.InTime) < (1-calmLateShare)*float64(step.Programs) {
			result.Recovery = bvclock.Duration(i+1) * recoveryStep
		}
	}
}

// String formats the shares of the outcomes.
func (group Group) String() string {
	programs := float64(max(group.Programs, 1))
	return fmt.Sprintf("programs %d, in time %.3f, late %.3f (rejected before %.3f), rejected %.3f, failed %.3f, worth %.3f", group.Programs,
		group.ShareInTime(), group.ShareLate(), float64(group.Retried)/programs, float64(group.Rejected)/programs, float64(group.Failed)/programs, group.Worth())
}

// SimulateSeeds simulates a load with the seeds from 1 on.
func SimulateSeeds(load Load, seeds int) []Result {
	results := make([]Result, seeds)
	var simulations sync.WaitGroup
	for i := range results {
		seeded := load
		seeded.Seed = uint64(i + 1)
		simulations.Go(func() { results[i] = Simulate(seeded) })
	}
	simulations.Wait()
	return results
}
