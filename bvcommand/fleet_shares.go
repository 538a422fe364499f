package bvcommand

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvfleet"
	"balsamvalve.example/bvmechanism"
)

// fleetSharesOptions select the load on which rules of fairness are compared.
type fleetSharesOptions struct {
	hosts       int
	workspaces  int
	seeds       int
	surgeFactor float64
	seconds     int
	surgeAll    bool
	rule        string
}

func newFleetShares() *cobra.Command {
	var options fleetSharesOptions
	command := &cobra.Command{
		Use:   "shares",
		Short: "Compare rules of fairness between workspaces in virtual time",
		Long: `Simulate in virtual time, with the decision logic of daemons, many routing hosts while one
workspace starts more programs than usual. Prints one line of results for each rule: none;
the workspace that dominates at a host is rejected first (programs); workspaces above their
fair share over all hosts are rejected first (shares).`,
		Example: `  balsamvalve fleet shares --hosts 84
  balsamvalve fleet shares --hosts 1000 --seconds 4`,
		Args: noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			return options.run(command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.hosts, "hosts", 84, "number of hosts, six or more")
	flags.IntVar(&options.workspaces, "workspaces", 84, "number of workspaces")
	flags.IntVar(&options.seeds, "seeds", 1, "number of seeds to simulate")
	flags.Float64Var(&options.surgeFactor, "surge", 3.5, "factor by which the surge multiplies the rate of new programs")
	flags.IntVar(&options.seconds, "seconds", 12, "seconds during which programs start; the surge lasts from a quarter of them to two thirds")
	flags.StringVar(&options.rule, "rule", "", "simulate this rule only")
	flags.BoolVar(&options.surgeAll, "all", false, "the surge is of all workspaces")
	return command
}

func (options *fleetSharesOptions) run(to io.Writer) error {
	load := bvfleet.SurgeLoad(options.hosts)
	if options.hosts < load.Zones || options.workspaces < 1 || options.surgeFactor <= 0 || options.seconds < 1 {
		return usageError{fmt.Errorf("fleet shares: too few hosts, or workspaces, surge and seconds are not positive")}
	}
	load.GlobalDigests, load.Trackers = true, true
	load.Workspaces, load.SingleWorkspaceSurge = options.workspaces, !options.surgeAll
	load.Duration = bvclock.Duration(options.seconds) * bvclock.Second
	load.Surges = []bvfleet.Surge{{Start: load.Duration / 4, Duration: load.Duration * 5 / 12, Factor: options.surgeFactor}}
	for seed := range options.seeds {
		load.Seed = uint64(seed + 1)
		if err := options.compareRules(to, load); err != nil {
			return err
		}
	}
	return nil
}

// fairnessRules are the rules that are compared, with the mechanisms that are disabled.
var fairnessRules = []struct {
	name     string
	disabled bvmechanism.Set
}{
	{"none", bvmechanism.Set(0).With(bvmechanism.Fairness).With(bvmechanism.Shares)},
	{"programs", bvmechanism.Set(0).With(bvmechanism.Shares)},
	{"shares", 0},
}

// compareRules simulates a load once for each rule.
func (options *fleetSharesOptions) compareRules(to io.Writer, load bvfleet.Load) error {
	for _, variant := range fairnessRules {
		if options.rule != "" && options.rule != variant.name {
			continue
		}
		load.Disabled = variant.disabled
		result := bvfleet.Simulate(load)
		if _, err := fmt.Fprintf(to, "seed %d  %-9s others %d, in time %.3f; %s; entries a report %.1f\n",
			load.Seed, variant.name, result.Others, result.ShareOthersInTime(), result, result.MeanShareEntries()); err != nil {
			return fmt.Errorf("fleet shares: %w", err)
		}
	}
	return nil
}
