// Package bvexperiment compares the product's own decisions with simple policies that
// users could run without it, in virtual time.
//
// A Scenario is a workload of two members with the faults that occur during it. Each of
// its contenders, a Policy, serves the same programs with the same model engines of
// bvmodel. The product's contender is bvgate.Pool itself. Programs are drawn from a seed
// before the run and are the same for each policy. No code reads a clock, so two runs
// give the same figures.
//
// # Usage
//
//	report, err := bvexperiment.Run(bvexperiment.Options{Seeds: 5})
//	if err != nil {
//		return err
//	}
//	report.Write(os.Stdout)
package bvexperiment

import (
	"fmt"
	"sync"
)

// DefaultSeeds is the minimum number of seeds for a published figure.
const DefaultSeeds = 5

const defaultWorkers = 4

// Options select what to run.
type Options struct {
	Seeds    int    // 5 if 0
	Scenario string // all if empty
	Workers  int    // concurrent runs; 4 if 0
}

// Run runs the scenarios and collects the results in a fixed order.
func Run(options Options) (*Report, error) {
	scenarios, err := selectScenarios(options.Scenario)
	if err != nil {
		return nil, err
	}
	if options.Seeds <= 0 {
		options.Seeds = DefaultSeeds
	}
	if options.Workers <= 0 {
		options.Workers = defaultWorkers
	}
	report := &Report{Seeds: options.Seeds}
	runs := report.planRuns(scenarios)
	runAll(runs, options.Workers)
	return report, nil
}

func selectScenarios(name string) ([]*Scenario, error) {
	all := Scenarios()
	if name == "" {
		return all, nil
	}
	for _, scenario := range all {
		if scenario.name == name {
			return []*Scenario{scenario}, nil
		}
	}
	return nil, fmt.Errorf("bvexperiment: no scenario %q", name)
}

// planRuns returns the runs, and allocates a place for each result in advance, so that
// the order in which the runs end does not matter.
func (report *Report) planRuns(scenarios []*Scenario) []func() {
	var runs []func()
	for _, scenario := range scenarios {
		programs := report.drawPrograms(scenario)
		for _, contender := range scenario.contenders {
			result := &Result{
				Scenario: scenario.name, Policy: contender.name, Baseline: contender.baseline,
				Outcomes: make([]Outcome, report.Seeds),
			}
			report.Results = append(report.Results, result)
			for seed := range report.Seeds {
				runs = append(runs, func() {
					simulation := newSimulation(scenario, seedOf(seed), contender, programs[seed]())
					result.Outcomes[seed] = summarize(scenario, simulation.run())
				})
			}
		}
	}
	return runs
}

func seedOf(index int) uint64 { return uint64(index + 1) }

// drawPrograms returns a function for each seed that returns its programs. They are
// drawn once for all contenders, which only read them.
func (report *Report) drawPrograms(scenario *Scenario) []func() []*spec {
	programs := make([]func() []*spec, report.Seeds)
	for at := range programs {
		programs[at] = sync.OnceValue(func() []*spec { return scenario.programs(seedOf(at)) })
	}
	return programs
}

func runAll(runs []func(), workers int) {
	queue := make(chan func())
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for run := range queue {
				run()
			}
		})
	}
	for _, run := range runs {
		queue <- run
	}
	close(queue)
	group.Wait()
}
