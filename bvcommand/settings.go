package bvcommand

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"balsamvalve.example/bvsetting"
)

func newSettings() *cobra.Command {
	settings := &cobra.Command{
		Use:   "settings",
		Short: "Print the settings in force, without secrets",
		Long: `Print the settings that "serve" would use with the same flags and environment,
and the source of each value. Keys are never printed.`,
		Example: `  balsamvalve settings
  balsamvalve settings --zone koper --write-budget 200`,
		Args: noArguments,
		RunE: runSettings,
	}
	addSettings(settings)
	return settings
}

func runSettings(command *cobra.Command, _ []string) error {
	if _, err := bvsetting.Load(command.Flags(), os.LookupEnv); err != nil {
		return usageError{err}
	}
	writer := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)
	for _, line := range bvsetting.EffectiveSettings(command.Flags(), os.LookupEnv) {
		_, _ = fmt.Fprintf(writer, "%s\t%s\t%s\n", line.Name, line.Value, line.Source)
	}
	return writer.Flush()
}
