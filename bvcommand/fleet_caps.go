package bvcommand

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvfleet"
)

// capOptions select the load of workspaces that is simulated.
type capOptions struct {
	hosts       int
	workspaces  int
	seeds       int
	surgeFactor float64
	headroom    float64
	reportLagMs int
	hostsFail   bool
}

func newFleetCaps() *cobra.Command {
	var options capOptions
	command := &cobra.Command{
		Use:   "caps",
		Short: "Simulate workspaces with usage caps on many hosts in virtual time",
		Long: `Simulate in virtual time many hosts that serve programs of workspaces of different
sizes, each with a usage cap. A surge of programs lasts for the middle third. Prints one
line for each way to enforce the caps, with the requests that ran and that were refused:
each host has a fixed part of each cap (split), hosts use the counts that they report to
each other (told), they also query an allocator near the cap (allocator), or they always
query it (central).`,
		Example: `  balsamvalve fleet caps --hosts 85
  balsamvalve fleet caps --hosts 295 --workspaces 600 --lag-ms 1200 --lost`,
		Args: noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			return options.run(command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.hosts, "hosts", 30, "number of hosts")
	flags.IntVar(&options.workspaces, "workspaces", 40, "number of workspaces")
	flags.IntVar(&options.seeds, "seeds", 1, "number of seeds to simulate")
	flags.Float64Var(&options.surgeFactor, "crowd", 2, "factor by which the surge multiplies the rate of new programs")
	flags.Float64Var(&options.headroom, "headroom", 1.6, "ratio of a cap to the mean request rate of its workspace")
	flags.IntVar(&options.reportLagMs, "lag-ms", 400, "delay until hosts receive each other's counts of requests, in milliseconds")
	flags.BoolVar(&options.hostsFail, "lost", false, "all hosts fail after the surge")
	return command
}

func (options *capOptions) run(to io.Writer) error {
	if options.hosts < 1 || options.workspaces < 1 || options.surgeFactor <= 0 || options.headroom <= 0 || options.reportLagMs < 10 {
		return usageError{fmt.Errorf("fleet caps: hosts, workspaces, crowd and headroom must be positive, and the lag 10 ms or more")}
	}
	for seed := range options.seeds {
		load := bvfleet.CapLoad{
			Seed: uint64(seed + 1), Hosts: options.hosts, Workspaces: options.workspaces, RatePerHost: 12,
			Headroom: options.headroom, Duration: 24 * bvclock.Second, SurgeFactor: options.surgeFactor,
			HostsFail: options.hostsFail, ReportLag: bvclock.Duration(options.reportLagMs),
		}
		for _, policy := range bvfleet.CapWays() {
			if _, err := fmt.Fprintf(to, "seed %d  %-9s %s\n", load.Seed, policy, bvfleet.SimulateCaps(load, policy)); err != nil {
				return fmt.Errorf("fleet caps: %w", err)
			}
		}
	}
	return nil
}
