package bvcommand

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"balsamvalve.example/bvfleet"
	"balsamvalve.example/bvmechanism"
)

// fleetOptions select the load that is simulated.
type fleetOptions struct {
	hosts       int
	seeds       int
	surgeFactor float64
	disabled    string
}

func newFleet() *cobra.Command {
	var options fleetOptions
	command := &cobra.Command{
		Use:   "fleet",
		Short: "Simulate a surge of programs on many hosts in virtual time",
		Long: `Simulate in virtual time, with the decision logic of daemons, many routing hosts that
serve programs on model engines with few slots. A surge of programs lasts some seconds.
Prints one line of results for each case: hosts know the calls of the hosts in their own
zone only (own zone), of all hosts by digests (digests), and also the current calls by
trackers (trackers).`,
		Example: `  balsamvalve fleet --hosts 60
  balsamvalve fleet --hosts 295 --crowd 2 --seeds 3
  balsamvalve fleet --without admission`,
		Args: noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			return options.run(command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.hosts, "hosts", 60, "number of hosts, six or more")
	flags.IntVar(&options.seeds, "seeds", 1, "number of seeds to simulate")
	flags.Float64Var(&options.surgeFactor, "crowd", 1.6, "factor by which the surge multiplies the rate of new programs")
	flags.StringVar(&options.disabled, "without", "", "mechanisms to switch off, separated by commas")
	command.AddCommand(newFleetCaps(), newFleetShares(), newFleetSurge())
	return command
}

func (options *fleetOptions) run(to io.Writer) error {
	without, err := bvmechanism.Parse(options.disabled)
	if err != nil {
		return usageError{err}
	}
	load := bvfleet.SurgeLoad(options.hosts)
	if options.hosts < load.Zones || options.surgeFactor <= 0 {
		return usageError{fmt.Errorf("fleet: can't simulate %d hosts with --crowd %g", options.hosts, options.surgeFactor)}
	}
	load.Disabled = without
	load.Surges[0].Factor = options.surgeFactor
	for seed := range options.seeds {
		load.Seed = uint64(seed + 1)
		if err := compareVariants(to, load); err != nil {
			return err
		}
	}
	return nil
}

// compareVariants simulates a load once for each source of information on the calls of
// other hosts.
func compareVariants(to io.Writer, load bvfleet.Load) error {
	for _, variant := range []struct {
		name             string
		totals, trackers bool
	}{
		{name: "own zone"},
		{name: "digests", totals: true},
		{name: "trackers", totals: true, trackers: true},
	} {
		load.GlobalDigests, load.Trackers = variant.totals, variant.trackers
		if _, err := fmt.Fprintf(to, "seed %d  %-9s %s\n", load.Seed, variant.name, bvfleet.Simulate(load)); err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
	}
	return nil
}
