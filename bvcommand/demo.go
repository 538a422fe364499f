package bvcommand

import (
	"errors"

	"github.com/spf13/cobra"

	"balsamvalve.example/bvdemo"
)

func newDemo() *cobra.Command {
	var seed uint64
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run the whole system in one process and check its promises",
		Example: `  balsamvalve demo
  balsamvalve demo --seed 7`,
		Args: noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			config := bvdemo.Config{Output: command.OutOrStdout(), Seed: seed}
			routed, err := bvdemo.RunRoute(command.Context(), config)
			if err != nil {
				return err
			}
			report, err := bvdemo.Run(command.Context(), config)
			if err != nil {
				return err
			}
			if !routed.AllPromisesHold() || !report.AllPromisesHold() || report.Finished != report.Programs {
				return errors.New("demo: a promise was broken")
			}
			return nil
		},
	}
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the random programs")
	return command
}
