package bvcommand

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"balsamvalve.example/bvfleet"
	"balsamvalve.example/bvmechanism"
)

// fleetOptions choose the load that is played.
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
		Short: "Play a crowd on many hosts in virtual time, by what they know of each other",
		Long: `Play programs that many routing hosts serve before model engines of few slots, in
virtual time, with the decisions that daemons make. A crowd comes for some seconds. A
line each tells what callers got where hosts know the calls of their own zone's hosts
only, of all hosts by digests, and of this moment by trackers.`,
		Example: `  balsamvalve fleet --hosts 60
  balsamvalve fleet --hosts 295 --crowd 2 --seeds 3
  balsamvalve fleet --without admission`,
		Args: noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			return options.run(command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.hosts, "hosts", 60, "how many hosts there are, six or more")
	flags.IntVar(&options.seeds, "seeds", 1, "how many seeds to play")
	flags.Float64Var(&options.surgeFactor, "crowd", 1.6, "by how much the crowd multiplies the programs that begin")
	flags.StringVar(&options.disabled, "without", "", "mechanisms to switch off, with commas between")
	command.AddCommand(newFleetCaps())
	return command
}

func (options *fleetOptions) run(to io.Writer) error {
	without, err := bvmechanism.Parse(options.disabled)
	if err != nil {
		return usageError{err}
	}
	load := bvfleet.SurgeLoad(options.hosts)
	if options.hosts < load.Zones || options.surgeFactor <= 0 {
		return usageError{fmt.Errorf("fleet: %d hosts and a crowd of %g can't be played", options.hosts, options.surgeFactor)}
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

// compare plays a load once for each kind of knowledge.
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
