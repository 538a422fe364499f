package bvcommand

import (
	"fmt"
	"io"
	"runtime/debug"

	"balsamvalve.example/bvexperiment"
	"github.com/spf13/cobra"
)

const gcPercent = 400

type experimentOptions struct {
	bvexperiment.Options
	json bool
	plot string
	list bool
}

func newExperiment() *cobra.Command {
	var options experimentOptions
	command := &cobra.Command{
		Use:   "experiment",
		Short: "Compare the decision logic with baselines, in virtual time",
		Example: `  balsamvalve experiment --list
  balsamvalve experiment --seeds 5 --json
  balsamvalve experiment --plot latency.svg`,
		Args: noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			return options.run(command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.Seeds, "seeds", bvexperiment.DefaultSeeds, "number of seeds to run, at least 5 for a published figure")
	flags.StringVar(&options.Scenario, "scenario", "", "run this scenario only")
	flags.BoolVar(&options.json, "json", false, "print all figures as JSON")
	flags.StringVar(&options.plot, "plot", "", "write a plot of latency over load to this .svg or .png file")
	flags.BoolVar(&options.list, "list", false, "list the scenarios")
	return command
}

func (options *experimentOptions) run(to io.Writer) error {
	if options.list {
		return listScenarios(to)
	}
	// The runs allocate many small objects but retain few, so the heap stays small
	// although garbage is collected less often.
	debug.SetGCPercent(gcPercent)
	report, err := bvexperiment.Run(options.Options)
	if err != nil {
		return usageError{err}
	}
	if options.plot != "" {
		if err := report.Plot(options.plot); err != nil {
			return err
		}
	}
	if options.json {
		return report.WriteJSON(to)
	}
	return report.Write(to)
}

func listScenarios(to io.Writer) error {
	for _, scenario := range bvexperiment.Scenarios() {
		if _, err := fmt.Fprintf(to, "%-18s %s\n", scenario.Name(), scenario.About()); err != nil {
			return err
		}
	}
	return nil
}
