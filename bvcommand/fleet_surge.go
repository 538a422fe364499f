package bvcommand

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvfleet"
	"balsamvalve.example/bvmechanism"
)

// surgeOptions select the surge that is simulated.
type surgeOptions struct {
	hosts       int
	seeds       int
	surgeFactor float64
	seconds     int
	oneKind     bool
	slow        bool
	disabled    string
}

func newFleetSurge() *cobra.Command {
	var options surgeOptions
	command := &cobra.Command{
		Use:   "surge",
		Short: "Simulate a surge beyond the engines' capacity in virtual time",
		Long: `Simulate in virtual time a surge of short urgent programs and of long ones on engines of
twelve slots. Prints the outcomes of the programs that start while the surge is at its
peak, over all seeds, in one line for each rule of admission: a fixed number of calls a
slot (fixed), the programs' deadlines (deadlines), and an oracle that knows each program's
size and all load (oracle). Recovery is how long after the surge programs still start that
are not in time, as the mean and the maximum.`,
		Example: `  balsamvalve fleet surge --hosts 84 --seeds 4
  balsamvalve fleet surge --factor 6 --seconds 4 --slow`,
		Args: noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			return options.run(command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.hosts, "hosts", 42, "number of hosts, six or more")
	flags.IntVar(&options.seeds, "seeds", 2, "number of seeds to simulate")
	flags.Float64Var(&options.surgeFactor, "factor", 4, "factor by which the surge multiplies the rate of new programs")
	flags.IntVar(&options.seconds, "seconds", 8, "length of the surge, three or more")
	flags.BoolVar(&options.oneKind, "one-kind", false, "only the short programs surge")
	flags.BoolVar(&options.slow, "slow", false, "a fifth of the engines take three times as long during the surge")
	flags.StringVar(&options.disabled, "without", "", "mechanisms to switch off, separated by commas")
	return command
}

func (options *surgeOptions) run(to io.Writer) error {
	without, err := bvmechanism.Parse(options.disabled)
	if err != nil {
		return usageError{err}
	}
	if options.hosts < 6 || options.seeds < 1 || options.surgeFactor <= 0 || options.seconds < 3 {
		return usageError{fmt.Errorf("fleet surge: needs six hosts, a seed, a positive factor and three seconds")}
	}
	load := bvfleet.ContendedLoad(options.hosts)
	load.Disabled = without
	load.Surges[0].Factor, load.Surges[0].OneKind = options.surgeFactor, options.oneKind
	load.Surges[0].Duration = bvclock.Duration(options.seconds) * bvclock.Second
	load.Duration = load.Surges[0].Start + load.Surges[0].Duration + 4*bvclock.Second
	if options.slow {
		load.SlowFifth()
	}
	fixed, oracle := load, load
	fixed.Disabled = without.With(bvmechanism.Deadlines).With(bvmechanism.Returns)
	oracle.Oracle = true
	for i, variant := range []bvfleet.Load{fixed, load, oracle} {
		name := [...]string{"fixed", "deadlines", "oracle"}[i]
		if _, err := fmt.Fprintf(to, "%-9s %s\n", name, surgeLine(bvfleet.SimulateSeeds(variant, options.seeds))); err != nil {
			return fmt.Errorf("fleet surge: %w", err)
		}
	}
	return nil
}

// surgeLine formats the figures of several seeds as one line.
func surgeLine(results []bvfleet.Result) string {
	kinds := make([]bvfleet.Group, len(results[0].Peak))
	var after bvfleet.Group
	var recovery, maxRecovery bvclock.Duration
	for _, result := range results {
		for i := range kinds {
			kinds[i] = bvfleet.Total([]bvfleet.Group{kinds[i], result.Peak[i]})
		}
		after = bvfleet.Total([]bvfleet.Group{after, result.After})
		recovery += result.Recovery / bvclock.Duration(len(results))
		maxRecovery = max(maxRecovery, result.Recovery)
	}
	var line strings.Builder
	fmt.Fprintf(&line, "peak: %s;", bvfleet.Total(kinds))
	for i, name := range []string{"short", "long"} {
		fmt.Fprintf(&line, " %s in time %.3f;", name, kinds[i].ShareInTime())
	}
	fmt.Fprintf(&line, " after it in time %.3f, recovery %d ms (%d)", after.ShareInTime(), recovery, maxRecovery)
	return line.String()
}
