package bvcommand

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvfleet"
)

// capOptions choose the load of workspaces that is played.
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
		Short: "Play workspaces with usage caps on many hosts in virtual time",
		Long: `Play programs of workspaces of different sizes, each with a usage cap, through many
hosts in virtual time. A crowd comes in the middle third. A line each tells what ran and
what was refused where each host has a part of each cap, where hosts go by what they tell
each other, where they also ask an allocator near the cap, and where they ask it always.`,
		Example: `  balsamvalve fleet caps --hosts 85
  balsamvalve fleet caps --hosts 295 --workspaces 600 --lag-ms 1200 --lost`,
		Args: noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			return options.run(command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.hosts, "hosts", 30, "how many hosts there are")
	flags.IntVar(&options.workspaces, "workspaces", 40, "how many workspaces there are")
	flags.IntVar(&options.seeds, "seeds", 1, "how many seeds to play")
	flags.Float64Var(&options.surgeFactor, "crowd", 2, "by how much the crowd multiplies the programs that begin")
	flags.Float64Var(&options.headroom, "headroom", 1.6, "a cap, over its workspace's mean requests")
	flags.IntVar(&options.reportLagMs, "lag-ms", 400, "within how many milliseconds hosts hear of each other's requests")
	flags.BoolVar(&options.hostsFail, "lost", false, "all hosts are lost after the crowd")
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
