// Package bvexperiment measures the product's own decisions against what a
// user would do without them, in virtual time.
//
// A Scenario is a workload of the brief's two members with what goes wrong in
// it. Each of its contenders, a Policy, serves the same programs before the
// same model engines of bvmodel. The product's contender is bvgate.Pool itself.
// Programs are drawn from a seed before the run and are the same for each
// policy. Nothing reads a clock, so two runs give the same figures.
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

// DefaultSeeds is the least number of seeds for a figure that is published.
const DefaultSeeds = 5

const defaultWorkers = 4

// Options say what to run.
type Options struct {
	Seeds    int    // 5 if 0
	Scenario string // all if empty
	Workers  int    // runs side by side; 4 if 0
}

// Run carries the scenarios out and collects the results in a fixed order.
func Run(options Options) (*Report, error) {
	scenarios, err := chosen(options.Scenario)
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
	runs := report.plan(scenarios)
	carryOut(runs, options.Workers)
	return report, nil
}

func chosen(name string) ([]*Scenario, error) {
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

// plan makes room for each result, so that the order in which the runs end
// does not matter.
func (report *Report) plan(scenarios []*Scenario) []func() {
	var runs []func()
	for _, scenario := range scenarios {
		programs := report.drawn(scenario)
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

func seedOf(at int) uint64 { return uint64(at + 1) }

// drawn returns the programs of each seed, drawn once for all contenders,
// which only read them.
func (report *Report) drawn(scenario *Scenario) []func() []*spec {
	programs := make([]func() []*spec, report.Seeds)
	for at := range programs {
		programs[at] = sync.OnceValue(func() []*spec { return scenario.programs(seedOf(at)) })
	}
	return programs
}

func carryOut(runs []func(), workers int) {
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
